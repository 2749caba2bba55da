// Package controller is one controller of a deployment: it elects, routes, and runs the terms
// of the shards that it owns.
//
// A Controller is the state that one goroutine owns. It takes events, decides without any
// I/O, and asks its Effects for what is to be done; their results come back as events. A
// Runtime is that goroutine in a real process, with servers and connections.
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

// Environment is what a controller needs of the process that it runs in.
type Environment struct {
	Effects   Effects
	Rand      *rand.Rand
	WallClock func() time.Time // the time of day, for records that operators read
	Log       *slog.Logger
}

// Controller is all state of one controller. It belongs to one goroutine.
type Controller struct {
	config      *config.Config
	options     Options
	environment Environment

	process processIdentity
	timers  []timer

	membership  *leader.Membership
	submissions *submission.Service
	terms       map[int]*term.Term // by shard; ended ones until the records show that
	settings    admin.Settings
	machines    machineTypes
	storedLogs  storedIntents // as last read for an operator

	// Watch caches of all shards' records.
	openJobs          *store.WatchCache
	provisionRequests *store.WatchCache
	shardOfMachine    map[string]int // by the provision requests that name the machines

	peers           peerGroup
	progressQueries map[int]*progressQueue // by shard
	cancellationLog *submission.CancellationLog
}

// processIdentity tells this process from others of the member's name.
type processIdentity struct {
	id        uint64    // drawn at the start
	startedAt time.Time // its first tick; zero before
}

// timer is a function to run on the owner goroutine at some time.
type timer struct {
	at  time.Time
	run func(now time.Time)
}

// machineTypes are the cloud's machine types as the control records have them.
type machineTypes struct {
	byName  map[string]wire.MachineType
	records map[string]string // as stored
	total   int               // how many there are, known or not
}

// NewController makes the state of one controller. It does nothing before the first Tick.
func NewController(cfg *config.Config, options Options, environment Environment) *Controller {
	c := &Controller{
		config: cfg, options: options, environment: environment,
		process:         processIdentity{id: environment.Rand.Uint64() | 1},
		terms:           map[int]*term.Term{},
		settings:        admin.Defaults(),
		machines:        machineTypes{byName: map[string]wire.MachineType{}, records: map[string]string{}},
		shardOfMachine:  map[string]int{},
		peers:           newPeerGroup(cfg.Peers),
		progressQueries: map[int]*progressQueue{},
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

// callState sends a call of the state service, and reconciles the terms when its result has
// been handled.
func (c *Controller) callState(call store.Call, then func(time.Time, store.Result)) {
	c.environment.Effects.CallState(call, func(now time.Time, result store.Result) {
		then(now, result)
		c.ReconcileTerms(now)
	})
}

// Schedule runs a function on the owner goroutine after a delay, at the precision of ticks.
func (c *Controller) Schedule(now time.Time, delay time.Duration, run func(now time.Time)) {
	c.timers = append(c.timers, timer{now.Add(delay), run})
}

// runTimers runs the timers that are due.
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

// applyOpenJob takes note of a change of an open job's record.
func (c *Controller) applyOpenJob(now time.Time, _ string, kv wire.KeyValue, deleted bool) {
	for _, t := range c.terms {
		t.ApplyOpenJob(now, kv, deleted)
	}
}

// applyControlRecord takes note of a change of a control record that is not of the membership.
func (c *Controller) applyControlRecord(_ time.Time, key string, kv wire.KeyValue, deleted bool) {
	if key == admin.Key {
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
	for _, t := range c.terms {
		t.ApplySettings(c.settings)
	}
}

func (c *Controller) applyMachineType(name string, kv wire.KeyValue, deleted bool) {
	delete(c.machines.byName, name)
	delete(c.machines.records, name)
	if deleted {
		return
	}
	var record fleet.MachineTypeRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		c.environment.Log.Error("machine type's record unreadable", "key", kv.Key, "error", err)
		return
	}
	c.machines.byName[name] = record.MachineType
	c.machines.records[name] = string(kv.Value)
	c.machines.total = record.Total
	for _, t := range c.terms {
		t.ApplyMachineType(record.MachineType, string(kv.Value))
	}
}

// allMachineTypes are the machine types, none until all of them are known.
func (c *Controller) allMachineTypes() map[string]wire.MachineType {
	if len(c.machines.byName) < c.machines.total {
		return nil
	}
	return c.machines.byName
}

// Tick starts what is due.
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
		c.openJobs.MinWatchInterval = tuning.OwnerWatchInterval
	}
	c.openJobs.Tick(now)
	c.provisionRequests.Tick(now)
	for shard := range c.options.Shards {
		if t := c.terms[shard]; t != nil {
			t.Tick(now)
		}
	}
	if !now.Before(c.peers.heartbeatAt) {
		c.peers.heartbeatAt = now.Add(tuning.PeerHeartbeatInterval)
		c.sendHeartbeats(now)
	}
}

// Healthy reports whether this controller can take requests. One that alone lost the state
// service, or that hears neither it nor any peer, says no, so that users go to the others; in
// an outage all stay, as they would be slow to come back.
func (c *Controller) Healthy(now time.Time) bool {
	if !c.membership.Synced() || !c.openJobs.Synced() || len(c.allMachineTypes()) == 0 {
		return false
	}
	if c.stateUnreachableFor(now) < tuning.IsolatedAfter+tuning.WatchTimeout {
		return true
	}
	alone := len(c.peers.byName) > 0
	for _, peer := range c.peers.byName {
		if !peer.live(now) {
			continue
		}
		alone = false
		if peer.stateUnreachableFor < tuning.IsolatedAfter {
			return false
		}
	}
	return !alone
}

// HandleHeartbeat answers a worker's heartbeat, or redirects it to its shard's lease holder.
func (c *Controller) HandleHeartbeat(now time.Time, heartbeat *wire.Heartbeat, reply func(status int, body any)) {
	shard := c.shardOf(heartbeat.Host)
	if t := c.liveTerm(shard); t != nil {
		t.HandleHeartbeat(now, heartbeat, reply)
		return
	}
	c.Redirect(shard, reply)
}

// ObserveQueueDelay takes note of how long the next heartbeat has waited for its turn.
func (c *Controller) ObserveQueueDelay(delay time.Duration) {
	for _, t := range c.terms {
		t.ObserveQueueDelay(delay)
	}
}

// Submit answers a user who submits a job.
func (c *Controller) Submit(_ time.Time, spec wire.JobSpec, reply func(submission.Response)) {
	c.submissions.Submit(spec, reply)
}

// Query answers a user who asks for a job's state.
func (c *Controller) Query(now time.Time, job string, reply func(submission.Response)) {
	c.submissions.Query(now, job, reply)
}

// Cancel answers a user who cancels a job.
func (c *Controller) Cancel(_ time.Time, job string, reply func(submission.Response)) {
	c.submissions.Cancel(job, reply)
}
