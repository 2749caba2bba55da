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
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// simulatedNodes is how many controllers a simulation has.
const simulatedNodes = 3

// simulation is a whole deployment in simulated time: real Cores, and stand-ins for all
// parties around them.
type simulation struct {
	t        *testing.T // nil in benchmarks
	clock    *standin.Clock
	rng      *rand.Rand
	cfg      *config.Config
	shards   int
	state    *standin.StateService
	cloud    *standin.Cloud
	cluster  *standin.Cluster
	nodes    []*simulatedNode
	machines map[string]*machine
	digest   *digest // of all effects; nil: none is asked for

	intentLog           bool // the log of duties is switched on
	intentChecker       *standin.ActionCheck
	randomMessageFaults bool // random messages are lost, delayed or repeated
	scale               int  // how many times the usual size jobs and faults have; 0: once
	rates               faultRates
	isolatedZone        string    // a zone that is cut off: its machines and controllers reach each other only
	faultsOver          time.Time // since when there are no faults; zero: there are
	startsOld           bool      // its controllers begin as the earlier version
	longestEvent        time.Duration
	checkInterval       time.Duration // between two checks of the rules; 0: after each step
	checkedAt           time.Time

	watermarksCheckedAt time.Time
	idleSince           map[*standin.Job]time.Time // of jobs that could start and have no task anywhere
	invalidRequests     int
	heldHeartbeats      []*wire.Heartbeat // copies of reports, for the next leader
	highestToken        uint64            // seen in a tenure
}

// faultRates are the shares of messages to which something happens, besides chaos.
type faultRates struct {
	lateWrites                  float64       // transactions that get no answer and are carried out 2 to 12 s later
	lostAnswers                 float64       // transactions that are carried out at once and get no answer
	lateHeartbeats              float64       // reports of which a copy comes again, from 2 s to well over a lease later
	heartbeatsToNextLeaseHolder float64       // reports of which a copy comes to every controller when the next leader begins
	delayedCommands             float64       // direct commands, or their answers, that are held up for seconds
	commandDelay                time.Duration // for which they are held up; 0: for random times
	cancelAtEnd                 float64       // jobs that are cancelled as they end
	burstsOfQueries             bool          // all nodes are asked within milliseconds of each news
	slowState                   time.Duration // the state service's answers take up to so long
	slowLinks                   time.Duration // messages between machines and controllers take up to so long
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
	sim := &simulation{t: t, clock: clk, rng: rng, cfg: cfg, shards: blocks, machines: map[string]*machine{},
		digest: newDigest(t), idleSince: map[*standin.Job]time.Time{}}
	sim.state = standin.NewStateService(clk, rng)
	sim.cloud = standin.NewCloud(clk, rng, machineTypes)
	sim.cloud.Booted = sim.booted
	sim.cloud.Ended = sim.ended
	sim.cluster = standin.NewCluster(clk, rng, cfg.Platform, sim)
	sim.cluster.CompletedHook = sim.jobCompleted
	for i := range simulatedNodes {
		zone := cfg.Platform.Zones[i%len(cfg.Platform.Zones)]
		sim.nodes = append(sim.nodes, &simulatedNode{sim: sim, name: fmt.Sprintf("node-%d", i), zone: zone})
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

// enableIntentLog switches the log of duties on, and has it checked against what the cloud
// carries out.
func (sim *simulation) enableIntentLog() {
	sim.intentLog = true
	sim.intentChecker = standin.NewActionCheck(sim.cluster, sim.state, sim.cloud)
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
	m.Worker = sim.cluster.AddWorker(h.Machine, quota.Room{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb})
	m.Faulty = sim.rng.Float64() < faultyShare
}

func (sim *simulation) ended(h *standin.CloudHost) {
	sim.cluster.Remove(h.ID)
	delete(sim.machines, h.ID)
}

// machineNames lists the machines' names in order.
func (sim *simulation) machineNames() []string { return sim.cluster.Names() }

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
				a.Value = slog.DurationValue(sim.clock.Now().Sub(standin.Epoch))
			}
			return a
		}})).With("member", name)
}

// addViolation records that something a test expects did not hold.
func (sim *simulation) addViolation(format string, args ...any) {
	sim.cluster.Break(standin.Expectation, format, args...)
}

func (sim *simulation) violations() []standin.Violation { return sim.cluster.Broken }

// runFor plays a time, checking the rules after each step.
func (sim *simulation) runFor(d time.Duration) {
	const horizonsEvery = 500 * time.Millisecond
	end := sim.clock.Now().Add(d)
	for sim.clock.Due(end) && len(sim.violations()) == 0 {
		sim.clock.Step()
		if now := sim.clock.Now(); now.Sub(sim.checkedAt) >= sim.checkInterval {
			sim.checkedAt = now
			sim.cluster.Check()
		}
		if sim.clock.Now().Sub(sim.watermarksCheckedAt) > max(horizonsEvery, sim.checkInterval) {
			sim.watermarksCheckedAt = sim.clock.Now()
			sim.checkCancellationWatermarks()
			sim.checkWaitingJobs()
		}
		if len(sim.heldHeartbeats) > 0 {
			sim.releaseToNextLeaseHolder()
		}
	}
	sim.clock.Set(end)
}

// lag is how long a message takes where nothing is wrong.
func (sim *simulation) lag() time.Duration {
	return time.Duration(200+sim.rng.IntN(4000)) * time.Microsecond
}

// randomMachine is one at random, nil if there is none.
func (sim *simulation) randomMachine() *machine {
	names := sim.machineNames()
	if len(names) == 0 {
		return nil
	}
	return sim.machines[names[sim.rng.IntN(len(names))]]
}

// randomMachines are those that one fault hits.
func (sim *simulation) randomMachines() []*machine {
	n := 1
	if sim.scale > 1 {
		n += sim.rng.IntN(sim.scale)
	}
	var out []*machine
	for range n {
		if h := sim.randomMachine(); h != nil && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// leaseHolder is the node that holds the block and knows where all tasks are.
func (sim *simulation) leaseHolder() *simulatedNode {
	for _, n := range sim.nodes {
		if t := n.controller.terms[0]; n.alive && t != nil && t.state == termOpen && n.controller.membership.LeaseValid(sim.clock.Now()) {
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
	sim           *simulation
	name          string
	zone          string
	controller    *Controller
	alive         bool
	processNumber int  // of its process
	upgraded      bool // it has the new version

	stateCut, workersCut, peersCut, cloudCut bool
	stateRefused                             bool   // the state service answers 503 to it alone
	silentWatches                            string // its watches of keys with this prefix get no answer
	heldCalls                                []func()
	freezeFor                                time.Duration // it stands still for so long in the middle of its next effect
	freezeAt                                 effect        // of this sort; "": any
	frozenUntil                              time.Time     // until then it stands still, its clocks run on
}

func (n *simulatedNode) start() {
	n.processNumber++
	n.alive = true
	generation := n.processNumber
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
	n.controller = NewController(&cfg, n.options(), &simulatedEffects{node: n, processNumber: generation}, rng, n.sim.clock.Now, n.sim.logger(n.name))
	var tick func()
	tick = func() {
		if n.alive && n.processNumber == generation {
			n.whenRunning(func() {
				n.controller.Tick(n.sim.clock.Now())
				n.sim.clock.In(tuning.TickEvery, tick)
			})
		}
	}
	n.sim.clock.In(time.Duration(n.sim.rng.IntN(100))*time.Millisecond, tick)
}

// options are what the node's process is started with.
func (n *simulatedNode) options() Options {
	o := Options{Blocks: n.sim.shards}
	o.Switches.IntentLog = n.sim.intentLog && (n.upgraded || !n.sim.startsOld)
	return o
}

// crash ends the process; a new one starts after a time.
func (n *simulatedNode) crash(back time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.processNumber++
	n.freezeFor, n.frozenUntil = 0, time.Time{}
	n.sim.clock.In(back, n.start)
}

// whenRunning carries on once the process does not stand still, if it is still there.
func (n *simulatedNode) whenRunning(f func()) {
	now := n.sim.clock.Now()
	if !now.Before(n.frozenUntil) {
		start := time.Now()
		f()
		n.sim.longestEvent = max(n.sim.longestEvent, time.Since(start))
		return
	}
	generation := n.processNumber
	n.sim.clock.In(n.frozenUntil.Sub(now), func() {
		if n.alive && n.processNumber == generation {
			n.whenRunning(f)
		}
	})
}

// reconnectState ends a cut from the state service: what was held back arrives.
func (n *simulatedNode) reconnectState() {
	n.stateCut = false
	for _, f := range n.heldCalls {
		n.sim.clock.In(n.sim.lag(), f)
	}
	n.heldCalls = nil
}

// crossesZoneBoundary tells whether a zone is cut off and exactly one of two places is in it.
func (sim *simulation) crossesZoneBoundary(one, other string) bool {
	return sim.isolatedZone != "" && (sim.isolatedZone == one) != (sim.isolatedZone == other)
}

// stateUnreachable tells whether no message passes between a node and the state service.
func (n *simulatedNode) stateUnreachable() bool {
	return n.stateCut || n.sim.isolatedZone != "" && n.sim.isolatedZone == n.zone
}
