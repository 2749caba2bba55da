package tuning

import "time"

// Workers.
const (
	// WorkerLeaseMargin is added to a worker's lease before it counts as over.
	WorkerLeaseMargin = 300 * time.Millisecond
	// UnresponsiveHeartbeats, in report intervals, and SilentGrace: a machine that has
	// not reported for so long gets no new work.
	UnresponsiveHeartbeats = 1.6
	UnresponsiveGrace   = 500 * time.Millisecond
	// CommandTimeout bounds a direct command, which normally takes milliseconds. An answer
	// that a holder short of processor time is too slow to read would count against
	// the machine, which is returned: with 3 s a starved one returned one after the
	// other. Machines that cannot be reached are told by WorkerDial, how long the
	// making of a connection to a worker may take, for the same reason not too short.
	CommandTimeout  = 8 * time.Second
	WorkerDialTimeout = 2 * time.Second
	// CommandsInFlight is how many direct commands may be under way at once, or DoShare of
	// the machine's sockets if that is more: a fifth of the machines may be cut
	// off, and each command to one of them hangs for a second. DoIdle is how many
	// connections are kept for further commands.
	CommandsInFlight = 16
	CommandSocketShare = 0.025
	CommandIdleConnections  = 16
	// IsolationMinMachines is how many machines must have reported lately, and
	// UnreachableReports for how many report intervals none of them may have, for a
	// holder to suspect that it is the one cut off: reports vary by a quarter.
	IsolationMinMachines = 3
	IsolationHeartbeats  = 1.25
	// ProbeWorkers is how many workers a peer is then asked to try, and
	// ProbeTimeout how long it tries.
	ProbeWorkers = 3
	ProbeTimeout = 700 * time.Millisecond
	// MaxDirectStarts is how many attempts may be started by direct commands in a
	// worker's session. They stay in its reports, which must not grow for ever;
	// beyond it all starts go with the answers to reports.
	MaxDirectStarts = 40
	// ReconcileRetry is the pause before an unheard machine is asked again.
	ReconcileRetry = 1 * time.Second
	// WorkerReplyTimeout is the least time after which a worker that got no answer
	// turns to another node, by the protocol 4 s, less what a network may have
	// held its report before back.
	WorkerReplyTimeout = 3500 * time.Millisecond
	// UnreachableLeases is for how many leases a machine may report without a sign that
	// anything reaches it before it is returned: a lost answer or a change of
	// the holder passes within one.
	UnreachableLeases = 2
	// DeletedMachinesKept is how many returned machines' names are remembered.
	DeletedMachinesKept = 20000
	// AttemptBits is how many low bits of an attempt number count a job's attempts
	// within a tenure. When AttemptsLeft of them are left the holder gives its block
	// back, and the next tenure's token begins a new range: no holder starts so many
	// within one tick.
	AttemptBits  = 20
	AttemptReserve = 1 << 17
)
