package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Sizes of the deployment whose holders are frozen.
const (
	stallMachines = 12
	burstJobs     = 5
	burstInterval = 9 * time.Second
	shortRunTime  = 1500 * time.Millisecond
	// longRunTime is longer than a worker's lease: such tasks run whenever a holder stalls.
	longRunTime = 9 * time.Second
	// stallExtra is how long past the successor's first action the old holder stays frozen.
	stallExtra = 1 * time.Second
	// clockJump is by how much the clock of a holder is moved forward: past its lease.
	clockJump = 10 * time.Second
)

// stallTest is a deployment whose holder is stopped, or whose clock jumps, at chosen steps
// of an action.
type stallTest struct {
	*deployment
	t             *testing.T
	checker       *standin.IntentChecker
	jobs          int
	stopLoad      chan struct{}
	traces        []string        // the controllers' files
	failoverTimes []time.Duration // from each stall to the next tenure's first action
}

func newStallTest(t *testing.T) *stallTest {
	deploymentConfig := standin.DeploymentConfig([]string{"a"}, []config.Team{{Name: "red", GPUs: 8, GPUsMax: 20}, {Name: "blue"}}, 1, 6)
	deploymentConfig.Workers.CancelS = 20
	s := &stallTest{t: t, stopLoad: make(chan struct{})}
	s.deployment = newDeployment(t, deploymentConfig, upgradeMachineType(), stallMachines)
	s.cloud.FastBoot = true
	s.withLock(func() {
		s.store.Put("c/settings", []byte(`{"fleet.idle_return_s":"5"}`))
		s.checker = standin.NewIntentChecker(s.cluster, s.store, s.cloud)
	})
	dir := t.TempDir()
	for _, controller := range s.controllers {
		file, trace := filepath.Join(dir, controller.config.Member+".toml"), filepath.Join(dir, controller.config.Member+".json")
		s.traces = append(s.traces, trace)
		if err := os.WriteFile(file, fmt.Appendf(nil, "duties = true\n[trace]\nfile = %q\n", trace), 0o600); err != nil {
			t.Fatal(err)
		}
		controller.start(func(settings string) *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), controllerEnv+"="+settings, switchesEnv+"="+file)
			return cmd
		})
	}
	s.waitUntil("the log of duties in force", func() bool { return strings.Contains(string(s.store.Keys["c/switches"].Value), "duties") })
	s.goroutines.Add(1)
	go s.submitLoop()
	return s
}

// submitLoop is the users: bursts of short jobs, between which machines are idle and returned.
func (s *stallTest) submitLoop() {
	defer s.goroutines.Done()
	for {
		for i := range burstJobs {
			spec := wire.JobSpec{ID: fmt.Sprintf("job-%06d", s.jobs), Team: []string{"red", "blue"}[i%2], Class: "sweep", Shape: wire.ShapeBatch,
				Priority: "normal", Tasks: 4, Vcpus: 2, Gpus: 1, MemGb: 8, Image: "img", ImageGb: 1, AnyType: true, EstimatedRunTimeS: shortRunTime.Seconds()}
			s.jobs++
			run := shortRunTime
			if i == 0 {
				run = longRunTime
			}
			s.submit(spec, run)
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

// recordsIntent tells whether a call enters an action of a duty.
func recordsIntent(operation intentlog.Operation) func(call any) bool {
	return func(call any) bool {
		stored, ok := call.(store.Call)
		return ok && slices.ContainsFunc(stored.Transaction.Writes, func(w wire.Write) bool {
			if operation == intentlog.Provision {
				return strings.HasPrefix(w.Put, fleet.ProvisioningPrefix) && !strings.Contains(string(w.Value), "Hosts")
			}
			return strings.HasPrefix(w.Put, intentlog.Prefix) && strings.Contains(string(w.Value), string(intentlog.Deprovision))
		})
	}
}

// callsCloud tells whether a call is one of a duty's.
func callsCloud(operation intentlog.Operation) func(call any) bool {
	return func(call any) bool {
		sent, ok := call.(cloud.Call)
		return ok && (operation == intentlog.Provision && sent.Operation == cloud.CreateMachines || operation == intentlog.Deprovision && sent.Operation == cloud.DeleteMachines)
	}
}

// stallStep is a step of an action at which its holder stalls.
type stallStep struct {
	name string
	at   callPhase
	want func(d intentlog.Operation) func(call any) bool
}

var stallSteps = []stallStep{
	{"before the entry", beforeCall, recordsIntent},
	{"between entry and call", afterCall, recordsIntent},
	{"with the call held up", beforeCall, callsCloud},
	{"between call and settlement", afterCall, callsCloud},
}

// stallKind is what happens to a holder.
type stallKind struct {
	name               string
	frozen, clockMoved bool // its process is stopped for longer than its lease; its clock is moved forward
}

var stallKinds = []stallKind{
	{"frozen", true, false},
	{"clock moved", false, true},
	{"frozen, and its clock moved as it wakes", true, true},
}

// stall holds the holder's next call of a step and stalls the holder. Once the next tenure
// has acted, the call and the holder go on.
func (s *stallTest) stall(step stallStep, operation intentlog.Operation, kind stallKind) {
	s.t.Helper()
	held := s.gate.hold(step.at, step.want(operation))
	if !held.wait(waitTimeout) {
		s.t.Fatalf("no call %s of %s came", step.name, operation)
	}
	oldHolder := -1
	s.withLock(func() { oldHolder = s.NodeIndex(s.leaseHolderName()) })
	if oldHolder < 0 {
		s.t.Fatal("nobody holds the block")
	}
	token, carriedOut := s.progress()
	from := time.Now()
	if kind.frozen {
		s.signal(oldHolder, syscall.SIGSTOP)
	}
	if kind.clockMoved {
		s.signal(oldHolder, syscall.SIGUSR1)
	}
	s.waitUntil("a next tenure's first action", func() bool {
		return s.checker.Completed() > carriedOut && s.currentToken() > token
	})
	s.failoverTimes = append(s.failoverTimes, time.Since(from))
	s.sleep(stallExtra)
	held.release()
	s.signal(oldHolder, syscall.SIGCONT)
}

func (s *stallTest) signal(node int, sig os.Signal) {
	if err := s.controllers[node].command.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// progress is the newest token that was given and how many actions were carried out.
func (s *stallTest) progress() (token uint64, carriedOut int) {
	s.withLock(func() { token, carriedOut = s.currentToken(), s.checker.Completed() })
	return token, carriedOut
}

// finish ends the load, waits until every job has ended and every entry is settled, and
// checks what the stand-ins saw.
func (s *stallTest) finish() {
	s.t.Helper()
	close(s.stopLoad)
	s.waitUntil("every job's end", func() bool {
		return !slices.ContainsFunc(s.cluster.Submitted, func(j *standin.Job) bool { return !j.Ended() })
	})
	s.waitUntil("every machine returned", func() bool { return len(s.cloud.Hosts) == 0 })
	s.withLock(func() {
		s.cluster.Check()
		for _, violation := range s.cluster.Violations {
			s.t.Error(violation)
		}
		var sum time.Duration
		for _, failover := range s.failoverTimes {
			sum += failover
		}
		s.t.Logf("%d stalls; carried out: %v with %d writes of the log; first action of the next tenure after %.2f member leases on average",
			len(s.failoverTimes), s.checker.Effects, s.checker.PageWrites, sum.Seconds()/float64(max(1, len(s.failoverTimes)))/tuning.MemberLease.Seconds())
	})
}

// stallRounds is how often each step is hit: once in CI, more often when asked for.
func stallRounds() int {
	if n, err := strconv.Atoi(os.Getenv("INTEGRATION_STALLS")); err == nil {
		return n
	}
	return 1
}

// TestStalledLeaseHolder freezes the holder, or moves its clock forward, at each step of a
// rental and of a return, and lets it go on once its successor has acted. What the
// stand-in cloud carried out is compared with the log: nothing is carried out twice, late
// with an effect, or on a machine that has work.
func TestStalledLeaseHolder(t *testing.T) {
	for _, operation := range []intentlog.Operation{intentlog.Provision, intentlog.Deprovision} {
		for _, step := range stallSteps {
			for _, kind := range stallKinds {
				t.Run(fmt.Sprintf("%s/%s/%s", operation, step.name, kind.name), func(t *testing.T) {
					t.Parallel()
					test := newStallTest(t)
					for range stallRounds() {
						test.stall(step, operation, kind)
					}
					test.finish()
				})
			}
		}
	}
}
