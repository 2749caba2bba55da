package integration

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// callMatcher reports whether a call to the state service or the cloud is the wanted one.
type callMatcher func(call any) bool

// recordsIntent matches calls to the state service that record an intent for an operation.
func recordsIntent(operation intentlog.Operation) callMatcher {
	return func(call any) bool {
		stored, ok := call.(store.Call)
		return ok && slices.ContainsFunc(stored.Transaction.Writes, func(write wire.Write) bool {
			value := string(write.Value)
			if operation == intentlog.Provision {
				return strings.HasPrefix(write.PutKey, fleet.ProvisioningPrefix) && !strings.Contains(value, "Hosts")
			}
			return strings.HasPrefix(write.PutKey, intentlog.Prefix) &&
				strings.Contains(value, string(intentlog.Deprovision))
		})
	}
}

// callsCloud matches calls to the cloud that execute an operation.
func callsCloud(operation intentlog.Operation) callMatcher {
	wanted := map[intentlog.Operation]cloud.Operation{
		intentlog.Provision:   cloud.CreateMachines,
		intentlog.Deprovision: cloud.DeleteMachines,
	}
	return func(call any) bool {
		sent, ok := call.(cloud.Call)
		return ok && sent.Operation == wanted[operation]
	}
}

// stallStep is the step of an operation at which the lease holder stalls.
type stallStep struct {
	name    string
	phase   callPhase
	matcher func(operation intentlog.Operation) callMatcher
}

var stallSteps = []stallStep{
	{
		name:    "before the intent is recorded",
		phase:   beforeCall,
		matcher: recordsIntent,
	},
	{
		name:    "after the record and before the call",
		phase:   afterCall,
		matcher: recordsIntent,
	},
	{
		name:    "while the call is delayed",
		phase:   beforeCall,
		matcher: callsCloud,
	},
	{
		name:    "after the call and before the completion",
		phase:   afterCall,
		matcher: callsCloud,
	},
}

// stallKind is the fault that stalls a lease holder.
type stallKind struct {
	name       string
	frozen     bool // the process is stopped for longer than its lease
	clockJumps bool // the clock jumps forward past the lease
}

var stallKinds = []stallKind{
	{
		name:   "process frozen",
		frozen: true,
	},
	{
		name:       "clock jump",
		clockJumps: true,
	},
	{
		name:       "process frozen with a clock jump on resume",
		frozen:     true,
		clockJumps: true,
	},
}

// stall blocks the lease holder's next call of a step and stalls the holder. It releases both after
// the first operation of the next term.
func (s *stallTest) stall(step stallStep, operation intentlog.Operation, kind stallKind) {
	s.t.Helper()
	held := s.gate.hold(step.phase, step.matcher(operation))
	if !held.wait(waitTimeout) {
		s.logDiagnostics()
		s.t.Fatalf("no call for step %q of %s", step.name, operation)
	}
	oldHolder := s.requireLeaseHolder()
	token, executed := s.progress()
	from := time.Now()
	if kind.frozen {
		s.signal(oldHolder, syscall.SIGSTOP)
	}
	if kind.clockJumps {
		s.signal(oldHolder, syscall.SIGUSR1)
	}
	s.waitUntil("the first operation of the next term", func() bool {
		return s.checker.TotalExecuted() > executed && s.currentToken() > token
	})
	s.failoverTimes = append(s.failoverTimes, time.Since(from))
	s.sleep(extraStallTime)
	held.release()
	s.signal(oldHolder, syscall.SIGCONT)
}

// requireLeaseHolder returns the index of the recorded lease holder, or fails the test.
func (s *stallTest) requireLeaseHolder() int {
	s.t.Helper()
	holder := -1
	s.withLock(func() { holder = s.NodeIndex(s.leaseHolderName()) })
	if holder < 0 {
		s.t.Fatal("no controller holds the shard's lease")
	}
	return holder
}

// stallRounds returns the number of stalls per test: INTEGRATION_STALLS, or one by default.
func stallRounds() int {
	if n, err := strconv.Atoi(os.Getenv("INTEGRATION_STALLS")); err == nil {
		return n
	}
	return 1
}

// TestStalledLeaseHolder guards against a lease holder that resumes after its failover and executes a
// cloud operation twice, after its completion, or on a machine with tasks.
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
