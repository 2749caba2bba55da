// Package controller implements one controller of a deployment: it takes part in leader
// election, routes requests, and runs the terms of the shards whose leases it holds.
//
// A Controller is a state machine that is confined to one goroutine, the event loop. It
// handles events without any I/O and delegates I/O to its Effects, whose results return as
// events. A Runtime runs the event loop in a process, with its servers and connections.
package controller

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/config"
	"juniperchute/internal/fleet"
	"juniperchute/internal/leader"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Environment provides a controller with the facilities of its process.
type Environment struct {
	Effects   Effects
	Rand      *rand.Rand
	WallClock func() time.Time // the time of day, for timestamps that operators read
	Log       *slog.Logger
}

// Controller holds the state of one controller. Its methods may be called only on the event
// loop.
type Controller struct {
	config      *config.Config
	options     Options
	environment Environment

	process processIdentity
	timers  []timer

	membership    *leader.Membership
	submissions   *submission.Service
	terms         map[int]*term.Term // by shard; an ended term stays while the control records assign it
	settings      admin.Settings
	machineTypes  machineTypes
	storedIntents storedIntents // as of the last complete read for an operator

	// Watch caches of the records of all shards.
	openJobs          *store.WatchCache
	provisionRequests *store.WatchCache
	shardOfMachine    map[string]int // from the provisioning requests that name machines

	peers           peerGroup
	progressQueues  map[int]*progressQueue // by shard
	cancellationLog *submission.CancellationLog
}

// processIdentity distinguishes this process from earlier processes of the same member.
type processIdentity struct {
	id        uint64    // random, never 0
	startedAt time.Time // time of the first tick; zero before it
}

// timer runs a function on the event loop at a given time.
type timer struct {
	at  time.Time
	run func(now time.Time)
}

// machineTypes holds the cloud's machine types that have been read from the control records.
type machineTypes struct {
	byName  map[string]wire.MachineType
	records map[string]string // encoded records, by name
	total   int               // number of machine types in the control records
}

// NewController returns a controller that does nothing before the first Tick.
func NewController(cfg *config.Config, options Options, environment Environment) *Controller {
	c := &Controller{
		config: cfg, options: options, environment: environment,
		process:        processIdentity{id: environment.Rand.Uint64() | 1},
		terms:          map[int]*term.Term{},
		settings:       admin.Defaults(),
		machineTypes:   machineTypes{byName: map[string]wire.MachineType{}, records: map[string]string{}},
		shardOfMachine: map[string]int{},
		peers:          newPeerGroup(cfg.Peers),
		progressQueues: map[int]*progressQueue{},
	}
	c.cancellationLog = submission.NewCancellationLog(options.Shards,
		config.Seconds(cfg.Platform.Workers.CancelS), cfg.Platform.State.WriteRPS)
	c.membership = leader.New(leader.Options{
		Member:            cfg.Member,
		Shards:            options.Shards,
		Features:          options.Features.Announced(),
		WallClock:         environment.WallClock,
		StateCall:         c.callState,
		Log:               environment.Log,
		OnUnhandledRecord: c.applyControlRecord,
	})
	c.openJobs = store.NewWatchCache(store.WatchCacheOptions{
		Prefix:    submission.OpenJobPrefix,
		StateCall: c.callState,
		OnChange:  c.applyOpenJob,
	})
	c.provisionRequests = store.NewWatchCache(store.WatchCacheOptions{
		Prefix:    fleet.ProvisioningPrefix,
		StateCall: c.callState,
		OnChange:  c.applyProvisionRequest,
	})
	c.submissions = submission.New(submission.Options{
		Platform:           cfg.Platform,
		Shards:             options.Shards,
		WallClock:          environment.WallClock,
		CallStore:          c.callState,
		Log:                environment.Log,
		MachineTypes:       c.allMachineTypes,
		OpenJobs:           c.openJobs,
		QueryProgress:      c.jobProgress,
		RecordCancellation: c.recordCancellation,
	})
	return c
}

// callState calls the state service and reconciles the terms after the result has been handled.
func (c *Controller) callState(call store.Call, done func(time.Time, store.Result)) {
	c.environment.Effects.CallState(call, func(now time.Time, result store.Result) {
		done(now, result)
		c.ReconcileTerms(now)
	})
}

// RunAfter runs a function on the event loop after a delay, rounded up to the next tick.
func (c *Controller) RunAfter(now time.Time, delay time.Duration, run func(now time.Time)) {
	c.timers = append(c.timers, timer{now.Add(delay), run})
}

func (c *Controller) runTimers(now time.Time) {
	for i := 0; i < len(c.timers); {
		due := c.timers[i]
		if now.Before(due.at) {
			i++
			continue
		}
		c.timers = slices.Delete(c.timers, i, i+1)
		due.run(now)
	}
}

// applyOpenJob passes a change of an open job's record to all terms.
func (c *Controller) applyOpenJob(now time.Time, _ string, kv wire.KeyValue, deleted bool) {
	for t := range c.termsInOrder() {
		t.ApplyOpenJob(now, kv, deleted)
	}
}

// applyControlRecord applies a change of a control record other than the membership records.
func (c *Controller) applyControlRecord(_ time.Time, key string, kv wire.KeyValue, deleted bool) {
	if key == admin.SettingsKey {
		c.applySettings(kv, deleted)
		return
	}
	if name, ok := fleet.MachineTypeName(key); ok {
		c.applyMachineType(name, kv, deleted)
	}
}

func (c *Controller) applySettings(kv wire.KeyValue, deleted bool) {
	c.settings = admin.Defaults()
	if !deleted {
		c.settings = admin.Decode(kv.Value, c.environment.Log)
	}
	for t := range c.termsInOrder() {
		t.ApplySettings(c.settings)
	}
}

func (c *Controller) applyMachineType(name string, kv wire.KeyValue, deleted bool) {
	delete(c.machineTypes.byName, name)
	delete(c.machineTypes.records, name)
	if deleted {
		return
	}
	var record fleet.MachineTypeRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		c.environment.Log.Error("failed to decode machine type record", "key", kv.Key, "error", err)
		return
	}
	c.machineTypes.byName[name] = record.MachineType
	c.machineTypes.records[name] = string(kv.Value)
	c.machineTypes.total = record.Total
	for t := range c.termsInOrder() {
		t.ApplyMachineType(record.MachineType, string(kv.Value))
	}
}

// allMachineTypes returns the machine types by name, or nil until all of them have been read.
func (c *Controller) allMachineTypes() map[string]wire.MachineType {
	if len(c.machineTypes.byName) < c.machineTypes.total {
		return nil
	}
	return c.machineTypes.byName
}

// Tick runs due timers, reconciles the terms, and starts the calls and heartbeats that are due.
// It must be called at every tuning.TickInterval.
func (c *Controller) Tick(now time.Time) {
	if c.process.startedAt.IsZero() {
		c.process.startedAt = now
	}
	c.membership.Tick(now)
	c.runTimers(now)
	c.ReconcileTerms(now)
	c.openJobs.MinWatchInterval = tuning.FollowerWatchInterval
	c.provisionRequests.MinWatchInterval = tuning.FollowerWatchInterval
	if len(c.terms) > 0 {
		c.openJobs.MinWatchInterval = tuning.LeaseHolderWatchInterval
	}
	c.openJobs.Tick(now)
	c.provisionRequests.Tick(now)
	for t := range c.termsInOrder() {
		t.Tick(now)
	}
	if !now.Before(c.peers.nextHeartbeatAt) {
		c.peers.nextHeartbeatAt = now.Add(tuning.PeerHeartbeatInterval)
		c.sendPeerHeartbeats(now)
	}
}

// Healthy reports whether this controller can take requests. It returns false if only this
// controller cannot reach the state service, or if neither the state service nor a peer responds.
// A load balancer then sends requests to the other controllers. In an outage of the state service
// all controllers stay healthy, because a load balancer is slow to restore one that it has ejected.
func (c *Controller) Healthy(now time.Time) bool {
	if !c.membership.Synced() || !c.openJobs.Synced() || len(c.allMachineTypes()) == 0 {
		return false
	}
	if c.sinceStateContact(now) < tuning.StoreIsolationTimeout+tuning.WatchTimeout {
		return true
	}
	isolated := len(c.peers.byName) > 0
	for _, peer := range c.peers.byName {
		if !peer.live(now) {
			continue
		}
		isolated = false
		if peer.sinceStateContact < tuning.StoreIsolationTimeout {
			return false
		}
	}
	return !isolated
}

// HandleHeartbeat handles a worker's heartbeat and replies to it. If this process does not hold the
// shard's lease, HandleHeartbeat redirects the worker to the lease holder.
func (c *Controller) HandleHeartbeat(now time.Time, heartbeat *wire.Heartbeat, reply func(status int, body any)) {
	shard := c.shardOf(heartbeat.Host)
	if t := c.liveTerm(shard); t != nil {
		t.HandleHeartbeat(now, heartbeat, reply)
		return
	}
	c.Redirect(shard, reply)
}

// ObserveQueueDelay records the time for which the next heartbeat has been queued.
func (c *Controller) ObserveQueueDelay(delay time.Duration) {
	for t := range c.termsInOrder() {
		t.ObserveQueueDelay(delay)
	}
}

// Submit handles a user's request to submit a job.
func (c *Controller) Submit(_ time.Time, spec wire.JobSpec, reply func(submission.Response)) {
	c.submissions.Submit(spec, reply)
}

// Query handles a user's request for the state of a job.
func (c *Controller) Query(now time.Time, job string, reply func(submission.Response)) {
	c.submissions.Query(now, job, reply)
}

// Cancel handles a user's request to cancel a job.
func (c *Controller) Cancel(_ time.Time, job string, reply func(submission.Response)) {
	c.submissions.Cancel(job, reply)
}
