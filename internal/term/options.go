package term

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/leader"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Effects performs the I/O of a term. No method blocks. Each one calls done later, on the goroutine that
// owns the controller.
type Effects interface {
	// CallState sends a call to the state service.
	CallState(call store.Call, done func(now time.Time, result store.Result))
	// CallCloud sends a call to the cloud API.
	CallCloud(call cloud.Call, done func(now time.Time, result cloud.Result))
	// SendCommands sends commands directly to a worker. It fails with ErrDeadlinePassed if they
	// cannot be sent before the deadline, so that a process resumed after a suspension does not act
	// on outdated state. On success the heartbeat holds the worker's state after it executed or
	// rejected the commands. After any other error the worker may have executed the commands or
	// may still execute them.
	SendCommands(address string, commands wire.DirectCommands, deadline time.Time,
		done func(now time.Time, heartbeat *wire.Heartbeat, err error))
	// ProbeWorkers asks another controller to probe workers and to count those that respond.
	ProbeWorkers(member string, request *peerpb.ProbeRequest,
		done func(now time.Time, reply *peerpb.ProbeReply, err error))
}

// Errors of SendCommands.
var (
	// ErrDeadlinePassed means that the commands were not sent and will not be sent.
	ErrDeadlinePassed = errors.New("send commands: deadline passed")
	// ErrNoResponse means that the worker did not respond; it may have received the commands.
	ErrNoResponse = errors.New("no response")
)

// Membership provides the lease of this process, under which a term acts, and the control records.
type Membership interface {
	// LeaseValid reports whether the process's lease is guaranteed to be valid.
	LeaseValid(now time.Time) bool
	// LeaseDeadline returns the time from which the process's lease may have expired.
	LeaseDeadline() time.Time
	// FeatureInForce reports whether the feature gate is in force: every member has announced it.
	FeatureInForce(name string) bool
	// RecordEarlierTermsEnded records that no lease holder of an earlier term can renew a worker's lease
	// any more. It may do nothing; the caller must retry.
	RecordEarlierTermsEnded(now time.Time, assignment leader.Assignment)
	// CurrentAsOf returns the time up to which every change of the control records has been read.
	CurrentAsOf() time.Time
}

// Controller is the controller that runs a term.
type Controller interface {
	// RunAfter runs a function after a delay, on the goroutine that owns the controller.
	RunAfter(now time.Time, delay time.Duration, run func(now time.Time))
	// ReconcileTerms starts and ends terms to match the control records. A term calls it after any
	// event that may have ended the term.
	ReconcileTerms(now time.Time)
	// Redirect replies with a redirect to the lease holder of a shard.
	Redirect(shard int, reply func(status int, body any))
	// MayBelongToOtherShard reports whether a machine that existed at existedAt belongs to a shard
	// other than the given one, or may do so according to a record that has not been read yet.
	MayBelongToOtherShard(shard int, machine string, existedAt time.Time) bool
	// BelongsToOtherShard reports whether a record of a shard other than the given one names a machine.
	BelongsToOtherShard(shard int, machine string) bool
}

// Options configures a term.
type Options struct {
	Assignment  leader.Assignment
	Incarnation uint64 // incarnation of this process
	Shards      int    // number of shards of the deployment
	Platform    config.Platform
	Peers       []string // names of the other members

	Effects    Effects
	Membership Membership
	Controller Controller
	// OpenJobs and ProvisionRequests cache the records of all shards.
	OpenJobs, ProvisionRequests *store.WatchCache

	// IntentLog enables the durable intent log once its feature gate is in force.
	IntentLog bool
	Tracer    intentlog.Tracer // nil disables tracing
	Rand      *rand.Rand
	WallClock func() time.Time
	Log       *slog.Logger
}
