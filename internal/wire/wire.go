// Package wire holds the message types of the service's outside interfaces,
// exactly as the protocol names them.
package wire

import "encoding/json"

// Shapes of a job.
const (
	ShapeBatch = "batch"
	ShapeGang  = "gang"
	// ShapeStanding is a service: its tasks run until its user cancels it.
	// The protocol's pages do not list it, but its users submit it.
	ShapeStanding = "standing"
)

// Stages of a job as its user sees them.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobWithdrawn = "withdrawn"
)

// Stages of a task as its worker reports them.
const (
	PieceFetching = "fetching"
	PieceWaiting  = "waiting"
	PieceRunning  = "running"
	PieceSaving   = "saving"
	PieceExited   = "exited"
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
	Build   string
	Yard    string
	Loaners bool
	Stint   uint64
	Tally   uint64
	Baton   uint64
	RecallS *float64
	Pieces  []Piece
}

// Piece is one task in a report.
type Piece struct {
	Piece  string
	Try    uint64
	Stage  string
	Cause  string `json:",omitempty"`
	Stored bool   `json:",omitempty"`
}

// Order is one command to a worker.
type Order struct {
	Verb      string
	Piece     string
	Try       uint64
	WindDownS *float64 `json:",omitempty"`
}

// Orders answers a report.
type Orders struct {
	Baton  uint64
	Orders []Order
}

// Do is a direct command to a worker.
type Do struct {
	Baton  uint64
	Stint  uint64
	Orders []Order
}

// Redirect answers a report that belongs to another node.
type Redirect struct {
	ReportsTo string `json:",omitempty"`
}

// Flavor is one machine type.
type Flavor struct {
	Name        string
	Vcpus       float64
	Gpus        float64
	MemGb       float64
	LocalGb     float64
	FetchGbPerS float64
	Price       float64
	LowPrice    float64
	BootS       float64
	Yards       []string
}

// Flavors is the cloud's answer about its machine types.
type Flavors struct {
	Builds []Flavor
}

// Hire asks the cloud for machines.
type Hire struct {
	Hire    string
	Build   string
	Yard    string
	Loaners bool
	Number  int
}

// HostNames lists machines by name, in requests and answers.
type HostNames struct {
	Hosts []string
}

// Host is one machine in the cloud's list.
type Host struct {
	ID      string `json:"Id"`
	Address string
	Build   string
	Yard    string
	Loaners bool
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
	Path  string
	Stamp uint64
}

// Write is one change of a transaction: a put or a removal.
type Write struct {
	Write  string          `json:",omitempty"`
	Value  json.RawMessage `json:",omitempty"`
	Hold   uint64          `json:",omitempty"`
	Remove string          `json:",omitempty"`
}

// Multi is a transaction.
type Multi struct {
	When   []Cond  `json:",omitempty"`
	Writes []Write `json:",omitempty"`
}

// Item is one key of the state service.
type Item struct {
	Path  string
	Value json.RawMessage
	Stamp uint64
	Hold  uint64
}

// Change is one event of a watch.
type Change struct {
	Write  string
	Value  json.RawMessage
	Remove string
	Stamp  uint64
}
