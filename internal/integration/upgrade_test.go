package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Sizes of the deployment that is upgraded: small limits, so that the old version's
// records outgrow the limits to come within seconds.
const (
	upgradeMachines  = 34
	presentValueKB   = 1.0
	comingValueKB    = 0.5
	presentWrites    = 20.0
	comingWrites     = 15.0
	presentOps       = 8
	comingOps        = 4
	comingRequests   = 150.0
	presentRequests  = 200.0
	processBack      = 800 * time.Millisecond // how long a process is away
	betweenSteps     = 4 * time.Second        // of a roll
	longArrayTasks   = 4500                   // of which tallies fill pages
	serviceReplicas  = 3
	submissionsEvery = 700 * time.Millisecond
)

// oldVersion is a version that is upgraded.
type oldVersion struct {
	name, commit string
	knowsLimits  bool // it writes nothing beyond the limits to come
	duties       bool // the new version has the log of duties switched on
}

// rollout is a deployment whose controllers are given another version.
type rollout struct {
	*deployment
	t         *testing.T
	old, new  string // programs
	version   []string
	switches  string // the new version's file of switches, "" for none
	large     bool   // the old version fills values to the present limit
	fallen    bool   // the limits have fallen
	jobs      int
	rng       *rand.Rand // of the users; the lock is held
	endLoad   chan struct{}
	longArray *standin.Job
}

// upgradeType is small, so that the names of the machines in use fill pages.
func upgradeType() wire.MachineType {
	return wire.MachineType{Name: "g2", Vcpus: 16, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, LowPrice: 2, BootS: 2, Zones: []string{"a"}}
}

func upgradeFacts() config.Facts {
	f := standin.Facts([]string{"a"}, []config.Team{{Name: "red", GPUs: 8, GPUsMax: 16}, {Name: "blue"}}, 1, 6)
	f.Workers.CancelS, f.Workers.GangWaitS, f.Workers.GangPeerS = 20, 10, 3
	f.State = config.State{RPS: presentRequests, WriteRPS: presentWrites, ValueKB: presentValueKB, TxnOps: presentOps, Next: config.NextState{
		"rps": comingRequests, "write_rps": comingWrites, "value_kb": comingValueKB, "txn_ops": int64(comingOps)}}
	return f
}

func newRollout(t *testing.T, from oldVersion) *rollout {
	r := &rollout{t: t, large: !from.knowsLimits, old: binary(t, from.commit), new: binary(t, ""), rng: rand.New(rand.NewPCG(9, 9)), endLoad: make(chan struct{})}
	r.deployment = newDeployment(t, upgradeFacts(), upgradeType(), upgradeMachines)
	if from.duties {
		r.switches = filepath.Join(t.TempDir(), "switches.toml")
		if err := os.WriteFile(r.switches, []byte("duties = true\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	r.cloud.QuickBoots = true
	r.state.Limits = standin.StateLimits{ValueBytes: presentValueKB * 1024, TxnOps: presentOps, Writes: presentWrites, Requests: presentRequests}
	r.state.OnCall = r.checkWrites
	for i := range r.nodes {
		r.version = append(r.version, r.old)
		r.run(i)
	}
	r.until("a holder", func() bool { return r.holder() >= 0 })
	r.running.Add(1)
	go r.load()
	r.until("work on the machines", func() bool { return r.longArray != nil && slices.Contains(r.longArray.Done, true) })
	return r
}

// run starts a controller in its version.
func (r *rollout) run(i int) {
	program := r.version[i]
	args := []string{"--config"}
	if program == r.new && r.switches != "" {
		args = []string{"--switches", r.switches, "--config"}
	}
	r.nodes[i].start(func(settings string) *exec.Cmd { return exec.Command(program, append(args, settings)...) })
}

// checkWrites checks that nothing is written beyond the limits once they have fallen.
// From then on all writers are the new version.
func (r *rollout) checkWrites(c store.Call, _ int) {
	if !r.fallen {
		return
	}
	for _, w := range c.Multi.Writes {
		if len(w.Value) > comingValueKB*1024 || len(c.Multi.Writes) > comingOps {
			r.cluster.Break(standin.Expectation, "%s is written with %d bytes, %d changes at once", w.Write, len(w.Value), len(c.Multi.Writes))
		}
	}
}

// restart kills a controller and starts it in a version.
func (r *rollout) restart(i int, program string) {
	r.nodes[i].end(syscall.SIGKILL)
	r.sleep(processBack)
	r.version[i] = program
	r.run(i)
}

// roll gives all controllers a version, one after the other.
func (r *rollout) roll(program string) {
	for i := range r.nodes {
		r.restart(i, program)
		r.sleep(betweenSteps)
	}
}

// lower has the state service lower its limits, in the midst of whatever is going on.
// A version that does not know the limits to come has left values that are larger.
func (r *rollout) lower() {
	large := 0
	r.locked(func() {
		for _, it := range r.state.Keys {
			if len(it.Value) > comingValueKB*1024 {
				large++
			}
		}
		r.state.Limits = standin.StateLimits{ValueBytes: comingValueKB * 1024, TxnOps: comingOps, Writes: comingWrites, Requests: comingRequests}
		r.fallen = true
	})
	r.t.Logf("%d values are larger than the limits allow from now on", large)
	if r.large && large == 0 {
		r.t.Error("the old version left no value that is too large now: this tests nothing")
	}
}

// load is the users: arrays, gangs, and cancellations, until the load is ended.
func (r *rollout) load() {
	defer r.running.Done()
	long := r.add(wire.Submission{ID: "job-900000", Team: "blue", Class: "sweep", Shape: wire.ShapeBatch, Priority: "low", Tasks: longArrayTasks,
		Vcpus: 1, Gpus: 0, MemGb: 1, Bundle: "img-long", ImageGb: 1, AnyType: true, GuessS: 4}, 4*time.Second)
	r.locked(func() { r.longArray = long })
	r.add(wire.Submission{ID: "job-900001", Team: "blue", Class: "sweep", Shape: wire.ShapeBatch, Priority: "low", Tasks: longArrayTasks / 3,
		Vcpus: 1, Gpus: 0, MemGb: 1, Bundle: "img-long", ImageGb: 1, AnyType: true, GuessS: 4}, 4*time.Second)
	for {
		select {
		case <-r.endLoad:
			return
		case <-r.ctx.Done():
			return
		case <-time.After(submissionsEvery):
			r.submitRandom()
		}
	}
}

// submitRandom has a user submit an array or a gang, and perhaps cancel it soon.
func (r *rollout) submitRandom() {
	var spec wire.Submission
	var run, cancelAfter time.Duration
	r.locked(func() {
		spec = wire.Submission{ID: fmt.Sprintf("job-%06d", r.jobs), Team: []string{"red", "blue"}[r.rng.IntN(2)], Class: "sweep", Shape: wire.ShapeBatch,
			Priority: []string{"low", "normal", "high"}[r.rng.IntN(3)], Tasks: 1 + r.rng.IntN(6), Vcpus: 2, Gpus: 1, MemGb: 8,
			Bundle: fmt.Sprintf("img-%d", r.rng.IntN(4)), ImageGb: 1, AnyType: true, GuessS: 5}
		if r.rng.IntN(3) == 0 {
			spec.Class, spec.Shape, spec.Tasks, spec.BookmarkS, spec.StowS = "model", wire.ShapeGang, 1+r.rng.IntN(3), 2, 1
		}
		run = time.Duration(2000+r.rng.IntN(8000)) * time.Millisecond
		if r.rng.IntN(5) == 0 {
			cancelAfter = time.Duration(500+r.rng.IntN(8000)) * time.Millisecond
		}
		r.jobs++
	})
	j := r.add(spec, run)
	if cancelAfter > 0 {
		r.sleep(cancelAfter % submissionsEvery)
		r.cancel(j)
	}
}

// useServices plays services, which are asked for once all have the new version: a
// service runs, a machine of it is lost, the replica comes back, and it is cancelled.
func (r *rollout) useServices() {
	service := r.add(wire.Submission{ID: "job-800000", Team: "red", Class: "portal", Shape: wire.ShapeService, Priority: "critical", Tasks: serviceReplicas,
		Vcpus: 1, Gpus: 1, MemGb: 4, Bundle: "img-portal", ImageGb: 1, AnyType: true}, 0)
	replicas := func() (hosts []string) {
		for name, w := range r.cluster.Workers {
			for _, t := range w.Tasks {
				if t.Job == service && t.Stage == wire.TaskRunning {
					hosts = append(hosts, name)
				}
			}
		}
		return hosts
	}
	r.until("a service's replicas", func() bool { return len(replicas()) == serviceReplicas })
	r.locked(func() { r.cloud.Remove(replicas()[0]) })
	r.until("a lost replica elsewhere", func() bool { return len(replicas()) == serviceReplicas })
	r.cancel(service)
	r.until("a cancelled service's end", func() bool { return len(replicas()) == 0 && service.Told == wire.JobWithdrawn })
}

// finish ends the load and waits until every job has ended.
func (r *rollout) finish() {
	close(r.endLoad)
	if r.switches != "" {
		r.until("the log of duties in force", func() bool { return strings.Contains(string(r.state.Keys["c/switches"].Value), "duties") })
	}
	r.until("every job's end", func() bool {
		return !slices.ContainsFunc(r.cluster.Order, func(j *standin.Job) bool { return !j.Ended() })
	})
	r.locked(func() {
		r.cluster.Check()
		done := 0
		for _, j := range r.cluster.Order {
			if j.Told == wire.JobDone {
				done++
			}
		}
		r.t.Logf("%d jobs, %d done, %d slow reports of %d", len(r.cluster.Order), done, r.reports.slow, r.reports.sent)
		if done == 0 {
			r.t.Error("no job was done")
		}
		for _, v := range r.cluster.Broken {
			r.t.Error(v)
		}
	})
}

// TestUpgrade rolls three controllers from real earlier versions to the present one
// under load, and checks the protocol's rules by what the stand-ins saw.
func TestUpgrade(t *testing.T) {
	scenarios := []struct {
		name string
		play func(r *rollout)
	}{
		{"one after the other", func(r *rollout) { r.roll(r.new) }},
		{"a rollback half-way, and a second roll", func(r *rollout) {
			r.restart(0, r.new)
			r.sleep(betweenSteps)
			r.restart(1, r.new)
			r.sleep(betweenSteps)
			r.restart(1, r.old)
			r.sleep(betweenSteps)
			r.restart(0, r.old)
			r.sleep(betweenSteps)
			r.roll(r.new)
		}},
		{"an old process takes over from a new one, and a new one from an old one", func(r *rollout) {
			r.restart(0, r.new)
			r.leads(0)
			r.sleep(betweenSteps)
			r.nodes[0].end(syscall.SIGKILL)
			r.until("an old holder", func() bool { return r.holder() > 0 })
			r.sleep(betweenSteps)
			r.run(0)
			r.sleep(betweenSteps)
			r.leads(0)
			r.roll(r.new)
		}},
		{"an old process comes back old among new ones", func(r *rollout) {
			r.restart(0, r.new)
			r.restart(1, r.new)
			r.sleep(betweenSteps)
			r.restart(2, r.old)
			r.sleep(betweenSteps)
			r.restart(2, r.new)
			r.sleep(betweenSteps)
		}},
		{"the state service is away during the roll", func(r *rollout) {
			r.restart(0, r.new)
			r.sleep(time.Second)
			r.locked(func() { r.state.SetDown(true) })
			r.restart(1, r.new)
			r.sleep(5 * time.Second)
			r.locked(func() { r.state.SetDown(false) })
			r.sleep(betweenSteps)
			r.restart(2, r.new)
			r.sleep(betweenSteps)
		}},
		{"the limits fall right after the last process is new", func(r *rollout) {
			r.roll(r.new)
			r.lower()
		}},
		{"the limits fall in the takeover that the last process's end brings", func(r *rollout) {
			r.leads(2)
			r.restart(0, r.new)
			r.restart(1, r.new)
			r.sleep(betweenSteps)
			r.leads(2)
			r.nodes[2].end(syscall.SIGKILL)
			r.lower()
			r.version[2] = r.new
			r.run(2)
		}},
	}
	for _, from := range []oldVersion{{"production", production(t), false, true}, {"predecessor", predecessor, true, false}} {
		for _, s := range scenarios {
			t.Run(from.name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				r := newRollout(t, from)
				s.play(r)
				r.useServices()
				r.finish()
			})
		}
	}
}
