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
	JobCancelled = "withdrawn"
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
	ExitDone                  = "done"
	ExitStopped               = "halted"
	ExitGangMemberLost        = "mates_gone"
	ExitGangWaitTimeout       = "alone"
	ExitError                 = "error"
	ExitInsufficientResources = "no_room"
	ExitOtherAttemptPresent   = "in_use"
	ExitUnknownTask           = "unknown"
)

// Verbs of an order to a worker.
const (
	VerbRun  = "run"
	VerbStop = "stop"
	VerbReap = "reap"
)

// Stages of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// JobState is the answer to a submission, a query or a cancellation.
type JobState struct {
	ID      string `json:"Id"`
	State   string `json:"Stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// JobAccepted is the answer to a submission or a cancellation.
type JobAccepted struct {
	ID    string `json:"Id"`
	State string `json:"Stage"`
}

// Heartbeat is a worker's account of itself.
type Heartbeat struct {
	Host              string
	Address           string
	Type              string       `json:"Build"`
	Zone              string       `json:"Yard"`
	Spot              bool         `json:"Loaners"`
	Incarnation       uint64       `json:"Stint"`
	Sequence          uint64       `json:"Tally"`
	Token             uint64       `json:"Baton"`
	PreemptionNoticeS *float64     `json:"RecallS"`
	Tasks             []TaskStatus `json:"Pieces"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Name            string `json:"Piece"`
	Attempt         uint64 `json:"Try"`
	State           string `json:"Stage"`
	ExitReason      string `json:"Cause,omitempty"`
	CheckpointSaved bool   `json:"Stored,omitempty"`
}

// Command is one command to a worker.
type Command struct {
	Verb         string   `json:"Verb"`
	Task         string   `json:"Piece"`
	Attempt      uint64   `json:"Try"`
	GracePeriodS *float64 `json:"WindDownS,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	Token    uint64    `json:"Baton"`
	Commands []Command `json:"Orders"`
}

// DirectCommands is a direct command to a worker.
type DirectCommands struct {
	Token       uint64    `json:"Baton"`
	Incarnation uint64    `json:"Stint"`
	Commands    []Command `json:"Orders"`
}

// Redirect answers a report that belongs to another node.
type Redirect struct {
	Member string `json:"ReportsTo,omitempty"`
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
	SpotPrice   float64  `json:"LowPrice"`
	BootTimeS   float64  `json:"BootS"`
	Zones       []string `json:"Yards"`
}

// MachineTypes is the cloud's answer about its machine types.
type MachineTypes struct {
	Types []MachineType `json:"Builds"`
}

// ProvisionRequest asks the cloud for machines.
type ProvisionRequest struct {
	Name  string `json:"Hire"`
	Type  string `json:"Build"`
	Zone  string `json:"Yard"`
	Spot  bool   `json:"Loaners"`
	Count int    `json:"Number"`
}

// MachineNames lists machines by name, in requests and answers.
type MachineNames struct {
	Names []string `json:"Hosts"`
}

// Machine is one machine in the cloud's list.
type Machine struct {
	ID      string `json:"Id"`
	Address string
	Type    string `json:"Build"`
	Zone    string `json:"Yard"`
	Spot    bool   `json:"Loaners"`
	State   string `json:"Stage"`
	AgeS    float64
}

// MachinePage is one page of the cloud's list.
type MachinePage struct {
	Machines []Machine `json:"Hosts"`
	More     bool
}

// Compare is a condition of a transaction: the key has this version.
type Compare struct {
	Key     string `json:"Path"`
	Version uint64 `json:"Stamp"`
}

// Write is one change of a transaction: a put or a removal.
type Write struct {
	Put    string          `json:"Write,omitempty"`
	Value  json.RawMessage `json:",omitempty"`
	Lease  uint64          `json:"Hold,omitempty"`
	Delete string          `json:"Remove,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	Compares []Compare `json:"When,omitempty"`
	Writes   []Write   `json:",omitempty"`
}

// KeyValue is one key of the state service.
type KeyValue struct {
	Key     string `json:"Path"`
	Value   json.RawMessage
	Version uint64 `json:"Stamp"`
	Lease   uint64 `json:"Hold"`
}

// Event is one event of a watch.
type Event struct {
	Put     string `json:"Write"`
	Value   json.RawMessage
	Delete  string `json:"Remove"`
	Version uint64 `json:"Stamp"`
}
