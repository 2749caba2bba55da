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

// Effects are what a term asks of the outside. Each returns at once; its result comes back
// later, on the goroutine that owns the controller.
type Effects interface {
	// CallState sends a call to the state service.
	CallState(call store.Call, then func(now time.Time, result store.Result))
	// CallCloud sends a call to the cloud.
	CallCloud(call cloud.Call, then func(now time.Time, result cloud.Result))
	// SendCommands sends commands straight to a worker, unless that is only possible after
	// the deadline (ErrDeadlinePassed): a process that was frozen must not act on what it
	// believed before. On success it brings the worker's state after the commands, whether
	// the worker has executed them or rejected them; after any other error they may have been
	// executed, or may be executed later.
	SendCommands(address string, commands wire.DirectCommands, deadline time.Time,
		then func(now time.Time, heartbeat *wire.Heartbeat, err error))
	// ProbeWorkers has another controller ask workers whether they answer.
	ProbeWorkers(member string, request *peerpb.ProbeRequest,
		then func(now time.Time, reply *peerpb.ProbeReply, err error))
}

// Errors of SendCommands.
var (
	// ErrDeadlinePassed tells that the commands were not sent, and never will be.
	ErrDeadlinePassed = errors.New("commands not sent: deadline passed")
	// ErrNoResponse tells that no answer came.
	ErrNoResponse = errors.New("no reply")
)

// Membership is the process's own lease, under which a term acts, and what it knows of the
// control records.
type Membership interface {
	// LeaseValid reports whether the process's lease surely stands.
	LeaseValid(now time.Time) bool
	// LeaseDeadline is when the process's lease may have ended.
	LeaseDeadline() time.Time
	// FeatureInForce reports whether every member has announced a feature.
	FeatureInForce(name string) bool
	// CurrentAsOf is the moment up to which all changes of the control records are known.
	CurrentAsOf() time.Time
}

// Host is the controller that a term runs in.
type Host interface {
	// Schedule runs a function on the owner goroutine after a delay.
	Schedule(now time.Time, delay time.Duration, run func(now time.Time))
	// ReconcileTerms starts and ends terms as the control records say. A term calls it when
	// it may have ended.
	ReconcileTerms(now time.Time)
	// Redirect sends a worker to the lease holder of a shard.
	Redirect(shard int, reply func(status int, body any))
	// MayBelongToOtherShard reports whether a machine, which existed at some time, belongs, or
	// may turn out to belong, to another shard than the given one.
	MayBelongToOtherShard(shard int, machine string, existedAt time.Time) bool
}

// Options are what a term is made of.
type Options struct {
	Term        leader.Term
	Incarnation uint64 // of the process's membership
	Shards      int    // of the deployment
	Platform    config.Platform
	Peers       []string // the other members

	Effects    Effects
	Membership Membership
	Host       Host
	// OpenJobs and ProvisionRequests are the watch caches of all shards' records.
	OpenJobs, ProvisionRequests *store.WatchCache

	// IntentLog has intents recorded durably once every member has announced that.
	IntentLog bool
	Tracer    intentlog.Tracer // nil: no spans are made
	Rand      *rand.Rand
	WallClock func() time.Time
	Log       *slog.Logger
}
