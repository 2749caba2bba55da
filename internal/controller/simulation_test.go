package controller

import (
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
	"juniperchute/internal/quota"
	"juniperchute/internal/standin"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// simulatedNodes is how many controllers a simulation has.
const simulatedNodes = 3

// simulation is a whole deployment in simulated time: real Cores, and stand-ins for all
// parties around them.
type simulation struct {
	t        *testing.T // nil in benchmarks
	clk      *standin.Clock
	rng      *rand.Rand
	cfg      *config.Config
	blocks   int
	state    *standin.StateService
	cloud    *standin.Cloud
	cluster  *standin.Cluster
	nodes    []*simulatedNode
	machines map[string]*machine
	digest   *digest // of all effects; nil: none is asked for

	duties      bool // the log of duties is switched on
	actions     *standin.IntentChecker
	chaos       bool // random messages are lost, delayed or repeated
	scale       int  // how many times the usual size jobs and faults have; 0: once
	rates       faultRates
	zoneCut     string    // a zone that is cut off: its machines and controllers reach each other only
	faultsOver  time.Time // since when there are no faults; zero: there are
	startsOld   bool      // its controllers begin as the earlier version
	longestTurn time.Duration
	checkEvery  time.Duration // between two checks of the rules; 0: after each step
	checkedAt   time.Time

	horizonsChecked time.Time
	idleSince       map[*standin.Job]time.Time // of jobs that could start and have no task anywhere
	oddRequests     int
	heldReports     []*wire.Heartbeat // copies of reports, for the next leader
	highestToken    uint64            // seen in a tenure
}

// faultRates are the shares of messages to which something happens, besides chaos.
type faultRates struct {
	lateWrites      float64       // transactions that get no answer and are carried out 2 to 12 s later
	lostAnswers     float64       // transactions that are carried out at once and get no answer
	lateReports     float64       // reports of which a copy comes again, from 2 s to well over a lease later
	nextReports     float64       // reports of which a copy comes to every controller when the next leader begins
	delayedCommands float64       // direct commands, or their answers, that are held up for seconds
	commandDelay    time.Duration // for which they are held up; 0: for random times
	cancelAtEnd     float64       // jobs that are cancelled as they end
	closeQueries    bool          // all nodes are asked within milliseconds of each news
	slowState       time.Duration // the state service's answers take up to so long
	slowLinks       time.Duration // messages between machines and controllers take up to so long
}

// machine is a worker and the faults of its network.
type machine struct {
	*standin.Worker
	partitioned bool           // nothing passes either way
	onlyNode    *simulatedNode // the one node it can reach; nil: all
	inboundCut  bool           // its reports arrive, but no answer or command reaches it
	outboundCut bool           // it reaches no controller, while direct commands reach it
	held        []func()       // messages held back by the partition or the hang
}

func newSimulation(t *testing.T, seed uint64, cfg *config.Config, blocks int, machineTypes []wire.MachineType) *simulation {
	clk, rng := standin.NewClock(standin.Epoch), rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{t: t, clk: clk, rng: rng, cfg: cfg, blocks: blocks, machines: map[string]*machine{},
		digest: newDigest(t), idleSince: map[*standin.Job]time.Time{}}
	sim.state = standin.NewStateService(clk, rng)
	sim.cloud = standin.NewCloud(clk, rng, machineTypes)
	sim.cloud.OnBooted = sim.booted
	sim.cloud.OnRemoved = sim.ended
	sim.cluster = standin.NewCluster(clk, rng, cfg.Platform, sim)
	sim.cluster.OnCompleted = sim.completed
	for i := range simulatedNodes {
		zone := cfg.Platform.Zones[i%len(cfg.Platform.Zones)]
		sim.nodes = append(sim.nodes, &simulatedNode{sim: sim, name: fmt.Sprintf("node-%d", i), zone: zone})
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

// keepDuties switches the log of duties on, and has it checked against what the cloud
// carries out.
func (sim *simulation) keepDuties() {
	sim.duties = true
	sim.actions = standin.NewIntentChecker(sim.cluster, sim.state, sim.cloud)
	for _, n := range sim.nodes {
		n.crash(0)
	}
}

// booted starts a machine's worker; a few machines are faulty.
func (sim *simulation) booted(h *standin.CloudHost) {
	const faultyShare = 0.05
	f := sim.cloud.MachineTypes[slices.IndexFunc(sim.cloud.MachineTypes, func(f wire.MachineType) bool { return f.Name == h.Type })]
	m := &machine{}
	sim.machines[h.ID] = m
	m.Worker = sim.cluster.AddWorker(h.Machine, quota.Resources{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb})
	m.Faulty = sim.rng.Float64() < faultyShare
}

func (sim *simulation) ended(h *standin.CloudHost) {
	sim.cluster.Remove(h.ID)
	delete(sim.machines, h.ID)
}

// hosts lists the machines' names in order.
func (sim *simulation) hosts() []string { return sim.cluster.MachineNames() }

func (sim *simulation) logger(name string) *slog.Logger {
	out := io.Discard
	level := slog.LevelDebug
	if sim.t == nil {
		level = slog.LevelInfo // a benchmark logs what a controller does
	}
	if os.Getenv("SIMULATION_LOG") != "" {
		out = os.Stderr
	}
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				a.Value = slog.DurationValue(sim.clk.Now().Sub(standin.Epoch))
			}
			return a
		}})).With("member", name)
}

// fail records that something a test expects did not hold.
func (sim *simulation) fail(format string, args ...any) {
	sim.cluster.AddViolation(standin.Expectation, format, args...)
}

func (sim *simulation) broken() []standin.Violation { return sim.cluster.Violations }

// runFor plays a time, checking the rules after each step.
func (sim *simulation) runFor(d time.Duration) {
	const horizonsEvery = 500 * time.Millisecond
	end := sim.clk.Now().Add(d)
	for sim.clk.Due(end) && len(sim.broken()) == 0 {
		sim.clk.Step()
		if now := sim.clk.Now(); now.Sub(sim.checkedAt) >= sim.checkEvery {
			sim.checkedAt = now
			sim.cluster.Check()
		}
		if sim.clk.Now().Sub(sim.horizonsChecked) > max(horizonsEvery, sim.checkEvery) {
			sim.horizonsChecked = sim.clk.Now()
			sim.checkHorizons()
			sim.checkWaits()
		}
		if len(sim.heldReports) > 0 {
			sim.releaseToNextLeader()
		}
	}
	sim.clk.AdvanceTo(end)
}

// lag is how long a message takes where nothing is wrong.
func (sim *simulation) lag() time.Duration {
	return time.Duration(200+sim.rng.IntN(4000)) * time.Microsecond
}

// someMachine is one at random, nil if there is none.
func (sim *simulation) someMachine() *machine {
	names := sim.hosts()
	if len(names) == 0 {
		return nil
	}
	return sim.machines[names[sim.rng.IntN(len(names))]]
}

// someMachines are those that one fault hits.
func (sim *simulation) someMachines() []*machine {
	n := 1
	if sim.scale > 1 {
		n += sim.rng.IntN(sim.scale)
	}
	var out []*machine
	for range n {
		if h := sim.someMachine(); h != nil && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// holder is the node that holds the block and knows where all tasks are.
func (sim *simulation) holder() *simulatedNode {
	for _, n := range sim.nodes {
		if t := n.controller.terms[0]; n.alive && t != nil && t.State() == term.Open && n.controller.membership.LeaseValid(sim.clk.Now()) {
			return n
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// simulatedNode is one controller's place: its process comes and goes.
type simulatedNode struct {
	sim        *simulation
	name       string
	zone       string
	controller *Controller
	alive      bool
	generation int  // of its process
	upgraded   bool // it has the new version

	stateCut, workersCut, peersCut, cloudCut bool
	stateRefused                             bool   // the state service answers 503 to it alone
	silentWatches                            string // its watches of keys with this prefix get no answer
	heldCalls                                []func()
	freezeFor                                time.Duration // it stands still for so long in the middle of its next effect
	freezeAt                                 effect        // of this sort; "": any
	frozenUntil                              time.Time     // until then it stands still, its clocks run on
}

func (n *simulatedNode) start() {
	n.generation++
	n.alive = true
	generation := n.generation
	cfg := *n.sim.cfg
	cfg.Member = n.name
	cfg.Peers = nil
	for _, o := range n.sim.nodes {
		if o != n {
			cfg.Peers = append(cfg.Peers, config.Peer{Member: o.name, Address: "127.0.0.1:1"})
		}
	}
	if n.sim.startsOld && !n.upgraded {
		cfg.Platform.State.Next = nil // it knows nothing of limits to come, and fills its pages
	}
	rng := rand.New(rand.NewPCG(n.sim.rng.Uint64(), 1))
	n.controller = NewController(&cfg, n.options(), &simulatedEffects{node: n, generation: generation}, rng, n.sim.clk.Now, n.sim.logger(n.name))
	var tick func()
	tick = func() {
		if n.alive && n.generation == generation {
			n.whenRunning(func() {
				n.controller.Tick(n.sim.clk.Now())
				n.sim.clk.Schedule(tuning.TickInterval, tick)
			})
		}
	}
	n.sim.clk.Schedule(time.Duration(n.sim.rng.IntN(100))*time.Millisecond, tick)
}

// startsTermAnew has the node begin its term of the first shard once more: it is loading until
// the state service answers.
func (n *simulatedNode) startsTermAnew() {
	c := n.controller
	c.terms[0] = c.startTerm(n.sim.clk.Now(), c.terms[0].Term)
}

// options are what the node's process is started with.
func (n *simulatedNode) options() Options {
	o := Options{Shards: n.sim.blocks}
	o.Features.IntentLog = n.sim.duties && (n.upgraded || !n.sim.startsOld)
	return o
}

// crash ends the process; a new one starts after a time.
func (n *simulatedNode) crash(back time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.generation++
	n.freezeFor, n.frozenUntil = 0, time.Time{}
	n.sim.clk.Schedule(back, n.start)
}

// whenRunning carries on once the process does not stand still, if it is still there.
func (n *simulatedNode) whenRunning(f func()) {
	now := n.sim.clk.Now()
	if !now.Before(n.frozenUntil) {
		start := time.Now()
		f()
		n.sim.longestTurn = max(n.sim.longestTurn, time.Since(start))
		return
	}
	generation := n.generation
	n.sim.clk.Schedule(n.frozenUntil.Sub(now), func() {
		if n.alive && n.generation == generation {
			n.whenRunning(f)
		}
	})
}

// restoreState ends a cut from the state service: what was held back arrives.
func (n *simulatedNode) restoreState() {
	n.stateCut = false
	for _, f := range n.heldCalls {
		n.sim.clk.Schedule(n.sim.lag(), f)
	}
	n.heldCalls = nil
}

// outsideZone tells whether a zone is cut off and exactly one of two places is in it.
func (sim *simulation) outsideZone(one, other string) bool {
	return sim.zoneCut != "" && (sim.zoneCut == one) != (sim.zoneCut == other)
}

// noState tells whether no message passes between a node and the state service.
func (n *simulatedNode) noState() bool {
	return n.stateCut || n.sim.zoneCut != "" && n.sim.zoneCut == n.zone
}
