package tuning

import "time"

// Machine states and worker leases, used by packages worker, fleet and term.
const (
	// WorkerLeaseMargin is added to a worker's lease before the lease counts as expired.
	WorkerLeaseMargin = 300 * time.Millisecond
	// UnresponsiveHeartbeats determines, with UnresponsiveGrace, the time without a heartbeat after
	// which a machine gets no new tasks:
	//
	//	UnresponsiveHeartbeats * heartbeat interval + UnresponsiveGrace
	UnresponsiveHeartbeats = 1.6
	// UnresponsiveGrace is the constant term of that formula.
	UnresponsiveGrace = 500 * time.Millisecond
	// WorkerReplyTimeout is the minimum time after which a worker without a response fails over to
	// another controller: the protocol's 4 s less the network delay of its previous heartbeat.
	WorkerReplyTimeout = 3500 * time.Millisecond
	// UnreachableLeases is the time, in worker leases, after which a machine is deleted if it sends
	// heartbeats but gives no sign that it receives responses. A failover takes less than one lease.
	UnreachableLeases = 2
	// DeletedMachinesKept is the number of deleted machines whose names are remembered.
	DeletedMachinesKept = 20000
)

// Direct commands to workers, used by package controller.
const (
	// CommandTimeout bounds a direct command. It is long, as a timeout counts against the machine even
	// if the lease holder lacks the CPU time to read the response. With 3 s, a lease holder without CPU
	// time deleted one machine after the other.
	CommandTimeout = 8 * time.Second
	// WorkerDialTimeout bounds the dial of a connection to a worker. A failed dial shows that the
	// machine is unreachable. It is not too short, for the same reason as CommandTimeout.
	WorkerDialTimeout = 2 * time.Second
	// MinCommandsInFlight is the lower bound of the limit on concurrent direct commands, whatever
	// CommandSocketShare yields.
	MinCommandsInFlight = 16
	// CommandSocketShare is the share of the controller's sockets for direct commands, if that exceeds
	// MinCommandsInFlight. Commands to unreachable machines hold their sockets until the dial times
	// out. A fifth of the machines may be unreachable, and each command to one of them hangs for a
	// second.
	CommandSocketShare = 0.025
	// CommandIdleConnections is the number of idle connections kept for further commands.
	CommandIdleConnections = 16
	// MaxWorkerResponseBytes bounds a worker's response body, a heartbeat with all of its tasks.
	MaxWorkerResponseBytes = 1 << 20
)

// Commands and attempts, used by package placement.
const (
	// MaxCommandsPerReply bounds the commands in one response to a heartbeat, which must stay below
	// the protocol's limit of 64 KiB.
	MaxCommandsPerReply = 300
	// MaxDirectStarts bounds the attempts started by direct commands in one incarnation of a worker.
	// Such attempts stay in its heartbeats. Further starts are sent with responses to heartbeats.
	MaxDirectStarts = 40
	// AttemptBits is the number of low bits of an attempt number that count a job's attempts within
	// a term. The high bits are the term's fencing token.
	AttemptBits = 20
	// AttemptReserve is the number of unused attempt numbers of a job at which the lease holder
	// releases its shard lease, so that the token of the next term opens a new range. It exceeds the
	// attempts that one tick can start.
	AttemptReserve = 1 << 17
)
