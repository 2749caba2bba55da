// Package node wires the slices together. Core is the state that one
// goroutine owns; it takes events, decides without any I/O and asks an Env for
// effects, whose results come back as events. Runtime is that goroutine and
// the Env of a real process.
package node

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

// Env carries out effects. Each brings its result back to the goroutine that
// owns the Core.
type Env interface {
	State(c store.Call, then func(now time.Time, r store.Result))
	Cloud(c fleet.CloudCall, then func(now time.Time, r fleet.CloudResult))
	// Do sends a direct command unless that is only possible after a time: a
	// process that stood still must not act on what it believed before. Status 0
	// means that no answer came, NotSent that nothing was sent.
	Do(addr string, d wire.Do, by time.Time, then func(now time.Time, status int, rep *wire.Report))
	Pulse(member string, m *peerpb.PulseMessage, then func(now time.Time, r *peerpb.PulseMessage, err error))
	Progress(member string, m *peerpb.ProgressRequest, then func(now time.Time, r *peerpb.ProgressReply, err error))
	Probe(member string, m *peerpb.ProbeRequest, then func(now time.Time, r *peerpb.ProbeReply, err error))
}

// NotSent is the status of a direct command that was too late to be sent.
const NotSent = -1

// Core is all state of one controller.
type Core struct {
	cfg    *config.Config
	opt    Options
	blocks int
	env    Env
	rng    *rand.Rand
	wall   func() time.Time
	log    *slog.Logger

	leader          *leader.Slice
	users           *submission.Service
	open            *store.Mirror  // open jobs of all blocks
	rentals         *store.Mirror  // rentals of all blocks
	blockFor        map[string]int // machines by the rentals that name them
	tenures         map[int]*tenure
	machineTypes    map[string]wire.MachineType
	machineTypeRaw  map[string]string
	machineTypesOf  int // how many machine types there are
	settings        admin.Settings
	peers           map[string]*peerView
	claims          map[int]*peerpb.Holding // the highest token that peers know of each block
	asking          map[int]*asking
	pulseDue        time.Time
	process         uint64    // drawn at the start: tells this process from others of its name
	born            time.Time // of its first tick
	cancellationLog *submission.CancellationLog
	passing         map[string]bool // holders that a cancellation is being passed to
	timers          []timer
	logs            dutyLogs // as last read for an operator
}

type timer struct {
	at time.Time
	f  func(now time.Time)
}

// NewCore makes the state of one controller. wall is the time of day.
func NewCore(cfg *config.Config, opt Options, env Env, rng *rand.Rand, wall func() time.Time, log *slog.Logger) *Core {
	blocks := opt.Blocks
	c := &Core{cfg: cfg, opt: opt, blocks: blocks, env: env, rng: rng, wall: wall, log: log,
		tenures: map[int]*tenure{}, machineTypes: map[string]wire.MachineType{}, machineTypeRaw: map[string]string{},
		settings: admin.Defaults(), peers: map[string]*peerView{}, claims: map[int]*peerpb.Holding{}, blockFor: map[string]int{}, asking: map[int]*asking{},
		process: rng.Uint64() | 1, cancellationLog: submission.NewCancellationLog(blocks, config.Seconds(cfg.Facts.Workers.CancelS), cfg.Facts.State.WriteRPS), passing: map[string]bool{}}
	c.leader = leader.New(cfg.Member, blocks, opt.Switches.Announced(), wall, c.state, log, c.control)
	c.open = store.NewMirror(submission.OpenJobPrefix, c.state, func(now time.Time, _ string, it wire.Item, gone bool) {
		for _, t := range c.tenures {
			if t.state != tenureOver && t.records.reading == 0 {
				t.jobChanged(now, it, gone)
			}
		}
	})
	c.rentals = store.NewMirror(fleet.ProvisioningPrefix, c.state, c.rentalChanged)
	c.users = submission.New(cfg.Facts, blocks, wall, c.state, log,
		c.types, c.open, c.progress, c.tell)
	for _, k := range cfg.Known {
		c.peers[k.Member] = &peerView{}
	}
	return c
}

// state passes a call on, and looks after the tenures when its answer has
// been handled.
func (c *Core) state(call store.Call, then func(time.Time, store.Result)) {
	c.env.State(call, func(now time.Time, r store.Result) {
		then(now, r)
		c.after(now)
	})
}

func (c *Core) later(now time.Time, d time.Duration, f func(now time.Time)) {
	c.timers = append(c.timers, timer{now.Add(d), f})
}

// control handles control records that are not the leader slice's.
func (c *Core) control(now time.Time, key string, it wire.Item, gone bool) {
	if key == admin.Key {
		c.settings = admin.Defaults()
		if !gone {
			c.settings = admin.Read(it.Value, c.log)
		}
		for _, t := range c.tenures {
			t.configure()
		}
		return
	}
	name, ok := fleet.MachineTypeName(key)
	if !ok {
		return
	}
	delete(c.machineTypes, name)
	delete(c.machineTypeRaw, name)
	if gone {
		return
	}
	var f fleet.MachineTypeRecord
	if err := json.Unmarshal(it.Value, &f); err != nil {
		c.log.Error("machine type's record cannot be read", "key", key, "error", err)
		return
	}
	c.machineTypes[name], c.machineTypeRaw[name], c.machineTypesOf = f.MachineType, string(it.Value), f.Total
	for _, t := range c.tenures {
		t.fleet.ApplyMachineType(f.MachineType, string(it.Value))
	}
}

// types are the machine types, none until all of them are known.
func (c *Core) types() map[string]wire.MachineType {
	if len(c.machineTypes) < c.machineTypesOf {
		return nil
	}
	return c.machineTypes
}

// after begins and ends tenures as the records say.
func (c *Core) after(now time.Time) {
	mine := c.leader.Tenures()
	for b := range c.blocks {
		t := c.tenures[b]
		if t == nil {
			continue
		}
		inc := c.leader.Inc()
		_, token, known := c.leader.Holder(b)
		switch {
		case t.state == tenureOver:
		case inc != 0 && inc != t.inc:
			// a new lease: nothing of the old one's may be used beside it
			t.end(now, "this process has a new lease")
		case known && token > t.Token:
			t.end(now, "the block was given away")
		}
		if t.state != tenureOver {
			continue
		}
		if slices.ContainsFunc(mine, func(l leader.Tenure) bool { return l.Block == b && l.Token == t.Token }) {
			// Ended on somebody's word while the records still name us: left
			// alone, the block would have no holder for good.
			c.leader.Resign(now, t.Tenure, t.fencing.unreachable)
			continue
		}
		delete(c.tenures, b)
	}
	for _, l := range mine {
		if c.tenures[l.Block] == nil && c.leader.Entitled(now) {
			c.tenures[l.Block] = newTenure(now, c, l, c.leader.Inc())
		}
	}
}

// ClockMoved is told that the clock was moved forward. This process's own lease may have
// ended by it, which is safe. That a worker's lease is over must not be concluded from time
// that may not have passed: all tenures end, and whoever holds the blocks next waits for
// leases from its own beginning.
func (c *Core) ClockMoved(now time.Time) {
	for _, t := range c.tenures {
		if t.state != tenureOver {
			t.end(now, "the clock was moved forward")
		}
	}
}

// Tick starts what is due.
func (c *Core) Tick(now time.Time) {
	if c.born.IsZero() {
		c.born = now
	}
	c.leader.Tick(now)
	for i := 0; i < len(c.timers); {
		if tm := c.timers[i]; !now.Before(tm.at) {
			c.timers = slices.Delete(c.timers, i, i+1)
			tm.f(now)
			continue
		}
		i++
	}
	c.after(now)
	c.open.Pace, c.rentals.Pace = tuning.FollowerWatchInterval, tuning.FollowerWatchInterval
	if len(c.tenures) > 0 {
		c.open.Pace = tuning.OwnerWatchInterval
	}
	c.open.Tick(now)
	c.rentals.Tick(now)
	for b := range c.blocks {
		if t := c.tenures[b]; t != nil {
			t.Tick(now)
		}
	}
	if !now.Before(c.pulseDue) {
		c.pulseDue = now.Add(tuning.PeerHeartbeatInterval)
		c.pulse(now)
	}
}

// Healthy tells whether this node can take requests. A node that alone lost
// the state service, or that hears neither it nor any peer, says no, so that
// users go to the others; in an outage all stay, as they would be slow to come
// back.
func (c *Core) Healthy(now time.Time) bool {
	if !c.leader.Synced() || !c.open.Synced() || len(c.types()) == 0 {
		return false
	}
	if c.silent(now) < tuning.IsolatedAfter+tuning.WatchTimeout {
		return true
	}
	alone := len(c.peers) > 0
	for _, p := range c.peers {
		if now.Sub(p.heard) < 3*tuning.PeerHeartbeatInterval {
			alone = false
			if p.silent < tuning.IsolatedAfter {
				return false
			}
		}
	}
	return !alone
}

// Report answers a worker's report.
func (c *Core) Report(now time.Time, rep *wire.Report, reply func(status int, body any)) {
	b := c.blockOf(rep.Host)
	if t := c.tenures[b]; t != nil && t.state != tenureOver {
		t.Report(now, rep, reply)
		return
	}
	c.redirect(b, reply)
}

// Waited tells how long the next report has waited for its turn.
func (c *Core) Waited(d time.Duration) {
	for _, t := range c.tenures {
		t.reg.HeartbeatDelay = d
	}
}

// Users is the slice that answers users.
func (c *Core) Users() *submission.Service { return c.users }
