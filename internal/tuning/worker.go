package tuning

import "time"

// The state of machines and their leases, used by packages worker and fleet.
const (
	// WorkerLeaseMargin is added to a worker's lease before it counts as expired.
	WorkerLeaseMargin = 300 * time.Millisecond
	// UnresponsiveHeartbeats is for how many heartbeat intervals, with UnresponsiveGrace added, a
	// machine may send no heartbeat before it gets no new work.
	UnresponsiveHeartbeats = 1.6
	// UnresponsiveGrace is added to UnresponsiveHeartbeats.
	UnresponsiveGrace = 500 * time.Millisecond
	// WorkerReplyTimeout is the least time after which a worker that got no response turns to
	// another controller: by the protocol 4 s, less the time for which a network may have
	// delayed its previous heartbeat.
	WorkerReplyTimeout = 3500 * time.Millisecond
	// UnreachableLeases is for how many leases a machine may send heartbeats without a sign that
	// anything reaches it before it is deleted: a lost response or a failover passes
	// within one.
	UnreachableLeases = 2
	// DeletedMachinesKept is how many names of deleted machines are remembered.
	DeletedMachinesKept = 20000
)

// Direct commands to workers, used by package controller.
const (
	// CommandTimeout bounds a direct command, which normally takes milliseconds. A response
	// that an owner short of processor time is too slow to read would count against the
	// machine, which is deleted: with 3 s an owner without processor time deleted one after the
	// other.
	CommandTimeout = 8 * time.Second
	// WorkerDialTimeout is how long the making of a connection to a worker may take: so
	// machines that cannot be reached are recognised. It is not too short, for the same reason.
	WorkerDialTimeout = 2 * time.Second
	// CommandsInFlight is how many direct commands may be in flight at least.
	CommandsInFlight = 16
	// CommandSocketShare is the part of the machine's sockets that commands may take, if that is
	// more than CommandsInFlight: a fifth of the machines may be unreachable, and each command
	// to one of them hangs for a second.
	CommandSocketShare = 0.025
	// CommandIdleConnections is how many connections are kept for further commands.
	CommandIdleConnections = 16
	// MaxWorkerResponseBytes bounds a worker's response: a heartbeat has at most one entry for
	// each task.
	MaxWorkerResponseBytes = 1 << 20
)

// Commands and attempts, used by package placement.
const (
	// MaxCommandsPerReply bounds the commands in one response to a heartbeat, so that it stays
	// far below the protocol's 64 KiB a line.
	MaxCommandsPerReply = 300
	// MaxDirectStarts is how many attempts may be started by direct commands in one incarnation
	// of a worker. They stay in its heartbeats, which must not grow without bound; beyond it
	// all starts are sent with responses to heartbeats.
	MaxDirectStarts = 40
	// AttemptBits is how many low bits of an attempt number count a job's attempts within a
	// term; the others are the term's token.
	AttemptBits = 20
	// AttemptReserve is how many of a job's attempt numbers are left when the owner gives its
	// shard back, so that the token of the next term begins a new range: no owner starts so
	// many within one tick.
	AttemptReserve = 1 << 17
)
