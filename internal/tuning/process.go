package tuning

import "time"

// The process.
const (
	// TickInterval is how often slices look for what is due.
	TickInterval = 100 * time.Millisecond
	// SlowEventThreshold is how long the owner may be busy with one thing before it is logged:
	// a tenth of a member's lease.
	SlowEventThreshold = 350 * time.Millisecond
	// LateTickThreshold is how late a tick may come before it is logged: past a member's
	// renewal it is on the way to losing its lease.
	LateTickThreshold = 1 * time.Second
	// CompletionWriteInterval is how long completions gather before they are written.
	CompletionWriteInterval = 1500 * time.Millisecond
	// MaxJobEndsInFlight is how many jobs' ends may be under way: the rest waits in the order of
	// priority, and not behind whatever was asked for before.
	MaxJobEndsInFlight = 8
	// CompletionBitsPerByte is how many bits of a tally go into one byte of a value's
	// limit: base64 takes its part, and a page should hold several jobs'.
	CompletionBitsPerByte = 2
	// CompletionNameBytes is what a tally's name and the JSON around it take of its page, bytes.
	CompletionNameBytes = 64
	// StartMarkerInterval is how often jobs are marked as begun: a gang waits for it.
	StartMarkerInterval = 100 * time.Millisecond
	// RegistrationInterval is how often machines heard for the first time are entered as
	// used: hundreds come up within seconds, and each waits for its entry.
	RegistrationInterval = 250 * time.Millisecond
	// FollowerWatchInterval is how soon after one change of the open jobs, or of the rentals, a
	// node that holds no block looks for the next: questions bring it up to date.
	FollowerWatchInterval = 1 * time.Second
	// OwnerWatchInterval is the same for a holder, which has to act on them.
	OwnerWatchInterval = 50 * time.Millisecond
	// QueryRateShare is the part of the state service's rate that all nodes'
	// questions about open jobs may take together.
	QueryRateShare = 0.3
	// CounterLogInterval is how often the counters of copies are logged.
	CounterLogInterval = 60 * time.Second
	// EventQueueSize is how many events of a sort may wait for the owner goroutine.
	EventQueueSize = 256
	// PeerHeartbeatInterval is how often the controllers exchange what they know.
	PeerHeartbeatInterval = 1 * time.Second
	// PeerHeartbeatTimeout bounds a pulse, ProgressTimeout a question for progress: a
	// user waits 2 s for an answer.
	PeerHeartbeatTimeout    = 800 * time.Millisecond
	ProgressTimeout = 400 * time.Millisecond
	// MaxProgressJobs is about how many jobs one call asks a block's holder.
	MaxProgressJobs = 500
	// PeerCallsInFlight is how many calls to peers may be under way at once.
	PeerCallsInFlight = 32
	// IsolatedAfter is how long the state service must have been silent to a node,
	// while a peer hears it, for the node to call itself unhealthy.
	IsolatedAfter = 4 * time.Second
	// HeaderTimeout bounds what a client may take for a request, IdleTimeout how
	// long one of this node's own connections is kept for the next call.
	HeaderTimeout = 5 * time.Second
	IdleTimeout   = 90 * time.Second
	// IdleConnectionHeartbeats, in report intervals, and IdleLeast are how long a client's
	// connection is kept without a request.
	IdleConnectionHeartbeats = 4
	MinConnectionIdleTimeout   = 20 * time.Second
	// ReservedSockets are kept for listeners, operators and connections that are being
	// closed, ClientsLeast given to clients however small the limit.
	ReservedSockets   = 60
	MinClientConnections = 64
	// KeepAliveConnectionShare is the part of the clients' connections that may be open before
	// workers' are closed with the answer to each report: a fleet may have more machines
	// than a controller has sockets. Below it a connection is kept, which is cheaper.
	KeepAliveConnectionShare = 0.98
	// FirstRequestTimeout is how long a new connection's first request may take to come before
	// the connection counts as idle.
	FirstRequestTimeout = 1 * time.Second
	// HeartbeatQueueTimeout bounds how long a report waits for its turn: its worker turns to
	// another node after 4 s.
	HeartbeatQueueTimeout = 3 * time.Second
	// DialTimeout bounds the making of a connection: one that takes longer
	// leads into a cut.
	DialTimeout = 1 * time.Second
	// PeerRetryInitial and PeerRetryMost bound the pauses between attempts to reach
	// a peer: one that was restarted should be heard again at once.
	PeerRetryInitial     = 200 * time.Millisecond
	PeerRetryMax = 1 * time.Second
	// MaxWorkerResponseBytes bounds a worker's answer: a report has at most one
	// entry a task.
	MaxWorkerResponseBytes = 1 << 20
	// MaxCommandsPerReply bounds the commands in one answer, so that it stays far below
	// the protocol's 64 KiB a line.
	MaxCommandsPerReply = 300
	// MaxStatusJobs bounds the jobs in a status.
	MaxStatusJobs = 200
	// MeasuredCPU, in cores, MeasuredMemoryMB and MeasuredSockets are the smallest
	// machine on which the service was seen to keep up with a fleet, of up to 260
	// simulated machines (docs/operations.md); below them it warns.
	MeasuredCPU      = 0.036
	MeasuredMemoryMB = 65
	MeasuredSockets  = 900
	// GCPercent lets the heap grow several times over what is live before it is
	// collected: what is live is small, and the memory limit bounds the rest.
	GCPercent = 400
	// HeapMemoryShare is the part of the memory limit given to the Go heap; the
	// program's text and the runtime's own memory take the rest.
	HeapMemoryShare = 0.6
)

// Clock and traces.
const (
	// MinSuspension is from which difference of two clocks on the machine counts as
	// having been suspended: they are read one after the other.
	MinSuspension = 100 * time.Millisecond
	// TraceQueueSize is how many spans may wait to be written, and TraceEvery how often they
	// are: when there are more, the rest is dropped, as nothing waits for them.
	TraceQueueSize = 2048
	TraceWriteInterval = 1 * time.Second
)
