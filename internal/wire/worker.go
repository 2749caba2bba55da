package wire

// Heartbeat is a worker's report of its status. Of two heartbeats of a worker, the one with the
// larger (Incarnation, Sequence) is the newer one.
type Heartbeat struct {
	Host              string       // the machine's name in the cloud
	Address           string       // IP address and port for direct commands
	Type              string       `json:"Build"` // machine type
	Zone              string       `json:"Yard"`
	Spot              bool         `json:"Loaners"`
	Incarnation       uint64       `json:"Stint"`   // from 1; increases each time the worker's lease expires
	Sequence          uint64       `json:"Tally"`   // increases with every message of the worker
	Token             uint64       `json:"Baton"`   // the highest fencing token the worker has seen
	PreemptionNoticeS *float64     `json:"RecallS"` // until the cloud takes the machine back; nil: no notice
	Tasks             []TaskStatus `json:"Pieces"`  // all on the machine, exited ones until they are reaped
}

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Name            string `json:"Piece"`
	Attempt         uint64 `json:"Try"`
	State           string `json:"Stage"`           // one of the Task constants
	ExitReason      string `json:"Cause,omitempty"` // one of the Exit constants, for TaskExited
	CheckpointSaved bool   `json:"Stored,omitempty"`
}

// Command is one command to a worker.
type Command struct {
	Verb         string   `json:"Verb"` // one of the Verb constants
	Task         string   `json:"Piece"`
	Attempt      uint64   `json:"Try"`
	GracePeriodS *float64 `json:"WindDownS,omitempty"` // of VerbStop
}

// HeartbeatResponse answers a heartbeat. The worker renews its lease and executes the commands in
// order, unless Token is lower than the highest it has seen.
type HeartbeatResponse struct {
	Token    uint64    `json:"Baton"`
	Commands []Command `json:"Orders"`
}

// DirectCommands are commands sent to a worker's address. They do not renew its lease. The worker
// executes them if Token is not lower than the highest it has seen and Incarnation is its own.
type DirectCommands struct {
	Token       uint64    `json:"Baton"`
	Incarnation uint64    `json:"Stint"`
	Commands    []Command `json:"Orders"`
}

// Redirect answers a heartbeat that another member handles; with no member, the worker tries
// the next one it knows.
type Redirect struct {
	Member string `json:"ReportsTo,omitempty"`
}
