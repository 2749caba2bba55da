package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Load of the deployment in the stall tests.
const (
	stallMachines = 12
	burstJobs     = 5
	burstInterval = 9 * time.Second
	shortRunTime  = 1500 * time.Millisecond
	// longRunTime is longer than a worker's lease, so that some tasks run whenever a lease holder
	// stalls.
	longRunTime = 9 * time.Second
	// extraStallTime is the time for which a stall continues after the successor's first operation.
	extraStallTime = 1 * time.Second
)

// stallTest is a deployment whose lease holder freezes, or whose clock jumps, at chosen steps of a
// cloud operation.
type stallTest struct {
	*deployment
	t             *testing.T
	checker       *fakes.IntentChecker
	jobs          int // number of submitted jobs
	stopLoad      chan struct{}
	traces        []string        // trace files of the controllers
	failoverTimes []time.Duration // from each stall to the first operation of the next term
}

// newStallTest starts a deployment under load and waits until the intent log is enabled.
func newStallTest(t *testing.T) *stallTest {
	teams := []config.Team{{Name: "red", GPUs: 8, GPUsMax: 20}, {Name: "blue"}}
	platform := fakes.DeploymentConfig([]string{"a"}, teams, 1, 6)
	platform.Workers.CancelS = 20
	s := &stallTest{t: t, stopLoad: make(chan struct{})}
	s.deployment = newDeployment(t, platform, upgradeMachineType(), stallMachines)
	s.cloud.FastBoot = true
	s.withLock(func() {
		s.store.Put(settingsKey, []byte(`{"fleet.idle_return_s":"5"}`))
		s.checker = fakes.NewIntentChecker(s.cluster, s.store, s.cloud)
	})
	dir := t.TempDir()
	for _, controller := range s.controllers {
		s.startTraced(controller, dir)
	}
	s.waitUntil("the intent log in force", s.intentLogInForce)
	s.goroutines.Add(1)
	go s.submitLoop()
	return s
}

// startTraced starts a controller with the intent log enabled and its trace in a directory.
func (s *stallTest) startTraced(controller *controllerProcess, dir string) {
	name := filepath.Join(dir, controller.config.Member)
	gatesFile, trace := name+".toml", name+".json"
	s.traces = append(s.traces, trace)
	gates := fmt.Appendf(nil, "duties = true\n[trace]\nfile = %q\n", trace)
	if err := os.WriteFile(gatesFile, gates, 0o600); err != nil {
		s.t.Fatal(err)
	}
	controller.start(func(settingsFile string) *exec.Cmd {
		return controllerCommand(settingsFile, gatesEnv+"="+gatesFile)
	})
}

// submitLoop submits bursts of short jobs, with gaps in which idle machines are deprovisioned.
func (s *stallTest) submitLoop() {
	defer s.goroutines.Done()
	for {
		for i := range burstJobs {
			runTime := shortRunTime
			if i == 0 {
				runTime = longRunTime
			}
			s.submit(s.burstSpec([]string{"red", "blue"}[i%2]), runTime)
		}
		select {
		case <-s.stopLoad:
			return
		case <-s.ctx.Done():
			return
		case <-time.After(burstInterval):
		}
	}
}

// burstSpec returns the next job of a burst.
func (s *stallTest) burstSpec(team string) wire.JobSpec {
	spec := wire.JobSpec{
		ID:                fmt.Sprintf("job-%06d", s.jobs),
		Team:              team,
		Class:             "sweep",
		Shape:             wire.ShapeBatch,
		Priority:          "normal",
		Tasks:             4,
		Vcpus:             2,
		Gpus:              1,
		MemGB:             8,
		Image:             "img",
		ImageGB:           1,
		AnyType:           true,
		EstimatedRunTimeS: shortRunTime.Seconds(),
	}
	s.jobs++
	return spec
}

// signal sends a signal to a controller's process.
func (s *stallTest) signal(controller int, signal syscall.Signal) {
	if err := s.controllers[controller].command.Process.Signal(signal); err != nil {
		s.t.Fatal(err)
	}
}

// progress returns the latest fencing token and the number of executed operations.
func (s *stallTest) progress() (token uint64, executed int) {
	s.withLock(func() { token, executed = s.currentToken(), s.checker.TotalExecuted() })
	return token, executed
}

// finish stops the load, waits until all jobs have ended and all machines are deprovisioned, and
// reports rule violations.
func (s *stallTest) finish() {
	s.t.Helper()
	close(s.stopLoad)
	s.waitUntilAllJobsEnd()
	s.waitUntil("every machine deprovisioned", func() bool { return len(s.cloud.Hosts) == 0 })
	s.withLock(func() {
		s.cluster.CheckInvariants()
		s.reportViolations()
		var sum time.Duration
		for _, failover := range s.failoverTimes {
			sum += failover
		}
		mean := sum.Seconds() / float64(max(1, len(s.failoverTimes))) / tuning.MemberLease.Seconds()
		s.t.Logf("%d stalls; executed operations: %v with %d writes of the log; "+
			"first operation of the next term after %.2f member leases on average",
			len(s.failoverTimes), s.checker.Executed, s.checker.PageWrites, mean)
	})
}
