// Package node wires the slices together. Core is the state that one
// goroutine owns; it takes events, decides without any I/O and asks an Env for
// effects, whose results come back as events. Runtime is that goroutine and
// the Env of a real process.
package node

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
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
	Cloud(c fleet.Call, then func(now time.Time, r fleet.Result))
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
	blocks int
	env    Env
	rng    *rand.Rand
	wall   func() time.Time
	log    *slog.Logger

	leader         *leader.Slice
	users          *submission.Slice
	open           *store.Mirror  // open jobs of all blocks
	rentals        *store.Mirror  // rentals of all blocks
	blockFor       map[string]int // machines by the rentals that name them
	tenures        map[int]*tenure
	machineTypes   map[string]wire.MachineType
	machineTypeRaw map[string]string
	machineTypesOf int // how many machine types there are
	settings       admin.Settings
	peers          map[string]*peerView
	claims         map[int]*peerpb.Holding // the highest token that peers know of each block
	asking         map[int]*asking
	pulseDue       time.Time
	process        uint64    // drawn at the start: tells this process from others of its name
	born           time.Time // of its first tick
	told           *submission.Told
	passing        map[string]bool // holders that a cancellation is being passed to
	timers         []timer
}

type peerView struct {
	heard   time.Time     // when it last said so
	silent  time.Duration // since the state service answered it
	process uint64        // of its newest message
	version string        // as it told
	mark    int64         // its clock's in that message
	owed    []string      // cancellations that it passed on and has not been told of having
}

type timer struct {
	at time.Time
	f  func(now time.Time)
}

// NewCore makes the state of one controller. wall is the time of day.
func NewCore(cfg *config.Config, blocks int, env Env, rng *rand.Rand, wall func() time.Time, log *slog.Logger) *Core {
	c := &Core{cfg: cfg, blocks: blocks, env: env, rng: rng, wall: wall, log: log,
		tenures: map[int]*tenure{}, machineTypes: map[string]wire.MachineType{}, machineTypeRaw: map[string]string{},
		settings: admin.Defaults(), peers: map[string]*peerView{}, claims: map[int]*peerpb.Holding{}, blockFor: map[string]int{}, asking: map[int]*asking{},
		process: rng.Uint64() | 1, told: submission.NewTold(blocks, config.Seconds(cfg.Facts.Workers.CancelS)), passing: map[string]bool{}}
	c.leader = leader.New(cfg.Member, blocks, wall, c.state, log, c.control)
	c.open = store.NewMirror(submission.OpenUnder, c.state, func(now time.Time, _ string, it wire.Item, gone bool) {
		for _, t := range c.tenures {
			if t.state != tenureOver && t.records.reading == 0 {
				t.jobChanged(now, it, gone)
			}
		}
	})
	c.rentals = store.NewMirror(fleet.UnderRentals, c.state, c.rentalChanged)
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
	var f fleet.MachineTypeRec
	if err := json.Unmarshal(it.Value, &f); err != nil {
		c.log.Error("machine type's record cannot be read", "key", key, "error", err)
		return
	}
	c.machineTypes[name], c.machineTypeRaw[name], c.machineTypesOf = f.MachineType, string(it.Value), f.Of
	for _, t := range c.tenures {
		t.fleet.MachineType(f.MachineType, string(it.Value))
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
	c.open.Pace, c.rentals.Pace = tuning.OpenPace, tuning.OpenPace
	if len(c.tenures) > 0 {
		c.open.Pace = tuning.HolderPace
	}
	c.open.Tick(now)
	c.rentals.Tick(now)
	for b := range c.blocks {
		if t := c.tenures[b]; t != nil {
			t.Tick(now)
		}
	}
	if !now.Before(c.pulseDue) {
		c.pulseDue = now.Add(tuning.PulseEvery)
		c.pulse(now)
	}
}

// silent is how long the state service has not answered this node; never
// answered counts as a very long time.
func (c *Core) silent(now time.Time) time.Duration {
	if c.leader.Heard().IsZero() {
		return time.Hour
	}
	return now.Sub(c.leader.Heard())
}

// tokens are the highest fencing tokens known, by block.
func (c *Core) tokens() []uint64 {
	out := make([]uint64, c.blocks)
	for b := range out {
		_, out[b], _ = c.holder(b)
	}
	return out
}

// holdings tells who holds the blocks, as far as this node knows.
func (c *Core) holdings() (out []*peerpb.Holding) {
	for b := range c.blocks {
		if holder, token, _ := c.holder(b); token > 0 {
			out = append(out, &peerpb.Holding{Block: int32(b), Token: token, Holder: holder})
		}
	}
	return out
}

// pulseMessage is what a peer is told.
func (c *Core) pulseMessage(now time.Time, to string) *peerpb.PulseMessage {
	m := &peerpb.PulseMessage{Member: c.cfg.Member, StateSilentMs: c.silent(now).Milliseconds(), Process: c.process, Version: admin.Version()}
	if !c.born.IsZero() {
		up := now.Sub(c.born)
		m.UpMs, m.MarkNs = up.Milliseconds(), int64(up)
	}
	m.Holdings = c.holdings()
	m.Withdrawn, m.Vouches = c.told.Pending(now, c.tokens())
	if p := c.peers[to]; p != nil {
		m.EchoProcess, m.EchoNs, m.Have = p.process, p.mark, p.owed
		p.owed = nil
	}
	return m
}

func (c *Core) pulse(now time.Time) {
	for _, k := range c.cfg.Known {
		if k.Member < c.cfg.Member {
			continue // it asks: one exchange tells both all there is to tell
		}
		c.exchange(now, k.Member, func(time.Time) {})
	}
}

// exchange tells a peer what this node knows and hears the same of it.
func (c *Core) exchange(now time.Time, member string, then func(now time.Time)) {
	c.env.Pulse(member, c.pulseMessage(now, member), func(now time.Time, r *peerpb.PulseMessage, err error) {
		if err == nil {
			c.heardPeer(now, member, r)
		}
		then(now)
	})
}

// tell takes note of a cancellation that a user is about to be told of, and passes it
// to the block's holder at once: one that cannot read it in the state service would go
// on renewing the leases of its tasks' machines. The user's answer does not wait.
func (c *Core) tell(now time.Time, id string) {
	c.told.Add(now, id)
	for b := range c.blocks {
		if t := c.tenures[b]; t != nil && t.state != tenureOver {
			t.jobCancelled(now, id)
			c.told.Had([]string{id}, b, t.Token)
		}
		if holder, _, live := c.holder(b); live {
			c.pass(now, holder)
		}
	}
}

// pass sends a holder what it has not said it has. One message at a time: what comes
// up meanwhile goes with the next.
func (c *Core) pass(now time.Time, holder string) {
	if c.peers[holder] == nil || c.passing[holder] {
		return
	}
	before, _ := c.told.Pending(now, c.tokens())
	if len(before) == 0 {
		return
	}
	c.passing[holder] = true
	c.exchange(now, holder, func(now time.Time) {
		c.passing[holder] = false
		if left, _ := c.told.Pending(now, c.tokens()); len(left) > 0 && left[len(left)-1] != before[len(before)-1] {
			c.pass(now, holder)
		}
	})
}

func (c *Core) heardPeer(now time.Time, name string, m *peerpb.PulseMessage) {
	p := c.peers[name]
	if p != nil {
		p.heard, p.silent = now, time.Duration(m.StateSilentMs)*time.Millisecond
		p.version = m.Version
		if p.process != m.Process || m.MarkNs > p.mark {
			p.process, p.mark = m.Process, m.MarkNs
		}
		p.owed = append(p.owed, m.Withdrawn...)
		p.owed = p.owed[max(0, len(p.owed)-tuning.ToldAtOnce):]
	}
	for _, t := range c.tenures {
		for _, id := range m.Withdrawn {
			if t.state != tenureOver {
				t.jobCancelled(now, id)
			}
		}
	}
	for _, h := range m.Holdings {
		if h.Holder == m.Member {
			c.told.Had(m.Have, int(h.Block), h.Token)
		}
		if old := c.claims[int(h.Block)]; old == nil || h.Token > old.Token {
			c.claims[int(h.Block)] = h
		}
		t := c.tenures[int(h.Block)]
		if t == nil || t.state == tenureOver {
			continue
		}
		if h.Token > t.Token {
			t.end(now, "a peer knows a higher token")
			continue
		}
		// A peer that knows of another holder passes on what that one lacks. One that
		// echoes what this process sent has made its message after that was sent;
		// any other message may have been held back.
		if p != nil && h.Token == t.Token && m.Vouches && m.EchoProcess == c.process && t.state != tenureLoading {
			up := time.Duration(m.UpMs) * time.Millisecond
			t.cancelled.horizon.Vouch(name, m.Process, now.Add(-up+time.Duration(float64(up)*2*tuning.ClockDrift)), c.born.Add(time.Duration(m.EchoNs)))
		}
	}
}

// Pulse answers a peer's pulse.
func (c *Core) Pulse(now time.Time, m *peerpb.PulseMessage) *peerpb.PulseMessage {
	c.heardPeer(now, m.Member, m)
	return c.pulseMessage(now, m.Member)
}

// Healthy tells whether this node can take requests. A node that alone lost
// the state service, or that hears neither it nor any peer, says no, so that
// users go to the others; in an outage all stay, as they would be slow to come
// back.
func (c *Core) Healthy(now time.Time) bool {
	if !c.leader.Synced() || !c.open.Synced() || len(c.types()) == 0 {
		return false
	}
	if c.silent(now) < tuning.CutAfter+tuning.WatchWait {
		return true
	}
	alone := len(c.peers) > 0
	for _, p := range c.peers {
		if now.Sub(p.heard) < 3*tuning.PulseEvery {
			alone = false
			if p.silent < tuning.CutAfter {
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
		t.reg.Behind = d
	}
}

// blockOf finds the block of a machine: the one whose rental records name it;
// machines that nobody expected go to the first block.
func (c *Core) blockOf(host string) int {
	if c.blocks == 1 {
		return 0
	}
	for b, t := range c.tenures {
		if t.state != tenureOver && t.reg.Get(host) != nil {
			return b
		}
	}
	return c.blockFor[host]
}

// rentalChanged takes note of a rental's record.
func (c *Core) rentalChanged(_ time.Time, _ string, it wire.Item, gone bool) {
	block, hosts := fleet.Named(it)
	for _, h := range hosts {
		if gone {
			delete(c.blockFor, h)
		} else {
			c.blockFor[h] = block
		}
	}
}

// foreign tells whether a machine is, or may turn out to be, of another block
// than the given one.
func (c *Core) foreign(block int, host string) bool {
	if c.blocks == 1 {
		return false
	}
	if b, ok := c.blockFor[host]; ok {
		return b != block
	}
	waiting := false
	c.rentals.Each(func(it wire.Item) {
		b, hosts := fleet.Named(it)
		waiting = waiting || b != block && len(hosts) == 0
	})
	return waiting
}

// holder names a block's holder: as the records say, or a peer that has seen
// newer ones. A node cut off from the state service would otherwise send
// workers to a holder that is none any more, and two such nodes to each other,
// until their leases are over.
func (c *Core) holder(block int) (member string, token uint64, live bool) {
	member, token, live = c.leader.Holder(block)
	if h := c.claims[block]; h != nil && h.Token > token {
		return h.Holder, h.Token, h.Holder != ""
	}
	return member, token, live
}

// redirect sends a worker to its block's holder.
func (c *Core) redirect(block int, reply func(status int, body any)) {
	holder, _, live := c.holder(block)
	if !live || holder == c.cfg.Member {
		holder = ""
	}
	reply(http.StatusMisdirectedRequest, wire.Redirect{ReportsTo: holder})
}

// progress finds out how far a job is, from its block's holder.
func (c *Core) progress(now time.Time, block int, id string, then func(now time.Time, p submission.Progress)) {
	if t := c.tenures[block]; t != nil && t.state != tenureOver {
		then(now, t.progress(id))
		return
	}
	holder, _, ok := c.holder(block)
	if !ok || c.peers[holder] == nil {
		then(now, submission.Progress{})
		return
	}
	a := c.asking[block]
	if a == nil {
		a = &asking{}
		c.asking[block] = a
	}
	a.waiting = append(a.waiting, question{id, then})
	c.ask(now, block, a)
}

// asking is the questions about a block's jobs that its holder has to be asked. One
// call at a time carries all that have come by then: thousands of jobs are asked
// about every few seconds, at every node.
type asking struct {
	busy    bool
	waiting []question
}

type question struct {
	job  string
	then func(now time.Time, p submission.Progress)
}

func (c *Core) ask(now time.Time, block int, a *asking) {
	if a.busy || len(a.waiting) == 0 {
		return
	}
	n := min(len(a.waiting), tuning.ProgressJobs)
	batch := a.waiting[:n:n]
	a.waiting = a.waiting[n:]
	m := &peerpb.ProgressRequest{Block: int32(block)}
	for _, q := range batch {
		m.Jobs = append(m.Jobs, q.job)
	}
	holder, _, _ := c.holder(block)
	a.busy = true
	c.env.Progress(holder, m, func(now time.Time, r *peerpb.ProgressReply, err error) {
		a.busy = false
		for i, q := range batch {
			p := submission.Progress{}
			if err == nil && len(r.Jobs) == n {
				j := r.Jobs[i]
				p = submission.Progress{Known: j.Known, Done: int(j.Done), Running: int(j.Running)}
			}
			q.then(now, p)
		}
		c.ask(now, block, a)
	})
}

func (t *tenure) progress(id string) submission.Progress {
	j := t.board.Job(id)
	if j == nil {
		return submission.Progress{}
	}
	return submission.Progress{Known: true, Done: j.Done(), Running: j.Running()}
}

// Progress answers a peer's question.
func (c *Core) Progress(m *peerpb.ProgressRequest) *peerpb.ProgressReply {
	out := &peerpb.ProgressReply{}
	if t := c.tenures[int(m.Block)]; t != nil && t.state != tenureOver {
		for _, id := range m.Jobs {
			p := t.progress(id)
			out.Jobs = append(out.Jobs, &peerpb.JobProgress{Known: p.Known, Done: int64(p.Done), Running: int64(p.Running)})
		}
	}
	return out
}

// Users is the slice that answers users.
func (c *Core) Users() *submission.Slice { return c.users }
