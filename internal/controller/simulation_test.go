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

// nodeCount is the number of controllers in a simulation.
const nodeCount = 3

// simulation runs a deployment in simulated time: real controllers, and fakes of the state service,
// the cloud, the workers and the users. A seed determines all of its events.
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
	digest   *digest // nil unless digests are enabled

	intentLog          bool // enables the intent log
	intentChecker      *fakes.IntentChecker
	startsOnOldVersion bool // controllers imitate the old version until they are upgraded
	scale              int  // multiplies the sizes of arrays and faults; 0 means 1
	checks             ruleChecks

	randomMessageFaults bool // loses, delays and repeats random messages
	rates               faultRates
	isolatedZone        string            // zone that is partitioned from the rest; "" for none
	heldHeartbeats      []*wire.Heartbeat // copies to deliver when the next term starts
	highestToken        uint64            // highest fencing token at the last check for a new term

	invalidRequests int           // number of invalid requests sent
	longestEvent    time.Duration // longest real time in which a controller handled one event
}

// ruleChecks holds the schedule and the state of the checks that run during a simulation.
type ruleChecks struct {
	interval            time.Duration // minimum time between two checks; 0 checks after each event
	rulesCheckedAt      time.Time
	watermarksCheckedAt time.Time
	faultsEndedAt       time.Time                // zero while faults may occur
	startableSince      map[*fakes.Job]time.Time // jobs that could start and have no task on a machine
}

// faultRates holds the shares of messages that suffer each kind of fault, from 0 to 1, and the bounds
// of delays. These faults occur in addition to those of simulation.randomMessageFaults.
type faultRates struct {
	// Shares of the transactions with writes.
	delayedWrites float64 // executed 2 s to 12 s late, without a reply
	lostReplies   float64 // executed at once, without a reply

	// Shares of the heartbeats.
	repeatedHeartbeats          float64 // delivered again after 0.5 s to 40.5 s
	heartbeatsToNextLeaseHolder float64 // delivered again to every controller when a term starts

	// Direct commands and their responses.
	delayedCommands float64       // share of the commands that are delayed
	commandDelay    time.Duration // delay of these commands; 0 draws a random delay

	// Requests of users.
	cancelledAtCompletion float64 // share of the jobs that are cancelled as their last task ends
	queryBursts           bool    // sends queries to all nodes within milliseconds of each change

	maxStateDelay time.Duration // bounds the delay of a call to the state service, and of its reply
	maxLinkDelay  time.Duration // bounds the delay of a message between a machine and a controller
}

// machine simulates a worker and the faults of its network connections.
type machine struct {
	*fakes.Worker
	partitioned     bool           // messages in both directions are held or lost
	onlyNode        *simulatedNode // the only node that the machine can reach; nil means all
	inboundBlocked  bool           // loses responses and commands, but not heartbeats
	outboundBlocked bool           // loses heartbeats, but not direct commands
	heldMessages    []func()       // messages to deliver after the partition or hang
}

// newSimulation returns a deployment whose controllers have been started and that has no machines or
// jobs. t is nil in benchmarks.
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
		checks:   ruleChecks{startableSince: map[*fakes.Job]time.Time{}},
	}
	sim.state = fakes.NewStateService(clock)
	sim.cloud = fakes.NewCloud(clock, rng, machineTypes)
	sim.cloud.OnBooted = sim.startWorker
	sim.cloud.OnRemoved = sim.removeMachine
	sim.cluster = fakes.NewCluster(clock, rng, cfg.Platform, sim)
	sim.cluster.OnJobCompleted = sim.jobCompleted
	for i := range nodeCount {
		zone := cfg.Platform.Zones[i%len(cfg.Platform.Zones)]
		sim.nodes = append(sim.nodes, &simulatedNode{sim: sim, name: fmt.Sprintf("node-%d", i), zone: zone})
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

// enableIntentLog restarts all controllers with the intent log enabled, and lets a checker compare the
// log with the operations that the cloud executes.
func (sim *simulation) enableIntentLog() {
	sim.intentLog = true
	sim.intentChecker = fakes.NewIntentChecker(sim.cluster, sim.state, sim.cloud)
	for _, n := range sim.nodes {
		n.crash(0)
	}
}

// startWorker starts the worker of a machine that has booted. A random 5 % of the machines are faulty.
func (sim *simulation) startWorker(h *fakes.CloudHost) {
	const faultyShare = 0.05
	machineTypes := sim.cloud.MachineTypes
	hasType := func(machineType wire.MachineType) bool { return machineType.Name == h.Type }
	machineType := machineTypes[slices.IndexFunc(machineTypes, hasType)]
	m := &machine{}
	sim.machines[h.ID] = m
	capacity := quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGB}
	m.Worker = sim.cluster.AddWorker(h.Machine, capacity)
	m.Faulty = sim.rng.Float64() < faultyShare
}

// removeMachine removes a terminated machine and its tasks.
func (sim *simulation) removeMachine(h *fakes.CloudHost) {
	sim.cluster.Remove(h.ID)
	delete(sim.machines, h.ID)
}

// machineNames returns the machines' names in order.
func (sim *simulation) machineNames() []string { return sim.cluster.MachineNames() }

// logger returns a member's logger, which logs simulated time. It writes to standard error if the
// environment variable SIMULATION_LOG is set, and discards all records otherwise.
func (sim *simulation) logger(name string) *slog.Logger {
	out := io.Discard
	level := slog.LevelDebug
	if sim.t == nil {
		level = slog.LevelInfo // benchmarks include the logging that controllers do by default
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

// addViolation records that an expectation of a test does not hold.
func (sim *simulation) addViolation(format string, args ...any) {
	sim.cluster.AddViolation(fakes.Expectation, format, args...)
}

// violations returns the violations so far.
func (sim *simulation) violations() []fakes.Violation { return sim.cluster.Violations }

// runFor advances simulated time by d and checks the rules after each event, or at the interval that
// is set. It runs no further events after a violation.
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

// runUntil runs the simulation until a condition holds. It fails the test if the condition does not
// hold within the timeout.
func (sim *simulation) runUntil(condition string, timeout time.Duration, holds func() bool) {
	sim.t.Helper()
	for end := sim.clock.Now().Add(timeout); !holds(); sim.runFor(10 * time.Millisecond) {
		if sim.clock.Now().After(end) {
			sim.t.Fatalf("condition does not hold within %v: %s", timeout, condition)
		}
		sim.requireNoViolations()
	}
}

// networkDelay returns the random delay of a message without faults, from 0.2 ms to 4.2 ms.
func (sim *simulation) networkDelay() time.Duration {
	return time.Duration(200+sim.rng.IntN(4000)) * time.Microsecond
}

// randomMachine returns a random machine, or nil if there is none.
func (sim *simulation) randomMachine() *machine {
	names := sim.machineNames()
	if len(names) == 0 {
		return nil
	}
	return sim.machines[names[sim.rng.IntN(len(names))]]
}

// randomMachines returns the machines that one fault affects, up to scale of them and none twice.
func (sim *simulation) randomMachines() []*machine {
	n := 1
	if sim.scale > 1 {
		n += sim.rng.IntN(sim.scale)
	}
	var out []*machine
	for range n {
		if m := sim.randomMachine(); m != nil && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// leaseHolder returns the controller that holds the first shard's lease and whose term is open, or nil
// if there is none.
func (sim *simulation) leaseHolder() *simulatedNode {
	for _, n := range sim.nodes {
		t := n.controller.terms[0]
		if n.alive && t != nil && t.State() == term.Open && n.controller.membership.LeaseValid(sim.clock.Now()) {
			return n
		}
	}
	return nil
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// crossesZoneBoundary reports whether exactly one of two zones is the isolated zone.
func (sim *simulation) crossesZoneBoundary(one, other string) bool {
	return sim.isolatedZone != "" && (sim.isolatedZone == one) != (sim.isolatedZone == other)
}

// firstNodeExcept returns the first controller other than n.
func (sim *simulation) firstNodeExcept(n *simulatedNode) *simulatedNode {
	if sim.nodes[0] != n {
		return sim.nodes[0]
	}
	return sim.nodes[1]
}

// lastNodeExcept returns the last controller other than n.
func (sim *simulation) lastNodeExcept(n *simulatedNode) *simulatedNode {
	if last := sim.nodes[len(sim.nodes)-1]; last != n {
		return last
	}
	return sim.nodes[len(sim.nodes)-2]
}

// termInState returns the term of the first live controller whose term of the first shard is in a
// state, or nil if there is none.
func (sim *simulation) termInState(state term.State) *term.Term {
	for _, n := range sim.nodes {
		t := n.controller.terms[0]
		if n.alive && t != nil && t.State() == state {
			return t
		}
	}
	return nil
}
