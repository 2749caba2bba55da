package wire

// Heartbeat is the periodic status message of a worker. Heartbeats of a worker are ordered by
// Incarnation, then by Sequence.
type Heartbeat struct {
	Host              string       // machine name in the cloud
	Address           string       // IP address and port for direct commands
	Type              string       `json:"Build"` // machine type
	Zone              string       `json:"Yard"`
	Spot              bool         `json:"Loaners"`
	Incarnation       uint64       `json:"Stint"`   // from 1; increases each time the worker's lease expires
	Sequence          uint64       `json:"Tally"`   // increases with each message of the worker
	Token             uint64       `json:"Baton"`   // highest fencing token that the worker has seen
	PreemptionNoticeS *float64     `json:"RecallS"` // time until the cloud preempts the machine; nil: no notice
	Tasks             []TaskStatus `json:"Pieces"`  // all tasks on the machine, exited ones until VerbReap
}

// TaskStatus is the status of a task in a heartbeat.
type TaskStatus struct {
	Name            string `json:"Piece"`
	Attempt         uint64 `json:"Try"`
	State           string `json:"Stage"`           // one of the Task constants
	ExitReason      string `json:"Cause,omitempty"` // one of the Exit constants if State is TaskExited
	CheckpointSaved bool   `json:"Stored,omitempty"`
}

// Command is a command to a worker for one attempt of a task.
type Command struct {
	Verb         string   `json:"Verb"` // one of the Verb constants
	Task         string   `json:"Piece"`
	Attempt      uint64   `json:"Try"`
	GracePeriodS *float64 `json:"WindDownS,omitempty"` // for VerbStop only
}

// HeartbeatResponse is the response to a heartbeat. The worker renews its lease and executes the
// commands in order. It ignores a response whose Token is lower than the highest it has seen.
type HeartbeatResponse struct {
	Token    uint64    `json:"Baton"`
	Commands []Command `json:"Orders"`
}

// DirectCommands is a request with commands to a worker's address. It does not renew the worker's lease.
// The worker executes the commands if Token is not lower than the highest it has seen and Incarnation
// is its own.
type DirectCommands struct {
	Token       uint64    `json:"Baton"`
	Incarnation uint64    `json:"Stint"`
	Commands    []Command `json:"Orders"`
}

// Redirect is the response to a heartbeat that another member handles. Without a Member, the worker
// tries the next member that it knows.
type Redirect struct {
	Member string `json:"ReportsTo,omitempty"`
}
