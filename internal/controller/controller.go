// Package controller wires the slices together. Core is the state that one
// goroutine owns; it takes events, decides without any I/O and asks an Env for
// effects, whose results come back as events. Runtime is that goroutine and
// the Env of a real process.
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
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Effects carries out effects. Each brings its result back to the goroutine that
// owns the Core.
type Effects interface {
	CallState(c store.Call, then func(now time.Time, r store.Result))
	CallCloud(c fleet.CloudCall, then func(now time.Time, r fleet.CloudResult))
	// SendCommands sends a direct command unless that is only possible after a time: a
	// process that stood still must not act on what it believed before. Status 0
	// means that no answer came, NotSent that nothing was sent.
	SendCommands(addr string, d wire.DirectCommands, by time.Time, then func(now time.Time, status int, rep *wire.Heartbeat))
	SendHeartbeat(member string, m *peerpb.PeerHeartbeat, then func(now time.Time, r *peerpb.PeerHeartbeat, err error))
	AskProgress(member string, m *peerpb.ProgressRequest, then func(now time.Time, r *peerpb.ProgressReply, err error))
	ProbeWorkers(member string, m *peerpb.ProbeRequest, then func(now time.Time, r *peerpb.ProbeReply, err error))
}

// NotSent is the status of a direct command that was too late to be sent.
const NotSent = -1

// Controller is all state of one controller.
type Controller struct {
	config    *config.Config
	options   Options
	shards    int
	effects   Effects
	rng       *rand.Rand
	wallClock func() time.Time
	log       *slog.Logger

	membership         *leader.Membership
	submissions        *submission.Service
	openJobs           *store.WatchCache // openJobs jobs of all blocks
	provisionRequests  *store.WatchCache // provisionRequests of all blocks
	shardOfMachine     map[string]int    // machines by the rentals that name them
	terms              map[int]*term
	machineTypes       map[string]wire.MachineType
	machineTypeRecords map[string]string
	machineTypeCount   int // how many machine types there are
	settings           admin.Settings
	peers              map[string]*peerStatus
	leaseClaims        map[int]*peerpb.LeaseClaim // the highest token that peers know of each block
	progressQueries    map[int]*progressQueue
	heartbeatAt        time.Time
	processID          uint64    // drawn at the start: tells this process from others of its name
	startedAt          time.Time // of its first tick
	cancellationLog    *submission.CancellationLog
	forwardingTo       map[string]bool // holders that a cancellation is being passed to
	timers             []timer
	intentLogs         storedIntents // as last read for an operator
}

type timer struct {
	at  time.Time
	run func(now time.Time)
}

// NewController makes the state of one controller. wall is the time of day.
func NewController(cfg *config.Config, opt Options, env Effects, rng *rand.Rand, wall func() time.Time, log *slog.Logger) *Controller {
	blocks := opt.Blocks
	c := &Controller{config: cfg, options: opt, shards: blocks, effects: env, rng: rng, wallClock: wall, log: log,
		terms: map[int]*term{}, machineTypes: map[string]wire.MachineType{}, machineTypeRecords: map[string]string{},
		settings: admin.Defaults(), peers: map[string]*peerStatus{}, leaseClaims: map[int]*peerpb.LeaseClaim{}, shardOfMachine: map[string]int{}, progressQueries: map[int]*progressQueue{},
		processID: rng.Uint64() | 1, cancellationLog: submission.NewCancellationLog(blocks, config.Seconds(cfg.Platform.Workers.CancelS), cfg.Platform.State.WriteRPS), forwardingTo: map[string]bool{}}
	c.membership = leader.New(cfg.Member, blocks, opt.Switches.Announced(), wall, c.callState, log, c.applyControlRecord)
	c.openJobs = store.NewWatchCache(submission.OpenJobPrefix, c.callState, func(now time.Time, _ string, it wire.KeyValue, gone bool) {
		for _, t := range c.terms {
			if t.state != termEnded && t.predecessorRecords.readsInFlight == 0 {
				t.applyOpenJob(now, it, gone)
			}
		}
	})
	c.provisionRequests = store.NewWatchCache(fleet.ProvisioningPrefix, c.callState, c.applyProvisionRecord)
	c.submissions = submission.New(cfg.Platform, blocks, wall, c.callState, log,
		c.allMachineTypes, c.openJobs, c.jobProgress, c.recordCancellation)
	for _, k := range cfg.Peers {
		c.peers[k.Member] = &peerStatus{}
	}
	return c
}

// callState passes a call on, and looks after the tenures when its answer has
// been handled.
func (c *Controller) callState(call store.Call, then func(time.Time, store.Result)) {
	c.effects.CallState(call, func(now time.Time, r store.Result) {
		then(now, r)
		c.reconcileTerms(now)
	})
}

func (c *Controller) schedule(now time.Time, d time.Duration, f func(now time.Time)) {
	c.timers = append(c.timers, timer{now.Add(d), f})
}

// applyControlRecord handles control records that are not the leader slice's.
func (c *Controller) applyControlRecord(now time.Time, key string, it wire.KeyValue, gone bool) {
	if key == admin.Key {
		c.settings = admin.Defaults()
		if !gone {
			c.settings = admin.Decode(it.Value, c.log)
		}
		for _, t := range c.terms {
			t.applySettings()
		}
		return
	}
	name, ok := fleet.MachineTypeName(key)
	if !ok {
		return
	}
	delete(c.machineTypes, name)
	delete(c.machineTypeRecords, name)
	if gone {
		return
	}
	var f fleet.MachineTypeRecord
	if err := json.Unmarshal(it.Value, &f); err != nil {
		c.log.Error("machine type's record cannot be read", "key", key, "error", err)
		return
	}
	c.machineTypes[name], c.machineTypeRecords[name], c.machineTypeCount = f.MachineType, string(it.Value), f.Total
	for _, t := range c.terms {
		t.autoscaler.ApplyMachineType(f.MachineType, string(it.Value))
	}
}

// allMachineTypes are the machine types, none until all of them are known.
func (c *Controller) allMachineTypes() map[string]wire.MachineType {
	if len(c.machineTypes) < c.machineTypeCount {
		return nil
	}
	return c.machineTypes
}

// reconcileTerms begins and ends tenures as the records say.
func (c *Controller) reconcileTerms(now time.Time) {
	mine := c.membership.Terms()
	for b := range c.shards {
		t := c.terms[b]
		if t == nil {
			continue
		}
		inc := c.membership.Incarnation()
		_, token, known := c.membership.Holder(b)
		switch {
		case t.state == termEnded:
		case inc != 0 && inc != t.incarnation:
			// a new lease: nothing of the old one's may be used beside it
			t.end(now, "this process has a new lease")
		case known && token > t.Token:
			t.end(now, "the block was given away")
		}
		if t.state != termEnded {
			continue
		}
		if slices.ContainsFunc(mine, func(l leader.Term) bool { return l.Shard == b && l.Token == t.Token }) {
			// Ended on somebody's word while the records still name us: left
			// alone, the block would have no holder for good.
			c.membership.Resign(now, t.Term, t.fencing.unreachable)
			continue
		}
		delete(c.terms, b)
	}
	for _, l := range mine {
		if c.terms[l.Shard] == nil && c.membership.LeaseValid(now) {
			c.terms[l.Shard] = newTerm(now, c, l, c.membership.Incarnation())
		}
	}
}

// EndTermsAfterSuspension is told that the clock was moved forward. This process's own lease may have
// ended by it, which is safe. That a worker's lease is over must not be concluded from time
// that may not have passed: all tenures end, and whoever holds the blocks next waits for
// leases from its own beginning.
func (c *Controller) EndTermsAfterSuspension(now time.Time) {
	for _, t := range c.terms {
		if t.state != termEnded {
			t.end(now, "the clock was moved forward")
		}
	}
}

// Tick starts what is due.
func (c *Controller) Tick(now time.Time) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.membership.Tick(now)
	for i := 0; i < len(c.timers); {
		if tm := c.timers[i]; !now.Before(tm.at) {
			c.timers = slices.Delete(c.timers, i, i+1)
			tm.run(now)
			continue
		}
		i++
	}
	c.reconcileTerms(now)
	c.openJobs.MinWatchInterval, c.provisionRequests.MinWatchInterval = tuning.FollowerWatchInterval, tuning.FollowerWatchInterval
	if len(c.terms) > 0 {
		c.openJobs.MinWatchInterval = tuning.OwnerWatchInterval
	}
	c.openJobs.Tick(now)
	c.provisionRequests.Tick(now)
	for b := range c.shards {
		if t := c.terms[b]; t != nil {
			t.Tick(now)
		}
	}
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(tuning.PeerHeartbeatInterval)
		c.sendHeartbeats(now)
	}
}

// Healthy tells whether this node can take requests. A node that alone lost
// the state service, or that hears neither it nor any peer, says no, so that
// users go to the others; in an outage all stay, as they would be slow to come
// back.
func (c *Controller) Healthy(now time.Time) bool {
	if !c.membership.Synced() || !c.openJobs.Synced() || len(c.allMachineTypes()) == 0 {
		return false
	}
	if c.stateUnreachableFor(now) < tuning.IsolatedAfter+tuning.WatchTimeout {
		return true
	}
	alone := len(c.peers) > 0
	for _, p := range c.peers {
		if now.Sub(p.lastHeartbeat) < 3*tuning.PeerHeartbeatInterval {
			alone = false
			if p.stateUnreachableFor < tuning.IsolatedAfter {
				return false
			}
		}
	}
	return !alone
}

// HandleHeartbeat answers a worker's report.
func (c *Controller) HandleHeartbeat(now time.Time, rep *wire.Heartbeat, reply func(status int, body any)) {
	b := c.shardOf(rep.Host)
	if t := c.terms[b]; t != nil && t.state != termEnded {
		t.HandleHeartbeat(now, rep, reply)
		return
	}
	c.redirect(b, reply)
}

// ObserveQueueDelay tells how long the next report has waited for its turn.
func (c *Controller) ObserveQueueDelay(d time.Duration) {
	for _, t := range c.terms {
		t.workers.HeartbeatDelay = d
	}
}

// Submissions is the slice that answers users.
func (c *Controller) Submissions() *submission.Service { return c.submissions }
