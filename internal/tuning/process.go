package tuning

import "time"

// The process.
const (
	// TickEvery is how often slices look for what is due.
	TickEvery = 100 * time.Millisecond
	// SlowTurn is how long the owner may be busy with one thing before it is logged:
	// a tenth of a member's lease.
	SlowTurn = 350 * time.Millisecond
	// LateTick is how late a tick may come before it is logged: past a member's
	// renewal it is on the way to losing its lease.
	LateTick = 1 * time.Second
	// TallyEvery is how long completions gather before they are written.
	TallyEvery = 1500 * time.Millisecond
	// EndsAtOnce is how many jobs' ends may be under way: the rest waits in the order of
	// priority, and not behind whatever was asked for before.
	EndsAtOnce = 8
	// TallyBits is how many bits of a tally go into one byte of a value's
	// limit: base64 takes its part, and a page should hold several jobs'.
	TallyBits = 2
	// TallyName is what a tally's name and the JSON around it take of its page, bytes.
	TallyName = 64
	// BegunEvery is how often jobs are marked as begun: a gang waits for it.
	BegunEvery = 100 * time.Millisecond
	// UsedEvery is how often machines heard for the first time are entered as
	// used: hundreds come up within seconds, and each waits for its entry.
	UsedEvery = 250 * time.Millisecond
	// OpenPace is how soon after one change of the open jobs, or of the rentals, a
	// node that holds no block looks for the next: questions bring it up to date.
	OpenPace = 1 * time.Second
	// HolderPace is the same for a holder, which has to act on them.
	HolderPace = 50 * time.Millisecond
	// SyncShare is the part of the state service's rate that all nodes'
	// questions about open jobs may take together.
	SyncShare = 0.3
	// CountEvery is how often the counters of copies are logged.
	CountEvery = 60 * time.Second
	// EventBuffer is how many events of a sort may wait for the owner goroutine.
	EventBuffer = 256
	// PulseEvery is how often the controllers exchange what they know.
	PulseEvery = 1 * time.Second
	// PulseTimeout bounds a pulse, ProgressTimeout a question for progress: a
	// user waits 2 s for an answer.
	PulseTimeout    = 800 * time.Millisecond
	ProgressTimeout = 400 * time.Millisecond
	// ProgressJobs is about how many jobs one call asks a block's holder.
	ProgressJobs = 500
	// PeerCalls is how many calls to peers may be under way at once.
	PeerCalls = 32
	// CutAfter is how long the state service must have been silent to a node,
	// while a peer hears it, for the node to call itself unhealthy.
	CutAfter = 4 * time.Second
	// HeaderTimeout bounds what a client may take for a request, IdleTimeout how
	// long one of this node's own connections is kept for the next call.
	HeaderTimeout = 5 * time.Second
	IdleTimeout   = 90 * time.Second
	// IdleReports, in report intervals, and IdleLeast are how long a client's
	// connection is kept without a request.
	IdleReports = 4
	IdleLeast   = 20 * time.Second
	// OwnSockets are kept for listeners, operators and connections that are being
	// closed, ClientsLeast given to clients however small the limit.
	OwnSockets   = 60
	ClientsLeast = 64
	// SharedClients is the part of the clients' connections that may be open before
	// workers' are closed with the answer to each report: a fleet may have more machines
	// than a controller has sockets. Below it a connection is kept, which is cheaper.
	SharedClients = 0.98
	// FirstRequest is how long a new connection's first request may take to come before
	// the connection counts as idle.
	FirstRequest = 1 * time.Second
	// ReportWait bounds how long a report waits for its turn: its worker turns to
	// another node after 4 s.
	ReportWait = 3 * time.Second
	// DialTimeout bounds the making of a connection: one that takes longer
	// leads into a cut.
	DialTimeout = 1 * time.Second
	// PeerRetry and PeerRetryMost bound the pauses between attempts to reach
	// a peer: one that was restarted should be heard again at once.
	PeerRetry     = 200 * time.Millisecond
	PeerRetryMost = 1 * time.Second
	// WorkerAnswerBytes bounds a worker's answer: a report has at most one
	// entry a task.
	WorkerAnswerBytes = 1 << 20
	// CommandsMost bounds the commands in one answer, so that it stays far below
	// the protocol's 64 KiB a line.
	CommandsMost = 300
	// StatusJobs bounds the jobs in a status.
	StatusJobs = 200
	// MeasuredCPU, in cores, MeasuredMemoryMB and MeasuredSockets are the smallest
	// machine on which the service was seen to keep up with a fleet, of up to 260
	// simulated machines (docs/operations.md); below them it warns.
	MeasuredCPU      = 0.036
	MeasuredMemoryMB = 65
	MeasuredSockets  = 900
	// GCPercent lets the heap grow several times over what is live before it is
	// collected: what is live is small, and the memory limit bounds the rest.
	GCPercent = 400
	// MemoryShare is the part of the memory limit given to the Go heap; the
	// program's text and the runtime's own memory take the rest.
	MemoryShare = 0.6
)

// Clock and traces.
const (
	// SuspendedLeast is from which difference of two clocks on the machine counts as
	// having been suspended: they are read one after the other.
	SuspendedLeast = 100 * time.Millisecond
	// TraceQueue is how many spans may wait to be written, and TraceEvery how often they
	// are: when there are more, the rest is dropped, as nothing waits for them.
	TraceQueue = 2048
	TraceEvery = 1 * time.Second
)
