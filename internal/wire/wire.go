// Package wire holds the message types of the service's outside interfaces,
// exactly as the protocol names them.
package wire

import "encoding/json"

// Shapes of a job.
const (
	ShapeBatch = "batch"
	ShapeGang  = "gang"
	// ShapeService is a service: its tasks run until its user cancels it.
	// The protocol's pages do not list it, but its users submit it.
	ShapeService = "standing"
)

// KnownShape tells whether a shape is one of those that this version knows.
func KnownShape(shape string) bool {
	return shape == ShapeBatch || shape == ShapeGang || shape == ShapeService
}

// Stages of a job as its user sees them.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobWithdrawn = "withdrawn"
)

// Stages of a task as its worker reports them.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
)

// Causes of a task's exit.
const (
	CauseDone      = "done"
	CauseHalted    = "halted"
	CauseMatesGone = "mates_gone"
	CauseAlone     = "alone"
	CauseError     = "error"
	CauseNoRoom    = "no_room"
	CauseInUse     = "in_use"
	CauseUnknown   = "unknown"
)

// Verbs of an order to a worker.
const (
	VerbRun  = "run"
	VerbStop = "stop"
	VerbReap = "reap"
)

// Stages of a machine in the cloud's list.
const (
	HostBooting = "booting"
	HostRunning = "running"
	HostFailed  = "failed"
)

// JobState is the answer to a submission, a query or a cancellation.
type JobState struct {
	ID      string `json:"Id"`
	Stage   string
	Done    int `json:"done"`
	Running int `json:"running"`
}

// Accepted is the answer to a submission or a cancellation.
type Accepted struct {
	ID    string `json:"Id"`
	Stage string
}

// Report is a worker's account of itself.
type Report struct {
	Host    string
	Address string
	Type    string `json:"Build"`
	Zone    string `json:"Yard"`
	Spot    bool   `json:"Loaners"`
	Session uint64 `json:"Stint"`
	Seq     uint64 `json:"Tally"`
	Token   uint64 `json:"Baton"`
	RecallS *float64
	Tasks   []Task `json:"Pieces"`
}

// Task is one task in a report.
type Task struct {
	Task    string `json:"Piece"`
	Attempt uint64 `json:"Try"`
	Stage   string
	Cause   string `json:",omitempty"`
	Stored  bool   `json:",omitempty"`
}

// Command is one command to a worker.
type Command struct {
	Verb      string   `json:"Verb"`
	Task      string   `json:"Piece"`
	Attempt   uint64   `json:"Try"`
	WindDownS *float64 `json:",omitempty"`
}

// Commands answers a report.
type Commands struct {
	Token    uint64    `json:"Baton"`
	Commands []Command `json:"Orders"`
}

// Do is a direct command to a worker.
type Do struct {
	Token    uint64    `json:"Baton"`
	Session  uint64    `json:"Stint"`
	Commands []Command `json:"Orders"`
}

// Redirect answers a report that belongs to another node.
type Redirect struct {
	ReportsTo string `json:",omitempty"`
}

// MachineType is one machine type.
type MachineType struct {
	Name        string
	Vcpus       float64
	Gpus        float64
	MemGb       float64
	LocalGb     float64
	FetchGbPerS float64
	Price       float64
	LowPrice    float64
	BootS       float64
	Zones       []string `json:"Yards"`
}

// MachineTypes is the cloud's answer about its machine types.
type MachineTypes struct {
	Types []MachineType `json:"Builds"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Rental string `json:"Hire"`
	Type   string `json:"Build"`
	Zone   string `json:"Yard"`
	Spot   bool   `json:"Loaners"`
	Number int
}

// HostNames lists machines by name, in requests and answers.
type HostNames struct {
	Hosts []string
}

// Host is one machine in the cloud's list.
type Host struct {
	ID      string `json:"Id"`
	Address string
	Type    string `json:"Build"`
	Zone    string `json:"Yard"`
	Spot    bool   `json:"Loaners"`
	Stage   string
	AgeS    float64
}

// HostPage is one page of the cloud's list.
type HostPage struct {
	Hosts []Host
	More  bool
}

// Cond is a condition of a transaction: the key has this version.
type Cond struct {
	Path    string
	Version uint64 `json:"Stamp"`
}

// Write is one change of a transaction: a put or a removal.
type Write struct {
	Write  string          `json:",omitempty"`
	Value  json.RawMessage `json:",omitempty"`
	Lease  uint64          `json:"Hold,omitempty"`
	Remove string          `json:",omitempty"`
}

// Multi is a transaction.
type Multi struct {
	When   []Cond  `json:",omitempty"`
	Writes []Write `json:",omitempty"`
}

// Item is one key of the state service.
type Item struct {
	Path    string
	Value   json.RawMessage
	Version uint64 `json:"Stamp"`
	Lease   uint64 `json:"Hold"`
}

// Change is one event of a watch.
type Change struct {
	Write   string
	Value   json.RawMessage
	Remove  string
	Version uint64 `json:"Stamp"`
}
