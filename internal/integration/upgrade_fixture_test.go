package integration

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Current and upcoming limits of the state service. The limits are small, so that records of an old
// version exceed the upcoming limits within seconds.
const (
	currentValueKB  = 1.0
	nextValueKB     = 0.5
	currentOps      = 8
	nextOps         = 4
	currentWrites   = 20.0
	nextWrites      = 15.0
	currentRequests = 200.0
	nextRequests    = 150.0
)

const (
	upgradeMachines = 34
	restartDelay    = 800 * time.Millisecond // downtime of a restarted process
	stepInterval    = 4 * time.Second        // time between two restarts of a rollout
)

// upgradeTest is a deployment whose controllers are upgraded while users submit jobs.
type upgradeTest struct {
	*deployment
	t *testing.T

	from                   oldVersion
	oldProgram, newProgram string   // paths of the programs
	versions               []string // program of each controller, running or stopped

	gatesFile     string // feature gates that enable the intent log
	limitsLowered bool   // the upcoming limits apply; guarded by the lock

	// State of the users.
	rng       *rand.Rand // guarded by the lock
	jobs      int        // number of submitted random jobs
	longArray *fakes.Job
	stopLoad  chan struct{}
}

// upgradeMachineType returns a small type, so that the many machine names fill several pages.
func upgradeMachineType() wire.MachineType {
	return wire.MachineType{
		Name:            "g2",
		Vcpus:           16,
		Gpus:            2,
		MemGB:           96,
		ImagePullGBPerS: 1,
		Price:           5,
		SpotPrice:       2,
		BootTimeS:       2,
		Zones:           []string{"a"},
	}
}

// upgradeConfig returns the configuration of a deployment with upcoming limits.
func upgradeConfig() config.Platform {
	teams := []config.Team{{Name: "red", GPUs: 8, GPUsMax: 16}, {Name: "blue"}}
	platform := fakes.DeploymentConfig([]string{"a"}, teams, 1, 6)
	platform.Workers.CancelS, platform.Workers.GangWaitS, platform.Workers.GangPeerS = 20, 10, 3
	platform.State = config.StateLimits{
		RPS:      currentRequests,
		WriteRPS: currentWrites,
		ValueKB:  currentValueKB,
		TxnOps:   currentOps,
		Next: config.UpcomingLimits{
			"rps":       nextRequests,
			"write_rps": nextWrites,
			"value_kb":  nextValueKB,
			"txn_ops":   int64(nextOps),
		},
	}
	return platform
}

// newUpgradeTest starts a deployment in the old version and waits until tasks complete.
func newUpgradeTest(t *testing.T, from oldVersion) *upgradeTest {
	u := &upgradeTest{
		t:          t,
		from:       from,
		oldProgram: buildVersion(t, from.commit),
		newProgram: buildVersion(t, ""),
		gatesFile:  filepath.Join(t.TempDir(), "switches.toml"),
		rng:        rand.New(rand.NewPCG(9, 9)),
		stopLoad:   make(chan struct{}),
	}
	u.deployment = newDeployment(t, upgradeConfig(), upgradeMachineType(), upgradeMachines)
	if err := os.WriteFile(u.gatesFile, []byte("duties = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	u.cloud.FastBoot = true
	u.store.Limits = fakes.StateLimits{
		MaxValueBytes: currentValueKB * 1024,
		MaxTxnOps:     currentOps,
		WritesPerS:    currentWrites,
		RequestsPerS:  currentRequests,
	}
	u.store.OnCall = u.checkWrites
	for i := range u.controllers {
		u.versions = append(u.versions, u.oldProgram)
		u.start(i)
	}
	u.waitUntil("a lease holder", func() bool { return u.leaseHolderIndex() >= 0 })
	u.goroutines.Add(1)
	go u.submitLoop()
	u.waitUntil("a completed task", func() bool {
		return u.longArray != nil && slices.Contains(u.longArray.Done, true)
	})
	return u
}

// start starts a controller in its assigned version.
func (u *upgradeTest) start(i int) {
	program := u.versions[i]
	hasIntentLog := u.from.oldHasIntentLog
	if program == u.newProgram {
		hasIntentLog = u.from.newHasIntentLog
	}
	u.controllers[i].start(func(settingsFile string) *exec.Cmd {
		if hasIntentLog {
			return exec.Command(program, "--switches", u.gatesFile, "--config", settingsFile)
		}
		return exec.Command(program, "--config", settingsFile)
	})
}

// restart kills a controller and restarts it after restartDelay with the given program.
func (u *upgradeTest) restart(i int, program string) {
	u.controllers[i].stop(syscall.SIGKILL)
	u.sleep(restartDelay)
	u.versions[i] = program
	u.start(i)
}

// restartAndWait restarts a controller with the given program and sleeps for stepInterval.
func (u *upgradeTest) restartAndWait(i int, program string) {
	u.restart(i, program)
	u.sleep(stepInterval)
}

// rollOut restarts all controllers with the given program, one at a time.
func (u *upgradeTest) rollOut(program string) {
	for i := range u.controllers {
		u.restartAndWait(i, program)
	}
}

// lowerLimits applies the upcoming limits of the state service. It fails the test if an old version
// that ignores them has left no larger value.
func (u *upgradeTest) lowerLimits() {
	large := 0
	u.withLock(func() {
		for _, item := range u.store.Keys {
			if len(item.Value) > nextValueKB*1024 {
				large++
			}
		}
		u.store.Limits = fakes.StateLimits{
			MaxValueBytes: nextValueKB * 1024,
			MaxTxnOps:     nextOps,
			WritesPerS:    nextWrites,
			RequestsPerS:  nextRequests,
		}
		u.limitsLowered = true
	})
	u.t.Logf("%d stored values exceed the lowered limit", large)
	if u.from.writesLargeValues && large == 0 {
		u.t.Error("no stored value of the old version exceeds the lowered limit, so the test has no effect")
	}
}

// checkWrites checks that no write exceeds the lowered limits. All writers run the new version by
// then.
func (u *upgradeTest) checkWrites(call store.Call, _ error) {
	if !u.limitsLowered {
		return
	}
	writes := call.Transaction.Writes
	for _, write := range writes {
		if len(write.Value) > nextValueKB*1024 || len(writes) > nextOps {
			u.cluster.AddViolation(fakes.Expectation,
				"write of %s exceeds the limits: %d bytes, %d writes in the transaction",
				write.PutKey, len(write.Value), len(writes))
		}
	}
}

// finish stops the load, waits until all jobs have ended, and reports rule violations.
func (u *upgradeTest) finish() {
	close(u.stopLoad)
	if u.from.newHasIntentLog {
		u.waitUntil("the intent log in force", u.intentLogInForce)
	}
	u.waitUntilAllJobsEnd()
	u.withLock(func() {
		u.cluster.CheckInvariants()
		done := 0
		for _, job := range u.cluster.Submitted {
			if job.KnownState == wire.JobDone {
				done++
			}
		}
		u.t.Logf("%d jobs, %d done, %d slow heartbeats of %d",
			len(u.cluster.Submitted), done, u.heartbeats.slow, u.heartbeats.sent)
		if done == 0 {
			u.t.Error("no job is done")
		}
		u.reportViolations()
	})
}
