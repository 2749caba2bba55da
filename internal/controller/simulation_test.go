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
	"juniperchute/internal/fakes"
	"juniperchute/internal/quota"
	"juniperchute/internal/term"
	"juniperchute/internal/wire"
)

// simulatedNodes is how many controllers a simulation has.
const simulatedNodes = 3

// simulation is a whole deployment in simulated time: real controllers, and fakes of all
// parties around them.
type simulation struct {
	t        *testing.T // nil in benchmarks
	clock    *fakes.Clock
	rng      *rand.Rand
	cfg      *config.Config
	shards   int
	state    *fakes.StateService
	cloud    *fakes.Cloud
	cluster  *fakes.Cluster
	nodes    []*simulatedNode
	machines map[string]*machine
	digest   *digest // of all effects; nil: none is asked for

	intentLog     bool // the intent log is switched on
	intentChecker *fakes.IntentChecker
	startsOld     bool // its controllers start as the earlier version
	scale         int  // how many times the usual size jobs and faults have; 0: once
	checks        ruleChecks

	randomMessageFaults bool // random messages are lost, delayed or repeated
	rates               faultRates
	isolatedZone        string            // its machines and controllers reach each other only
	heldHeartbeats      []*wire.Heartbeat // copies, delivered to the next lease holder
	highestToken        uint64            // the highest token of a term so far

	invalidRequests int           // how many there were
	longestEvent    time.Duration // real time of the longest event that a controller handled
}

// ruleChecks are when rules were checked last, and what that needs to know.
type ruleChecks struct {
	interval            time.Duration // between two checks; 0: after each step
	rulesCheckedAt      time.Time
	watermarksCheckedAt time.Time
	faultsOver          time.Time                // since when there are no faults; zero: there are
	idleSince           map[*fakes.Job]time.Time // of jobs that could start and have no task anywhere
}

// faultRates are the shares of messages that suffer a fault, besides the simulation's
// random message faults. A time is the most by which messages are delayed.
type faultRates struct {
	// Transactions.
	lateWrites  float64 // get no answer and are carried out 2 to 12 s later
	lostAnswers float64 // are carried out at once and get no answer

	// Heartbeats.
	lateHeartbeats              float64 // come again, from 2 s to well over a lease later
	heartbeatsToNextLeaseHolder float64 // come again, to every controller, when a term starts

	// Direct commands, or their answers.
	delayedCommands float64       // are held up for seconds
	commandDelay    time.Duration // for which they are held up; 0: for random times

	// Requests of users.
	cancelAtEnd     float64 // jobs that are cancelled as they end
	burstsOfQueries bool    // all nodes are queried within milliseconds of each change

	slowState time.Duration // answers of the state service
	slowLinks time.Duration // messages between machines and controllers
}

// machine is a worker and the faults of its network.
type machine struct {
	*fakes.Worker
	partitioned bool           // nothing passes either way
	onlyNode    *simulatedNode // the one node it can reach; nil: all
	inboundCut  bool           // its heartbeats arrive, but no answer or command reaches it
	outboundCut bool           // it reaches no controller, while direct commands reach it
	held        []func()       // messages held back by the partition or the hang
}

// newSimulation starts a deployment. t is nil in benchmarks.
func newSimulation(
	t *testing.T, seed uint64, cfg *config.Config, shards int, machineTypes []wire.MachineType,
) *simulation {
	clock, rng := fakes.NewClock(fakes.Epoch), rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{
		t:        t,
		clock:    clock,
		rng:      rng,
		cfg:      cfg,
		shards:   shards,
		machines: map[string]*machine{},
		digest:   newDigest(t),
		checks:   ruleChecks{idleSince: map[*fakes.Job]time.Time{}},
	}
	sim.state = fakes.NewStateService(clock)
	sim.cloud = fakes.NewCloud(clock, rng, machineTypes)
	sim.cloud.OnBooted = sim.booted
	sim.cloud.OnRemoved = sim.ended
	sim.cluster = fakes.NewCluster(clock, rng, cfg.Platform, sim)
	sim.cluster.OnJobCompleted = sim.jobCompleted
	for i := range simulatedNodes {
		zone := cfg.Platform.Zones[i%len(cfg.Platform.Zones)]
		sim.nodes = append(sim.nodes, &simulatedNode{sim: sim, name: fmt.Sprintf("node-%d", i), zone: zone})
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

// enableIntentLog switches the intent log on, and has it checked against what the cloud
// carries out.
func (sim *simulation) enableIntentLog() {
	sim.intentLog = true
	sim.intentChecker = fakes.NewIntentChecker(sim.cluster, sim.state, sim.cloud)
	for _, n := range sim.nodes {
		n.crash(0)
	}
}

// booted starts a machine's worker; a few machines are faulty.
func (sim *simulation) booted(h *fakes.CloudHost) {
	const faultyShare = 0.05
	machineTypes := sim.cloud.MachineTypes
	hasType := func(machineType wire.MachineType) bool { return machineType.Name == h.Type }
	machineType := machineTypes[slices.IndexFunc(machineTypes, hasType)]
	m := &machine{}
	sim.machines[h.ID] = m
	capacity := quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGb}
	m.Worker = sim.cluster.AddWorker(h.Machine, capacity)
	m.Faulty = sim.rng.Float64() < faultyShare
}

// ended removes a terminated machine.
func (sim *simulation) ended(h *fakes.CloudHost) {
	sim.cluster.Remove(h.ID)
	delete(sim.machines, h.ID)
}

// machineNames lists the machines' names in order.
func (sim *simulation) machineNames() []string { return sim.cluster.MachineNames() }

// logger logs in simulated time, to nowhere unless SIMULATION_LOG is set.
func (sim *simulation) logger(name string) *slog.Logger {
	out := io.Discard
	level := slog.LevelDebug
	if sim.t == nil {
		level = slog.LevelInfo // a benchmark logs what a controller does
	}
	if os.Getenv("SIMULATION_LOG") != "" {
		out = os.Stderr
	}
	simulatedTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			a.Value = slog.DurationValue(sim.clock.Now().Sub(fakes.Epoch))
		}
		return a
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: simulatedTime}
	return slog.New(slog.NewTextHandler(out, options)).With("member", name)
}

// addViolation records that something a test expects did not hold.
func (sim *simulation) addViolation(format string, args ...any) {
	sim.cluster.AddViolation(fakes.Expectation, format, args...)
}

// violations are the rules broken so far.
func (sim *simulation) violations() []fakes.Violation { return sim.cluster.Violations }

// runFor plays a time, checking the rules after each step.
func (sim *simulation) runFor(d time.Duration) {
	const watermarksInterval = 500 * time.Millisecond
	end := sim.clock.Now().Add(d)
	for sim.clock.Due(end) && len(sim.violations()) == 0 {
		sim.clock.Step()
		if now := sim.clock.Now(); now.Sub(sim.checks.rulesCheckedAt) >= sim.checks.interval {
			sim.checks.rulesCheckedAt = now
			sim.cluster.CheckInvariants()
		}
		if sim.clock.Now().Sub(sim.checks.watermarksCheckedAt) > max(watermarksInterval, sim.checks.interval) {
			sim.checks.watermarksCheckedAt = sim.clock.Now()
			sim.checkCancellationWatermarks()
			sim.checkWaitingJobs()
		}
		if len(sim.heldHeartbeats) > 0 {
			sim.releaseToNextLeaseHolder()
		}
	}
	sim.clock.AdvanceTo(end)
}

// runUntil plays until something holds, and fails the test if it does not hold in time.
func (sim *simulation) runUntil(what string, most time.Duration, holds func() bool) {
	sim.t.Helper()
	for end := sim.clock.Now().Add(most); !holds(); sim.runFor(10 * time.Millisecond) {
		if sim.clock.Now().After(end) {
			sim.t.Fatalf("after %v still not: %s", most, what)
		}
		sim.requireNoViolations()
	}
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

// leaseHolder is the controller that holds the shard's lease and knows where all tasks
// are, nil if there is none.
func (sim *simulation) leaseHolder() *simulatedNode {
	for _, n := range sim.nodes {
		t := n.controller.terms[0]
		if n.alive && t != nil && t.State() == term.Open && n.controller.membership.LeaseValid(sim.clock.Now()) {
			return n
		}
	}
	return nil
}

// sortedKeys are a map's keys in order.
func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// crossesZoneBoundary reports whether a zone is cut off and exactly one of two places is in it.
func (sim *simulation) crossesZoneBoundary(one, other string) bool {
	return sim.isolatedZone != "" && (sim.isolatedZone == one) != (sim.isolatedZone == other)
}

// firstNodeExcept is the first controller that is not the given one.
func (sim *simulation) firstNodeExcept(n *simulatedNode) *simulatedNode {
	if sim.nodes[0] != n {
		return sim.nodes[0]
	}
	return sim.nodes[1]
}

// lastNodeExcept is the last controller that is not the given one.
func (sim *simulation) lastNodeExcept(n *simulatedNode) *simulatedNode {
	if last := sim.nodes[len(sim.nodes)-1]; last != n {
		return last
	}
	return sim.nodes[len(sim.nodes)-2]
}

// termInState is the first term of a live controller in a state, nil if there is none.
func (sim *simulation) termInState(state term.State) *term.Term {
	for _, n := range sim.nodes {
		t := n.controller.terms[0]
		if n.alive && t != nil && t.State() == state {
			return t
		}
	}
	return nil
}
