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
	upgradeMachines    = 34
	presentValueKB     = 1.0
	nextValueKB        = 0.5
	presentWrites      = 20.0
	nextWrites         = 15.0
	presentOps         = 8
	nextOps            = 4
	nextRequests       = 150.0
	presentRequests    = 200.0
	restartDelay       = 800 * time.Millisecond // how long a process is away
	stepInterval       = 4 * time.Second        // of a roll
	longArrayTasks     = 4500                   // of which tallies fill pages
	serviceReplicas    = 3
	submissionInterval = 700 * time.Millisecond
)

// oldVersion is a version that is upgraded.
type oldVersion struct {
	name, commit    string
	heedsNextLimits bool // it writes nothing beyond the limits to come
	intentLog       bool // the new version has the log of duties switched on
}

// upgradeTest is a deployment whose controllers are given another version.
type upgradeTest struct {
	*deployment
	t                 *testing.T
	old, new          string // programs
	versions          []string
	gatesFile         string // the new version's file of switches, "" for none
	writesLargeValues bool   // the old version fills values to the present limit
	limitsLowered     bool   // the limits have fallen
	jobs              int
	rng               *rand.Rand // of the users; the lock is held
	stopLoad          chan struct{}
	longArray         *standin.Job
}

// upgradeMachineType is small, so that the names of the machines in use fill pages.
func upgradeMachineType() wire.MachineType {
	return wire.MachineType{Name: "g2", Vcpus: 16, Gpus: 2, MemGb: 96, FetchGbPerS: 1, Price: 5, SpotPrice: 2, BootTimeS: 2, Zones: []string{"a"}}
}

func upgradeConfig() config.Platform {
	deploymentConfig := standin.DeploymentConfig([]string{"a"}, []config.Team{{Name: "red", GPUs: 8, GPUsMax: 16}, {Name: "blue"}}, 1, 6)
	deploymentConfig.Workers.CancelS, deploymentConfig.Workers.GangWaitS, deploymentConfig.Workers.GangPeerS = 20, 10, 3
	deploymentConfig.State = config.StateLimits{RPS: presentRequests, WriteRPS: presentWrites, ValueKB: presentValueKB, TxnOps: presentOps, Next: config.UpcomingLimits{
		"rps": nextRequests, "write_rps": nextWrites, "value_kb": nextValueKB, "txn_ops": int64(nextOps)}}
	return deploymentConfig
}

func newUpgradeTest(t *testing.T, from oldVersion) *upgradeTest {
	u := &upgradeTest{t: t, writesLargeValues: !from.heedsNextLimits, old: buildVersion(t, from.commit), new: buildVersion(t, ""), rng: rand.New(rand.NewPCG(9, 9)), stopLoad: make(chan struct{})}
	u.deployment = newDeployment(t, upgradeConfig(), upgradeMachineType(), upgradeMachines)
	if from.intentLog {
		u.gatesFile = filepath.Join(t.TempDir(), "switches.toml")
		if err := os.WriteFile(u.gatesFile, []byte("duties = true\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	u.cloud.FastBoot = true
	u.store.Limits = standin.StateLimits{MaxValueBytes: presentValueKB * 1024, MaxTxnOps: presentOps, WritesPerS: presentWrites, RequestsPerS: presentRequests}
	u.store.OnCall = u.checkWrites
	for i := range u.controllers {
		u.versions = append(u.versions, u.old)
		u.start(i)
	}
	u.waitUntil("a holder", func() bool { return u.leaseHolderIndex() >= 0 })
	u.goroutines.Add(1)
	go u.submitLoop()
	u.waitUntil("work on the machines", func() bool { return u.longArray != nil && slices.Contains(u.longArray.Done, true) })
	return u
}

// start starts a controller in its version.
func (u *upgradeTest) start(i int) {
	program := u.versions[i]
	args := []string{"--config"}
	if program == u.new && u.gatesFile != "" {
		args = []string{"--switches", u.gatesFile, "--config"}
	}
	u.controllers[i].start(func(settings string) *exec.Cmd { return exec.Command(program, append(args, settings)...) })
}

// checkWrites checks that nothing is written beyond the limits once they have fallen.
// From then on all writers are the new version.
func (u *upgradeTest) checkWrites(call store.Call, _ error) {
	if !u.limitsLowered {
		return
	}
	for _, write := range call.Transaction.Writes {
		if len(write.Value) > nextValueKB*1024 || len(call.Transaction.Writes) > nextOps {
			u.cluster.AddViolation(standin.Expectation, "%s is written with %d bytes, %d changes at once", write.Put, len(write.Value), len(call.Transaction.Writes))
		}
	}
}

// restart kills a controller and starts it in a version.
func (u *upgradeTest) restart(i int, program string) {
	u.controllers[i].stop(syscall.SIGKILL)
	u.sleep(restartDelay)
	u.versions[i] = program
	u.start(i)
}

// roll gives all controllers a version, one after the other.
func (u *upgradeTest) roll(program string) {
	for i := range u.controllers {
		u.restart(i, program)
		u.sleep(stepInterval)
	}
}

// lowerLimits has the state service lower its limits, in the midst of whatever is going on.
// A version that does not know the limits to come has left values that are larger.
func (u *upgradeTest) lowerLimits() {
	large := 0
	u.withLock(func() {
		for _, item := range u.store.Keys {
			if len(item.Value) > nextValueKB*1024 {
				large++
			}
		}
		u.store.Limits = standin.StateLimits{MaxValueBytes: nextValueKB * 1024, MaxTxnOps: nextOps, WritesPerS: nextWrites, RequestsPerS: nextRequests}
		u.limitsLowered = true
	})
	u.t.Logf("%d values are larger than the limits allow from now on", large)
	if u.writesLargeValues && large == 0 {
		u.t.Error("the old version left no value that is too large now: this tests nothing")
	}
}

// submitLoop is the users: arrays, gangs, and cancellations, until the load is ended.
func (u *upgradeTest) submitLoop() {
	defer u.goroutines.Done()
	long := u.submit(wire.JobSpec{ID: "job-900000", Team: "blue", Class: "sweep", Shape: wire.ShapeBatch, Priority: "low", Tasks: longArrayTasks,
		Vcpus: 1, Gpus: 0, MemGb: 1, Image: "img-long", ImageGb: 1, AnyType: true, EstimatedRunTimeS: 4}, 4*time.Second)
	u.withLock(func() { u.longArray = long })
	u.submit(wire.JobSpec{ID: "job-900001", Team: "blue", Class: "sweep", Shape: wire.ShapeBatch, Priority: "low", Tasks: longArrayTasks / 3,
		Vcpus: 1, Gpus: 0, MemGb: 1, Image: "img-long", ImageGb: 1, AnyType: true, EstimatedRunTimeS: 4}, 4*time.Second)
	for {
		select {
		case <-u.stopLoad:
			return
		case <-u.ctx.Done():
			return
		case <-time.After(submissionInterval):
			u.submitRandom()
		}
	}
}

// submitRandom has a user submit an array or a gang, and perhaps cancel it soon.
func (u *upgradeTest) submitRandom() {
	var spec wire.JobSpec
	var run, cancelAfter time.Duration
	u.withLock(func() {
		spec = wire.JobSpec{ID: fmt.Sprintf("job-%06d", u.jobs), Team: []string{"red", "blue"}[u.rng.IntN(2)], Class: "sweep", Shape: wire.ShapeBatch,
			Priority: []string{"low", "normal", "high"}[u.rng.IntN(3)], Tasks: 1 + u.rng.IntN(6), Vcpus: 2, Gpus: 1, MemGb: 8,
			Image: fmt.Sprintf("img-%d", u.rng.IntN(4)), ImageGb: 1, AnyType: true, EstimatedRunTimeS: 5}
		if u.rng.IntN(3) == 0 {
			spec.Class, spec.Shape, spec.Tasks, spec.CheckpointIntervalS, spec.CheckpointSaveTimeS = "model", wire.ShapeGang, 1+u.rng.IntN(3), 2, 1
		}
		run = time.Duration(2000+u.rng.IntN(8000)) * time.Millisecond
		if u.rng.IntN(5) == 0 {
			cancelAfter = time.Duration(500+u.rng.IntN(8000)) * time.Millisecond
		}
		u.jobs++
	})
	job := u.submit(spec, run)
	if cancelAfter > 0 {
		u.sleep(cancelAfter % submissionInterval)
		u.cancel(job)
	}
}

// useServices plays services, which are asked for once all have the new version: a
// service runs, a machine of it is lost, the replica comes back, and it is cancelled.
func (u *upgradeTest) useServices() {
	service := u.submit(wire.JobSpec{ID: "job-800000", Team: "red", Class: "portal", Shape: wire.ShapeService, Priority: "critical", Tasks: serviceReplicas,
		Vcpus: 1, Gpus: 1, MemGb: 4, Image: "img-portal", ImageGb: 1, AnyType: true}, 0)
	replicas := func() (hosts []string) {
		for name, w := range u.cluster.Workers {
			for _, t := range w.Tasks {
				if t.Job == service && t.State == wire.TaskRunning {
					hosts = append(hosts, name)
				}
			}
		}
		return hosts
	}
	u.waitUntil("a service's replicas", func() bool { return len(replicas()) == serviceReplicas })
	u.withLock(func() { u.cloud.Remove(replicas()[0]) })
	u.waitUntil("a lost replica elsewhere", func() bool { return len(replicas()) == serviceReplicas })
	u.cancel(service)
	u.waitUntil("a cancelled service's end", func() bool { return len(replicas()) == 0 && service.KnownState == wire.JobCancelled })
}

// finish ends the load and waits until every job has ended.
func (u *upgradeTest) finish() {
	close(u.stopLoad)
	if u.gatesFile != "" {
		u.waitUntil("the log of duties in force", func() bool { return strings.Contains(string(u.store.Keys["c/switches"].Value), "duties") })
	}
	u.waitUntil("every job's end", func() bool {
		return !slices.ContainsFunc(u.cluster.Submitted, func(job *standin.Job) bool { return !job.Ended() })
	})
	u.withLock(func() {
		u.cluster.Check()
		done := 0
		for _, job := range u.cluster.Submitted {
			if job.KnownState == wire.JobDone {
				done++
			}
		}
		u.t.Logf("%d jobs, %d done, %d slow reports of %d", len(u.cluster.Submitted), done, u.heartbeats.slow, u.heartbeats.sent)
		if done == 0 {
			u.t.Error("no job was done")
		}
		for _, violation := range u.cluster.Violations {
			u.t.Error(violation)
		}
	})
}

// TestUpgrade rolls three controllers from real earlier versions to the present one
// under load, and checks the protocol's rules by what the stand-ins saw.
func TestUpgrade(t *testing.T) {
	scenarios := []struct {
		name string
		play func(u *upgradeTest)
	}{
		{"one after the other", func(u *upgradeTest) { u.roll(u.new) }},
		{"a rollback half-way, and a second roll", func(u *upgradeTest) {
			u.restart(0, u.new)
			u.sleep(stepInterval)
			u.restart(1, u.new)
			u.sleep(stepInterval)
			u.restart(1, u.old)
			u.sleep(stepInterval)
			u.restart(0, u.old)
			u.sleep(stepInterval)
			u.roll(u.new)
		}},
		{"an old process takes over from a new one, and a new one from an old one", func(u *upgradeTest) {
			u.restart(0, u.new)
			u.waitForLeaseHolder(0)
			u.sleep(stepInterval)
			u.controllers[0].stop(syscall.SIGKILL)
			u.waitUntil("an old holder", func() bool { return u.leaseHolderIndex() > 0 })
			u.sleep(stepInterval)
			u.start(0)
			u.sleep(stepInterval)
			u.waitForLeaseHolder(0)
			u.roll(u.new)
		}},
		{"an old process comes back old among new ones", func(u *upgradeTest) {
			u.restart(0, u.new)
			u.restart(1, u.new)
			u.sleep(stepInterval)
			u.restart(2, u.old)
			u.sleep(stepInterval)
			u.restart(2, u.new)
			u.sleep(stepInterval)
		}},
		{"the state service is away during the roll", func(u *upgradeTest) {
			u.restart(0, u.new)
			u.sleep(time.Second)
			u.withLock(func() { u.store.SetUnavailable(true) })
			u.restart(1, u.new)
			u.sleep(5 * time.Second)
			u.withLock(func() { u.store.SetUnavailable(false) })
			u.sleep(stepInterval)
			u.restart(2, u.new)
			u.sleep(stepInterval)
		}},
		{"the limits fall right after the last process is new", func(u *upgradeTest) {
			u.roll(u.new)
			u.lowerLimits()
		}},
		{"the limits fall in the takeover that the last process's end brings", func(u *upgradeTest) {
			u.waitForLeaseHolder(2)
			u.restart(0, u.new)
			u.restart(1, u.new)
			u.sleep(stepInterval)
			u.waitForLeaseHolder(2)
			u.controllers[2].stop(syscall.SIGKILL)
			u.lowerLimits()
			u.versions[2] = u.new
			u.start(2)
		}},
	}
	for _, from := range []oldVersion{{"production", productionCommit(t), false, true}, {"predecessor", predecessorCommit, true, false}} {
		for _, scenario := range scenarios {
			t.Run(from.name+"/"+scenario.name, func(t *testing.T) {
				t.Parallel()
				u := newUpgradeTest(t, from)
				scenario.play(u)
				u.useServices()
				u.finish()
			})
		}
	}
}
