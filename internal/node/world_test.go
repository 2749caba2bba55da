package node

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fleet"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// world is a whole deployment in simulated time: real Cores, and stand-ins
// for everything around them.
type world struct {
	t       *testing.T
	clk     *clock
	rng     *rand.Rand
	cfg     *config.Config
	blocks  int
	state   *stateService
	cloud   *cloud
	nodes   []*simNode
	workers map[string]*workerHost
	ids     []string // of the workers, in order; nil: to be sorted anew
	jobs    map[string]*simJob
	order   []*simJob
	broken  []string
	looked  time.Time // when the holders' horizons were last checked
	chaos   bool
	longest time.Duration // that one controller was busy with one thing, in real time
	scale   int           // how many times the usual size jobs and troubles have; 0: once
	odds    odds
	seq     int            // counts odd requests
	kept    []*wire.Report // copies of reports, for the next leader
	leads   uint64         // the highest token seen in a tenure
	upgrade bool           // its controllers begin as the earlier version
	calm    time.Time      // since when there are no troubles; zero: there are
	apart   string         // a zone that is cut off: its machines and controllers reach each other only
}

// odds are the shares of messages to which something happens, besides chaos.
type odds struct {
	lateWrites  float64       // transactions that get no answer and are carried out 2 to 12 s later
	lostAnswers float64       // transactions that are carried out at once and get no answer
	lateReports float64       // reports of which a copy comes again, from 2 s to well over a lease later
	nextReports float64       // reports of which a copy comes to every controller when the next leader begins
	heldCommand float64       // direct commands, or their answers, that are held up for seconds
	heldFor     time.Duration // for which they are held up; 0: for random times
	cancelAtEnd float64       // jobs that are called off as they end
	closeLooks  bool          // all nodes are asked within milliseconds of each news
	slowState   time.Duration // the state service's answers take up to so long
	slowLinks   time.Duration // messages between machines and controllers take up to so long
}

// begin is the time of day at which simulated days begin.
var begin = time.Unix(1_700_000_000, 0)

type simJob struct {
	spec      wire.Submission
	run       time.Duration
	bad       bool
	done      []bool
	told      string // newest state its user was told
	accepted  bool
	asked     bool      // its user has asked to cancel it
	never     bool      // it can never run: nothing but 422 or 503 may come
	idle      time.Time // since when it could start and none of its tasks is anywhere
	cancelled time.Time
	answered  time.Time // when a question about it was last answered
}

func (j *simJob) complete() bool { return !slices.Contains(j.done, false) }

// simNode is one controller's place: its process comes and goes.
type simNode struct {
	w     *world
	name  string
	zone  string
	core  *Core
	alive bool
	gen   int
	next  bool // it has the new version

	cutState, cutWorkers, cutPeers, cutCloud bool
	refused                                  bool   // the state service answers 503 to it alone
	stuck                                    string // its watches of keys with this prefix get no answer
	held                                     []func()
	stall                                    time.Duration // it stands still for so long in the middle of its next effect
	stallIn                                  string        // of this sort; "": any
	thaw                                     time.Time     // until then it stands still, its clocks run on
}

func (w *world) logger(name string) *slog.Logger {
	var out io.Writer = io.Discard
	level := slog.LevelDebug
	if w.t == nil {
		level = slog.LevelInfo // a benchmark logs what a controller does
	}
	if os.Getenv("WORLD_LOG") != "" {
		out = os.Stderr
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				a.Value = slog.DurationValue(w.clk.now.Sub(begin))
			}
			return a
		}})).With("member", name)
}

func newWorld(t *testing.T, seed uint64, cfg *config.Config, blocks int, machineTypes []wire.MachineType) *world {
	w := &world{t: t, clk: &clock{now: begin}, rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, blocks: blocks,
		workers: map[string]*workerHost{}, jobs: map[string]*simJob{}}
	w.state = newStateService(w.clk, w.rng)
	w.cloud = newCloud(w.clk, w.rng, machineTypes)
	w.cloud.booted = w.booted
	w.cloud.ended = func(h *cloudHost) {
		if wh := w.workers[h.ID]; wh != nil {
			wh.dead, wh.tasks = true, nil
			delete(w.workers, h.ID)
			w.ids = nil
		}
	}
	for i := range 3 {
		n := &simNode{w: w, name: fmt.Sprintf("node-%d", i), zone: cfg.Facts.Zones[i%len(cfg.Facts.Zones)]}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *world) booted(h *cloudHost) {
	f := w.cloud.machineTypes[slices.IndexFunc(w.cloud.machineTypes, func(f wire.MachineType) bool { return f.Name == h.Type })]
	wh := &workerHost{w: w, host: h.Host, cap: quota.Room{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb}, session: 1,
		leased: w.clk.now, images: map[string]bool{}, node: w.rng.IntN(len(w.nodes)), changed: true, sick: w.rng.Float64() < 0.05}
	w.workers[h.ID] = wh
	w.ids = nil
	wh.tick()
}

func (n *simNode) start() {
	n.gen++
	n.alive = true
	gen := n.gen
	cfg := *n.w.cfg
	cfg.Member = n.name
	cfg.Known = nil
	for _, o := range n.w.nodes {
		if o != n {
			cfg.Known = append(cfg.Known, config.Known{Member: o.name, Address: "127.0.0.1:1"})
		}
	}
	if n.w.upgrade && !n.next {
		cfg.Facts.State.Next = nil // it knows nothing of limits to come, and fills its pages
	}
	rng := rand.New(rand.NewPCG(n.w.rng.Uint64(), 1))
	n.core = NewCore(&cfg, n.w.blocks, &simEnv{n: n, gen: gen}, rng, func() time.Time { return n.w.clk.now }, n.w.logger(n.name))
	var tick func()
	tick = func() {
		if n.alive && n.gen == gen {
			n.when(func() {
				n.core.Tick(n.w.clk.now)
				n.w.clk.in(tuning.TickEvery, tick)
			})
		}
	}
	n.w.clk.in(time.Duration(n.w.rng.IntN(100))*time.Millisecond, tick)
}

func (n *simNode) crash(back time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.gen++
	n.stall, n.thaw = 0, time.Time{}
	n.w.clk.in(back, n.start)
}

// when carries on once the process does not stand still, if it is still there.
func (n *simNode) when(f func()) {
	if !n.w.clk.now.Before(n.thaw) {
		start := time.Now()
		f()
		n.w.longest = max(n.w.longest, time.Since(start))
		return
	}
	gen := n.gen
	n.w.clk.in(n.thaw.Sub(n.w.clk.now), func() {
		if n.alive && n.gen == gen {
			n.when(f)
		}
	})
}

// restoreState ends a cut from the state service: what was held back arrives.
func (n *simNode) restoreState() {
	n.cutState = false
	for _, f := range n.held {
		n.w.clk.in(n.w.lag(), f)
	}
	n.held = nil
}

func (w *world) lag() time.Duration { return time.Duration(200+w.rng.IntN(4000)) * time.Microsecond }

// deliver carries a message between a worker and a node, either way. A cut
// holds it back or loses it.
func (w *world) deliver(h *workerHost, n *simNode, f func()) {
	if h.cut || n.cutWorkers || h.hung || h.only != nil && h.only != n || w.apart != "" && (w.apart == h.host.Zone) != (w.apart == n.zone) {
		if w.rng.IntN(2) == 0 {
			h.late = append(h.late, f)
		}
		return
	}
	lag := w.lag()
	if w.odds.slowLinks > 0 {
		lag += time.Duration(w.rng.Int64N(int64(w.odds.slowLinks)))
	}
	w.clk.in(lag, func() {
		if h.hung {
			h.late = append(h.late, f)
			return
		}
		f()
	})
}

// release lets held messages go.
func (w *world) release(h *workerHost) {
	late := h.late
	h.late = nil
	for _, f := range late {
		w.clk.in(w.lag(), f)
	}
}

// simEnv carries out the effects of one process.
type simEnv struct {
	n   *simNode
	gen int
}

func (e *simEnv) live() bool { return e.n.alive && e.n.gen == e.gen }

// stalled tells whether the process stands still just before an effect; again
// carries it out afterwards.
func (e *simEnv) stalled(effect string, again func()) bool {
	n := e.n
	if n.stall > 0 && (n.stallIn == "" || n.stallIn == effect) {
		n.thaw, n.stall = n.w.clk.now.Add(n.stall), 0
	}
	if !n.w.clk.now.Before(n.thaw) {
		return false
	}
	n.when(again)
	return true
}

// acting checks that whatever changes a machine's tasks is done with the lease.
func (e *simEnv) acting(what string) {
	if l := e.n.core.leader; !l.Entitled(e.n.w.clk.now) {
		e.n.w.fail("%s: %s past its lease's end at %v", e.n.name, what, l.Deadline().Sub(begin))
	}
}

func (e *simEnv) State(c store.Call, then func(now time.Time, r store.Result)) {
	if e.stalled("state", func() { e.State(c, then) }) {
		return
	}
	w := e.n.w
	if w.upgrade && e.n.next {
		// what the new version writes fits the limits to come from the start, whenever
		// they come; an old process's late transaction may not
		for _, x := range c.Multi.Writes {
			if most := int(e.n.core.cfg.Facts.State.Stored().ValueKB * 1024); len(x.Value) > most || len(c.Multi.Writes) > 4 {
				w.fail("%s writes %s with %d bytes, %d changes at once", e.n.name, x.Write, len(x.Value), len(c.Multi.Writes))
			}
		}
	}
	sent := w.clk.now
	over := false
	finish := func(r store.Result) {
		if over || !e.live() {
			return
		}
		over = true
		r.Sent = sent
		e.n.when(func() { then(w.clk.now, r) })
	}
	w.clk.in(c.Limit(), func() { finish(store.Result{}) })
	arrive := func() {
		if e.n.refused && (c.Op != store.OpChanges || c.WaitMs == 0) {
			w.clk.in(w.lag(), func() { finish(store.Result{Status: 503}) })
			return
		}
		if c.Op == store.OpChanges && e.n.stuck != "" && c.Under == e.n.stuck {
			return
		}
		w.state.call(c, func(r store.Result) {
			// a refused node's watches wait as in an outage, those opened before too
			if e.n.cutState || w.apart != "" && w.apart == e.n.zone || e.n.refused && c.Op == store.OpChanges {
				return
			}
			lag := w.lag()
			if w.odds.slowState > 0 {
				lag += time.Duration(w.rng.Int64N(int64(w.odds.slowState)))
			}
			w.clk.in(lag, func() {
				if !e.n.cutState {
					finish(r)
				}
			})
		})
	}
	if w.odds.slowState > 0 {
		sooner, lag := arrive, time.Duration(w.rng.Int64N(int64(w.odds.slowState)))
		arrive = func() { w.clk.in(lag, sooner) }
	}
	roll := w.rng.IntN(1000)
	odd := w.rng.Float64()
	multi := c.Op == store.OpMulti && len(c.Multi.Writes) > 0
	switch {
	case multi && odd < w.odds.lateWrites:
		w.clk.in(time.Duration(2000+w.rng.IntN(10000))*time.Millisecond, func() { w.state.call(c, func(store.Result) {}) })
	case multi && odd < w.odds.lateWrites+w.odds.lostAnswers && !e.n.cutState && !e.n.refused:
		w.clk.in(w.lag(), func() { w.state.call(c, func(store.Result) {}) })
	case e.n.cutState || w.apart != "" && w.apart == e.n.zone:
		if w.rng.IntN(2) == 0 {
			e.n.held = append(e.n.held, arrive) // comes late, even from a process that has ended
		}
	case w.chaos && roll < 4 && c.Op == store.OpMulti:
		w.clk.in(time.Duration(w.rng.IntN(30000))*time.Millisecond, arrive)
	case w.chaos && roll < 8: // executed, and the answer lost
		w.clk.in(w.lag(), func() { w.state.call(c, func(store.Result) {}) })
	case w.chaos && roll < 16 && c.Op == store.OpMulti: // carried out, and repeated late
		w.clk.in(w.lag(), arrive)
		w.clk.in(time.Duration(w.rng.IntN(30000))*time.Millisecond, func() { w.state.call(c, func(store.Result) {}) })
	default:
		w.clk.in(w.lag(), arrive)
	}
}

func (e *simEnv) Cloud(c fleet.Call, then func(now time.Time, r fleet.Result)) {
	if e.stalled(map[bool]string{true: "return", false: "cloud"}[c.Op == fleet.OpDelete], func() { e.Cloud(c, then) }) {
		return
	}
	w := e.n.w
	over := false
	finish := func(r fleet.Result) {
		if !over && e.live() {
			over = true
			e.n.when(func() { then(w.clk.now, r) })
		}
	}
	if !w.clk.now.Before(c.By) {
		w.clk.in(0, func() { finish(fleet.Result{}) })
		return
	}
	if c.Op == fleet.OpDelete {
		e.acting("machines returned")
	}
	w.clk.in(tuning.CloudTimeout, func() { finish(fleet.Result{}) })
	arrive := func() {
		r := w.cloud.call(c)
		w.clk.in(w.lag(), func() { finish(r) })
	}
	switch roll := w.rng.IntN(100); {
	case e.n.cutCloud || w.chaos && roll < 2: // executed late
		if w.rng.IntN(2) == 0 {
			w.clk.in(time.Duration(5+w.rng.IntN(60))*time.Second, arrive)
		}
	default:
		w.clk.in(100*time.Millisecond, arrive)
		if w.chaos && roll < 6 { // carried out, and repeated late
			w.clk.in(time.Duration(1+w.rng.IntN(60))*time.Second, func() { w.cloud.call(c) })
		}
	}
}

func (e *simEnv) Do(addr string, d wire.Do, by time.Time, then func(now time.Time, status int, rep *wire.Report)) {
	if e.stalled(map[bool]string{true: "command", false: "question"}[len(d.Commands) > 0], func() { e.Do(addr, d, by, then) }) {
		return
	}
	w := e.n.w
	over := false
	finish := func(status int, rep *wire.Report) {
		if !over && e.live() {
			over = true
			e.n.when(func() { then(w.clk.now, status, rep) })
		}
	}
	if !w.clk.now.Before(by) {
		w.clk.in(0, func() { finish(NotSent, nil) })
		return
	}
	if len(d.Commands) > 0 {
		e.acting("a command")
	}
	w.clk.in(tuning.DoTimeout, func() { finish(0, nil) })
	h := w.workers[addr[len("addr-"):]]
	if h == nil {
		return
	}
	if h.deaf {
		return
	}
	var there, back time.Duration // for which it is held up on its way
	if w.rng.Float64() < w.odds.heldCommand {
		there, back = time.Duration(w.rng.IntN(20000))*time.Millisecond, time.Duration(w.rng.IntN(5000))*time.Millisecond
		if w.rng.IntN(4) == 0 {
			there *= 4 // longer than a cancelled job's tasks have
		}
		if w.odds.heldFor > 0 {
			there = w.odds.heldFor
		}
	}
	w.ordered(e.n, d.Commands)
	w.deliver(h, e.n, func() {
		if h.dead {
			return
		}
		if there > 0 {
			w.clk.in(there, func() {
				if !h.dead {
					status, rep := h.command(d)
					w.clk.in(back, func() { finish(status, rep) })
				}
			})
			return
		}
		status, rep := h.command(d)
		w.deliver(h, e.n, func() { finish(status, rep) })
		if w.chaos && w.rng.IntN(20) == 0 { // a repeat of a command that was carried out
			w.clk.in(time.Duration(200+w.rng.IntN(60000))*time.Millisecond, func() {
				if !h.dead && !h.hung {
					h.command(d)
				}
			})
		}
	})
}

func (e *simEnv) peer(member string, then func(o *simNode), fail func()) {
	w := e.n.w
	i := slices.IndexFunc(w.nodes, func(o *simNode) bool { return o.name == member })
	w.clk.in(w.lag(), func() {
		if i < 0 || e.n.cutPeers || w.nodes[i].cutPeers || !w.nodes[i].alive || w.apart != "" && (w.apart == e.n.zone) != (w.apart == w.nodes[i].zone) {
			w.clk.in(tuning.ProgressTimeout, fail)
			return
		}
		if o := w.nodes[i]; w.clk.now.Before(o.thaw) {
			w.clk.in(tuning.ProgressTimeout, fail)
		} else {
			then(o)
		}
	})
}

var errCut = errors.New("cut")

func (e *simEnv) Pulse(member string, m *peerpb.PulseMessage, then func(now time.Time, r *peerpb.PulseMessage, err error)) {
	now := func() time.Time { return e.n.w.clk.now }
	e.peer(member, func(o *simNode) {
		r := o.core.Pulse(now(), m)
		if e.live() {
			e.n.when(func() { then(now(), r, nil) })
		}
	}, func() {
		if e.live() {
			e.n.when(func() { then(now(), nil, errCut) })
		}
	})
}

func (e *simEnv) Progress(member string, m *peerpb.ProgressRequest, then func(now time.Time, r *peerpb.ProgressReply, err error)) {
	now := func() time.Time { return e.n.w.clk.now }
	e.peer(member, func(o *simNode) {
		r := o.core.Progress(m)
		if e.live() {
			e.n.when(func() { then(now(), r, nil) })
		}
	}, func() {
		if e.live() {
			e.n.when(func() { then(now(), nil, errCut) })
		}
	})
}

func (e *simEnv) Probe(member string, m *peerpb.ProbeRequest, then func(now time.Time, r *peerpb.ProbeReply, err error)) {
	w := e.n.w
	e.peer(member, func(o *simNode) {
		r := &peerpb.ProbeReply{}
		for _, a := range m.Addresses {
			if h := w.workers[a[len("addr-"):]]; h != nil && !h.cut && !h.hung && !o.cutWorkers {
				r.Answered++
			}
		}
		if e.live() {
			e.n.when(func() { then(w.clk.now, r, nil) })
		}
	}, func() {
		if e.live() {
			e.n.when(func() { then(w.clk.now, nil, errCut) })
		}
	})
}

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("at %v: ", w.clk.now.Sub(begin))+fmt.Sprintf(format, args...))
}

// hosts lists the workers' machines in order.
func (w *world) hosts() []string {
	if w.ids == nil {
		w.ids = sortedKeys(w.workers)
	}
	return w.ids
}

type mate struct {
	h *workerHost
	p *simTask
}

// mates lists the tasks of a gang's attempt that are there.
func (w *world) mates(p *simTask) []mate {
	var out []mate
	for _, id := range w.hosts() {
		h := w.workers[id]
		for _, o := range h.tasks {
			if o.job == p.job && o.attempt == p.attempt && o.on() {
				out = append(out, mate{h, o})
			}
		}
	}
	return out
}

// starting checks the rules that a start may break.
func (w *world) starting(h *workerHost, j *simJob, n int) {
	name := wire.TaskName(j.spec.ID, n)
	zones := map[string]int{}
	for _, id := range w.hosts() {
		o := w.workers[id]
		for _, p := range o.tasks {
			if p.job != j || !p.on() {
				continue
			}
			zones[o.host.Zone]++
			if p.n == n {
				w.fail("ran_twice: %s starts on %s while on %s", name, h.host.ID, o.host.ID)
			}
		}
	}
	s := j.spec
	if !s.AnyType && !slices.Contains(s.Types, h.host.Type) || s.Zone != "" && s.Zone != h.host.Zone || h.host.Spot && !s.Spot {
		w.fail("wrong_place: %s on %s", name, h.host.ID)
	}
	for y, c := range zones {
		if s.Together && c > 0 && y != h.host.Zone {
			w.fail("wrong_place: %s apart from its mates", name)
		}
	}
	if s.Apart && zones[h.host.Zone]+1 > (s.Tasks+1)/2 {
		w.fail("wrong_place: %s crowds a zone", name)
	}
	if j.told == wire.JobWithdrawn && w.clk.now.Sub(j.cancelled) > config.Seconds(w.cfg.Facts.Workers.CancelS) {
		w.fail("ran_cancelled: %s starts", name)
	}
}

// check checks the rules that hold at every moment.
func (w *world) check() {
	used := map[string]quota.Room{}
	for _, h := range w.workers {
		for _, p := range h.tasks {
			if !p.on() {
				continue
			}
			s := p.job.spec
			used[s.Team] = used[s.Team].Add(quota.Room{CPUs: s.Vcpus, GPUs: s.Gpus})
			if p.job.told == wire.JobWithdrawn && w.clk.now.Sub(p.job.cancelled) > config.Seconds(w.cfg.Facts.Workers.CancelS) {
				w.fail("ran_cancelled: %s/%d still on %s", s.ID, p.n, h.host.ID)
			}
		}
	}
	for _, t := range w.cfg.Facts.Teams {
		u := used[t.Name]
		if t.CPUsMax > 0 && u.CPUs > t.CPUsMax+1e-6 || t.GPUsMax > 0 && u.GPUs > t.GPUsMax+1e-6 {
			w.fail("quota: %s uses %v", t.Name, u)
		}
	}
}

// checkHorizons checks, as only a stand-in can, that each holder knows what it says it
// does: every cancellation that a user was told of before its horizon.
func (w *world) checkHorizons() {
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		for _, t := range n.core.tenures {
			if t.state == tenureLoading || t.state == tenureOver {
				continue
			}
			at := t.knows(w.clk.now)
			if at.After(w.clk.now) {
				w.fail("%s: horizon %v ahead of its clock", n.name, at.Sub(w.clk.now))
			}
			for _, j := range w.order {
				if j.told == wire.JobWithdrawn && j.cancelled.Before(at) && t.board.Job(j.spec.ID) != nil {
					w.fail("%s does not know that %s was cancelled at %v, with its horizon at %v", n.name, j.spec.ID, j.cancelled.Sub(begin), at.Sub(begin))
				}
			}
		}
	}
}

// nextLeader lets the copies of old reports that were kept for the next leader arrive
// everywhere as soon as there is one.
func (w *world) nextLeader() {
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		for _, t := range n.core.tenures {
			if t.Token <= w.leads {
				continue
			}
			w.leads = t.Token
			kept := w.kept
			w.kept = nil
			for _, rep := range kept {
				for _, o := range w.nodes {
					w.clk.in(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
						if o.alive {
							o.when(func() { o.core.Report(w.clk.now, rep, func(int, any) {}) })
						}
					})
				}
			}
		}
	}
}

// checkWaits checks that once troubles are over no job waits for 90 s while there are
// machines that fit with room for it and its team is under its limit.
func (w *world) checkWaits() {
	if w.calm.IsZero() {
		return
	}
	used, on := map[string]quota.Room{}, map[*simJob]int{}
	for _, h := range w.workers {
		for _, p := range h.tasks {
			if p.on() {
				s := p.job.spec
				used[s.Team] = used[s.Team].Add(quota.Room{CPUs: s.Vcpus, GPUs: s.Gpus})
				on[p.job]++
			}
		}
	}
	for _, j := range w.order {
		if j.accepted && !j.asked && !j.bad && j.told != wire.JobDone && on[j] == 0 && w.fits(j, used[j.spec.Team]) {
			if j.idle.IsZero() {
				j.idle = w.clk.now
			}
			if w.clk.now.Sub(j.idle) > 90*time.Second {
				w.fail("%s has waited for 90 s while there was room for it", j.spec.ID)
			}
			continue
		}
		j.idle = time.Time{}
	}
}

// fits tells whether a job, or one task of an array, could start now.
func (w *world) fits(j *simJob, used quota.Room) bool {
	s := j.spec
	need := 1
	if s.Shape != wire.ShapeBatch {
		need = s.Tasks
	}
	for _, t := range w.cfg.Facts.Teams {
		if t.Name == s.Team && (t.CPUsMax > 0 && used.CPUs+float64(need)*s.Vcpus > t.CPUsMax || t.GPUsMax > 0 && used.GPUs+float64(need)*s.Gpus > t.GPUsMax) {
			return false
		}
	}
	places := map[string]int{}
	for _, h := range w.workers {
		if h.hung || h.cut || h.deaf || h.mute || h.sick || h.dead || !h.recall.IsZero() || s.Zone != "" && s.Zone != h.host.Zone ||
			h.host.Spot && !s.Spot || !s.AnyType && !slices.Contains(s.Types, h.host.Type) {
			continue
		}
		free := h.cap
		for _, p := range h.tasks {
			if p.on() {
				free = free.Sub(quota.Room{CPUs: p.job.spec.Vcpus, GPUs: p.job.spec.Gpus, MemGB: p.job.spec.MemGb})
			}
		}
		for one := (quota.Room{CPUs: s.Vcpus, GPUs: s.Gpus, MemGB: s.MemGb}); free.Fits(one); free = free.Sub(one) {
			places[h.host.Zone]++
			if one == (quota.Room{}) {
				break
			}
		}
	}
	total, most := 0, 0
	for _, n := range places {
		if s.Apart {
			n = min(n, (s.Tasks+1)/2)
		}
		total, most = total+n, max(most, n)
	}
	if s.Together {
		total = most
	}
	return total >= need
}

// ask sends a user's request to some node; no answer comes from a dead one.
func (w *world) ask(f func(n *simNode, reply func(submission.Response)), then func(submission.Response)) {
	w.askAt(w.nodes[w.rng.IntN(len(w.nodes))], f, then)
}

func (w *world) askAt(n *simNode, f func(n *simNode, reply func(submission.Response)), then func(submission.Response)) {
	w.clk.in(w.lag(), func() {
		if !n.alive {
			return
		}
		gen := n.gen
		n.when(func() {
			f(n, func(r submission.Response) {
				if n.alive && n.gen == gen {
					w.clk.in(w.lag(), func() { then(r) })
				}
			})
		})
	})
}

func (w *world) tell(j *simJob, stage string, begun string) {
	final := func(s string) bool { return s == wire.JobDone || s == wire.JobWithdrawn }
	switch {
	case final(begun) && stage != begun:
		w.fail("went_back: %s was told %s, now %s", j.spec.ID, begun, stage)
	case stage == wire.JobDone && !j.complete():
		w.fail("not_done: %s", j.spec.ID)
	case stage == wire.JobWithdrawn && !j.asked:
		w.fail("went_back: %s was never cancelled", j.spec.ID)
	}
	j.answered = w.clk.now
	if j.never {
		w.fail("%s was accepted, though it can never run", j.spec.ID)
	}
	if final(j.told) {
		return
	}
	news := !j.accepted || final(stage)
	if stage == wire.JobWithdrawn {
		j.cancelled = w.clk.now
	}
	j.accepted, j.told = true, stage
	if news && w.odds.closeLooks {
		w.look(j)
	}
}

// look asks all nodes about a job, again and again within milliseconds, repeats its
// submission, and now and then its cancellation.
func (w *world) look(j *simJob) {
	for range 3 {
		for _, n := range w.nodes {
			w.clk.in(time.Duration(w.rng.IntN(60000))*time.Microsecond, func() {
				told := j.told
				what := w.rng.IntN(3)
				if told == "" {
					what = 0
				}
				switch what {
				case 0, 1:
					w.askAt(n, func(n *simNode, reply func(submission.Response)) { n.core.Users().Query(w.clk.now, j.spec.ID, reply) }, func(r submission.Response) { w.answered(j, told, r) })
				case 2:
					w.askAt(n, func(n *simNode, reply func(submission.Response)) { n.core.Users().Submit(w.clk.now, j.spec, reply) }, func(r submission.Response) { w.answered(j, told, r) })
				}
			})
		}
	}
	if j.accepted && !j.asked && w.rng.IntN(4) == 0 {
		w.clk.in(time.Duration(w.rng.IntN(60000))*time.Microsecond, func() { w.cancel(j) })
	}
}

// answered takes in an answer about a job that was accepted before the request.
func (w *world) answered(j *simJob, told string, r submission.Response) {
	switch r.Status {
	case 200:
		switch b := r.Body.(type) {
		case wire.JobState:
			w.tell(j, b.Stage, told)
		case wire.Accepted:
			w.tell(j, b.Stage, told)
		}
	case 429, 503:
	default:
		if told == "" && r.Status == 404 {
			return // not accepted yet as far as any user was told
		}
		w.fail("forgotten: %s, accepted before, answered %d %v", j.spec.ID, r.Status, r.Body)
	}
}

// ordered checks the commands that a controller gives: none may start a task of a job
// whose user was told of its cancellation longer ago than a holder may be without news.
func (w *world) ordered(n *simNode, commands []wire.Command) {
	for _, o := range commands {
		id, _, _ := wire.ParseTask(o.Task)
		if j := w.jobs[id]; o.Verb == wire.VerbRun && j != nil && j.told == wire.JobWithdrawn &&
			w.clk.now.Sub(j.cancelled) > tuning.MemberLease+tuning.WatchWait+tuning.StateTimeout {
			w.fail("%s orders a start of %s, cancelled %v ago", n.name, o.Task, w.clk.now.Sub(j.cancelled))
		}
	}
}

// odd makes a request that users should not make, and checks what it gets.
func (w *world) odd() {
	w.seq++
	expect := func(what string, allowed ...int) func(submission.Response) {
		return func(r submission.Response) {
			if r.Status != 429 && r.Status != 503 && !slices.Contains(allowed, r.Status) {
				w.fail("%s answered %d %v", what, r.Status, r.Body)
			}
		}
	}
	unknown := fmt.Sprintf("job-9%06d", w.seq)
	switch w.rng.IntN(4) {
	case 0:
		w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Query(w.clk.now, unknown, reply) }, expect("a question about nothing", 404))
	case 1:
		w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Cancel(w.clk.now, unknown, reply) }, expect("a cancellation of nothing", 404))
	case 2:
		s := wire.Submission{ID: unknown, Team: "red", Class: "sweep", Shape: wire.ShapeGang, Priority: "low", Tasks: 1, Vcpus: 1, Gpus: 1, MemGb: 1, Bundle: "img", AnyType: true}
		switch w.rng.IntN(4) {
		case 0:
			s.Team = "nobody"
		case 1:
			s.MemGb = 1e6
		case 2:
			s.AnyType = false
		case 3:
			s.Tasks = 5000
		}
		if s.Tasks == 5000 && w.cfg.Facts.Teams[0].GPUsMax == 0 {
			s.Zone = "nowhere"
		}
		w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Submit(w.clk.now, s, reply) }, expect("a job that can never run", 422))
	case 3:
		if len(w.order) == 0 {
			return
		}
		j := w.order[w.rng.IntN(len(w.order))]
		if !j.accepted {
			return
		}
		told := j.told
		w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Submit(w.clk.now, j.spec, reply) }, func(r submission.Response) { w.answered(j, told, r) })
		if j.told == wire.JobDone {
			w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Cancel(w.clk.now, j.spec.ID, reply) }, func(r submission.Response) { w.answered(j, told, r) })
		}
	}
}

func (w *world) submit(j *simJob) {
	if j.accepted {
		return
	}
	w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Submit(w.clk.now, j.spec, reply) }, func(r submission.Response) {
		switch r.Status {
		case 200, 201:
			w.tell(j, r.Body.(wire.Accepted).Stage, "")
		case 400, 422:
			w.fail("forgotten: %s answered %d %v", j.spec.ID, r.Status, r.Body)
		}
	})
	if w.odds.closeLooks { // questions that are on their way already when it is accepted
		w.look(j)
	}
	w.clk.in(time.Duration(1000+w.rng.IntN(2000))*time.Millisecond, func() { w.submit(j) })
}

func (w *world) poll(j *simJob) {
	told, accepted := j.told, j.accepted
	w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Query(w.clk.now, j.spec.ID, reply) }, func(r submission.Response) {
		switch {
		case r.Status == 404 && accepted:
			w.fail("forgotten: %s answered 404", j.spec.ID)
		case r.Status == 200:
			w.tell(j, r.Body.(wire.JobState).Stage, told)
		}
	})
	w.clk.in(time.Duration(3000+w.rng.IntN(3000))*time.Millisecond, func() { w.poll(j) })
}

func (w *world) cancel(j *simJob) {
	j.asked = true
	if j.told == wire.JobWithdrawn || j.told == wire.JobDone {
		return
	}
	told := j.told
	w.ask(func(n *simNode, reply func(submission.Response)) { n.core.Users().Cancel(w.clk.now, j.spec.ID, reply) }, func(r submission.Response) {
		if r.Status == 200 {
			w.tell(j, r.Body.(wire.Accepted).Stage, told)
		}
	})
	w.clk.in(2*time.Second, func() { w.cancel(j) })
}

// add makes a user submit a job.
func (w *world) add(spec wire.Submission, run time.Duration) *simJob {
	j := &simJob{spec: spec, run: run, done: make([]bool, spec.Tasks)}
	w.jobs[spec.ID] = j
	w.order = append(w.order, j)
	w.submit(j)
	w.clk.in(time.Second, func() { w.poll(j) })
	return j
}

// runFor plays a time, checking the rules after each step.
func (w *world) runFor(d time.Duration) {
	end := w.clk.now.Add(d)
	for !w.clk.q[0].at.After(end) && len(w.broken) == 0 {
		w.clk.step()
		w.check()
		if w.clk.now.Sub(w.looked) > 500*time.Millisecond {
			w.looked = w.clk.now
			w.checkHorizons()
			w.checkWaits()
		}
		if len(w.kept) > 0 {
			w.nextLeader()
		}
	}
	w.clk.now = end
}

func (w *world) someWorker() *workerHost {
	ids := w.hosts()
	if len(ids) == 0 {
		return nil
	}
	return w.workers[ids[w.rng.IntN(len(ids))]]
}

// someWorkers are those that one trouble hits.
func (w *world) someWorkers() []*workerHost {
	n := 1
	if w.scale > 1 {
		n += w.rng.IntN(w.scale)
	}
	var out []*workerHost
	for range n {
		if h := w.someWorker(); h != nil && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// trouble makes one random trouble, which passes by itself.
func (w *world) trouble() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	span := time.Duration(1+w.rng.IntN(25)) * time.Second
	back := time.Duration(100+w.rng.IntN(5000)) * time.Millisecond
	if w.rng.IntN(3) == 0 { // over within a fraction of a second
		span, back = time.Duration(20+w.rng.IntN(400))*time.Millisecond, time.Duration(10+w.rng.IntN(300))*time.Millisecond
	}
	switch w.rng.IntN(21) {
	case 0, 1:
		n.crash(back)
	case 2:
		for _, o := range w.nodes {
			o.crash(back + time.Duration(w.rng.IntN(2000))*time.Millisecond)
		}
	case 3:
		n.cutState = true
		w.clk.in(span, n.restoreState)
	case 4:
		n.refused = true
		w.clk.in(span, func() { n.refused = false })
	case 5:
		n.cutWorkers = true
		w.clk.in(span, func() {
			n.cutWorkers = false
			for _, id := range w.hosts() {
				w.release(w.workers[id])
			}
		})
	case 6:
		n.cutPeers = true
		w.clk.in(span, func() { n.cutPeers = false })
	case 7:
		w.state.setDown(true)
		w.clk.in(span, func() { w.state.setDown(false) })
	case 8:
		w.cloud.down = true
		w.clk.in(span, func() { w.cloud.down = false })
	case 9:
		n.cutCloud = true
		w.clk.in(span, func() { n.cutCloud = false })
	case 10, 11:
		for _, h := range w.someWorkers() {
			h.cut = true
			w.clk.in(span, func() { h.cut = false; w.release(h) })
		}
	case 12, 13:
		for _, h := range w.someWorkers() {
			h.hung = true
			w.clk.in(span, func() { h.hung = false; w.release(h) })
		}
	case 14:
		if h := w.someWorker(); h != nil && h.host.Spot {
			if w.rng.IntN(2) == 0 {
				h.recall = w.clk.now.Add(8 * time.Second)
				h.changed = true
			}
			w.clk.in(8*time.Second, func() { w.cloud.remove(h.host.ID) })
		}
	case 15:
		for _, h := range w.someWorkers() {
			w.cloud.remove(h.host.ID)
		}
	case 16, 17:
		for _, h := range w.someWorkers() {
			h.deaf = true
			w.clk.in(2*span, func() { h.deaf = false })
		}
	case 19, 20: // stands still while its clocks run on, wherever it is
		n.stall, n.stallIn = time.Duration(200+w.rng.IntN(30000))*time.Millisecond, []string{"", "state", "command", "return"}[w.rng.IntN(4)]
	case 18: // only its workers are left to it
		n.cutState, n.cutPeers = true, true
		w.clk.in(2*span, func() {
			n.cutPeers = false
			n.restoreState()
		})
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
