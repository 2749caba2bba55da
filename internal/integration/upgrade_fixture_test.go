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

// Limits of the state service, now and to come: small ones, so that an old version's records
// outgrow the limits to come within seconds.
const (
	presentValueKB  = 1.0
	nextValueKB     = 0.5
	presentOps      = 8
	nextOps         = 4
	presentWrites   = 20.0
	nextWrites      = 15.0
	presentRequests = 200.0
	nextRequests    = 150.0
)

const (
	upgradeMachines = 34
	restartDelay    = 800 * time.Millisecond // how long a process is away
	stepInterval    = 4 * time.Second        // between two steps of a roll
)

// upgradeTest is a deployment whose controllers are given another version.
type upgradeTest struct {
	*deployment
	t *testing.T

	from     oldVersion
	old, new string   // programs
	versions []string // the programs that the controllers run, or ran last

	gatesFile     string // switches the intent log on
	limitsLowered bool   // the state service's limits have fallen; the lock guards it

	// The users.
	rng       *rand.Rand // the lock guards it
	jobs      int        // jobs with random properties so far
	longArray *fakes.Job
	stopLoad  chan struct{}
}

// upgradeMachineType is small, so that the names of the machines in use fill pages.
func upgradeMachineType() wire.MachineType {
	return wire.MachineType{
		Name:        "g2",
		Vcpus:       16,
		Gpus:        2,
		MemGb:       96,
		FetchGbPerS: 1,
		Price:       5,
		SpotPrice:   2,
		BootTimeS:   2,
		Zones:       []string{"a"},
	}
}

// upgradeConfig is a deployment that knows its limits to come.
func upgradeConfig() config.Platform {
	teams := []config.Team{{Name: "red", GPUs: 8, GPUsMax: 16}, {Name: "blue"}}
	platform := fakes.DeploymentConfig([]string{"a"}, teams, 1, 6)
	platform.Workers.CancelS, platform.Workers.GangWaitS, platform.Workers.GangPeerS = 20, 10, 3
	platform.State = config.StateLimits{
		RPS:      presentRequests,
		WriteRPS: presentWrites,
		ValueKB:  presentValueKB,
		TxnOps:   presentOps,
		Next: config.UpcomingLimits{
			"rps":       nextRequests,
			"write_rps": nextWrites,
			"value_kb":  nextValueKB,
			"txn_ops":   int64(nextOps),
		},
	}
	return platform
}

// newUpgradeTest starts a deployment in its old version and waits until it works under load.
func newUpgradeTest(t *testing.T, from oldVersion) *upgradeTest {
	u := &upgradeTest{
		t:         t,
		from:      from,
		old:       buildVersion(t, from.commit),
		new:       buildVersion(t, ""),
		gatesFile: filepath.Join(t.TempDir(), "switches.toml"),
		rng:       rand.New(rand.NewPCG(9, 9)),
		stopLoad:  make(chan struct{}),
	}
	u.deployment = newDeployment(t, upgradeConfig(), upgradeMachineType(), upgradeMachines)
	if err := os.WriteFile(u.gatesFile, []byte("duties = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	u.cloud.FastBoot = true
	u.store.Limits = fakes.StateLimits{
		MaxValueBytes: presentValueKB * 1024,
		MaxTxnOps:     presentOps,
		WritesPerS:    presentWrites,
		RequestsPerS:  presentRequests,
	}
	u.store.OnCall = u.checkWrites
	for i := range u.controllers {
		u.versions = append(u.versions, u.old)
		u.start(i)
	}
	u.waitUntil("a lease holder", func() bool { return u.leaseHolderIndex() >= 0 })
	u.goroutines.Add(1)
	go u.submitLoop()
	u.waitUntil("work on the machines", func() bool {
		return u.longArray != nil && slices.Contains(u.longArray.Done, true)
	})
	return u
}

// start starts a controller in its version.
func (u *upgradeTest) start(i int) {
	program := u.versions[i]
	hasIntentLog := u.from.oldHasIntentLog
	if program == u.new {
		hasIntentLog = u.from.newHasIntentLog
	}
	u.controllers[i].start(func(settingsFile string) *exec.Cmd {
		if hasIntentLog {
			return exec.Command(program, "--switches", u.gatesFile, "--config", settingsFile)
		}
		return exec.Command(program, "--config", settingsFile)
	})
}

// restart kills a controller and starts it in a version.
func (u *upgradeTest) restart(i int, program string) {
	u.controllers[i].stop(syscall.SIGKILL)
	u.sleep(restartDelay)
	u.versions[i] = program
	u.start(i)
}

// step restarts a controller in a version and lets the deployment work for a while.
func (u *upgradeTest) step(i int, program string) {
	u.restart(i, program)
	u.sleep(stepInterval)
}

// roll gives all controllers a version, one after the other.
func (u *upgradeTest) roll(program string) {
	for i := range u.controllers {
		u.step(i, program)
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
		u.store.Limits = fakes.StateLimits{
			MaxValueBytes: nextValueKB * 1024,
			MaxTxnOps:     nextOps,
			WritesPerS:    nextWrites,
			RequestsPerS:  nextRequests,
		}
		u.limitsLowered = true
	})
	u.t.Logf("%d values are larger than the limits allow from now on", large)
	if u.from.writesLargeValues && large == 0 {
		u.t.Error("the old version left no value that is too large now: this tests nothing")
	}
}

// checkWrites checks that nothing is written beyond the limits once they have fallen.
// From then on all writers are the new version.
func (u *upgradeTest) checkWrites(call store.Call, _ error) {
	if !u.limitsLowered {
		return
	}
	writes := call.Transaction.Writes
	for _, write := range writes {
		if len(write.Value) > nextValueKB*1024 || len(writes) > nextOps {
			u.cluster.AddViolation(fakes.Expectation, "%s is written with %d bytes, %d changes at once",
				write.Put, len(write.Value), len(writes))
		}
	}
}

// finish ends the load, waits until every job has ended, and checks what the fakes saw.
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
			u.t.Error("no job was done")
		}
		u.reportViolations()
	})
}
