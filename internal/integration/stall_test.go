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

// callMatcher reports whether a call of the state service or of the cloud is the one wanted.
type callMatcher func(call any) bool

// recordsIntent matches calls of the state service that record an intent for an operation.
func recordsIntent(operation intentlog.Operation) callMatcher {
	return func(call any) bool {
		stored, ok := call.(store.Call)
		return ok && slices.ContainsFunc(stored.Transaction.Writes, func(write wire.Write) bool {
			value := string(write.Value)
			if operation == intentlog.Provision {
				return strings.HasPrefix(write.Put, fleet.ProvisioningPrefix) && !strings.Contains(value, "Hosts")
			}
			return strings.HasPrefix(write.Put, intentlog.Prefix) &&
				strings.Contains(value, string(intentlog.Deprovision))
		})
	}
}

// callsCloud matches calls of the cloud that carry out an operation.
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

// stallStep is a step of an operation at which the lease holder stalls.
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
		name:    "between record and call",
		phase:   afterCall,
		matcher: recordsIntent,
	},
	{
		name:    "with the call held up",
		phase:   beforeCall,
		matcher: callsCloud,
	},
	{
		name:    "between call and completion",
		phase:   afterCall,
		matcher: callsCloud,
	},
}

// stallKind is what happens to a lease holder.
type stallKind struct {
	name       string
	frozen     bool // its process is stopped for longer than its lease
	clockMoved bool // its clock is moved forward
}

var stallKinds = []stallKind{
	{
		name:   "frozen",
		frozen: true,
	},
	{
		name:       "clock moved",
		clockMoved: true,
	},
	{
		name:       "frozen, and its clock moved as it wakes",
		frozen:     true,
		clockMoved: true,
	},
}

// stall holds the lease holder's next call of a step and stalls the holder. Once the next term
// has acted, the call and the holder go on.
func (s *stallTest) stall(step stallStep, operation intentlog.Operation, kind stallKind) {
	s.t.Helper()
	held := s.gate.hold(step.phase, step.matcher(operation))
	if !held.wait(waitTimeout) {
		s.t.Fatalf("no call %s of %s came", step.name, operation)
	}
	oldHolder := s.requireLeaseHolder()
	token, carriedOut := s.progress()
	from := time.Now()
	if kind.frozen {
		s.signal(oldHolder, syscall.SIGSTOP)
	}
	if kind.clockMoved {
		s.signal(oldHolder, syscall.SIGUSR1)
	}
	s.waitUntil("a next term's first operation", func() bool {
		return s.checker.TotalExecuted() > carriedOut && s.currentToken() > token
	})
	s.failoverTimes = append(s.failoverTimes, time.Since(from))
	s.sleep(stallExtra)
	held.release()
	s.signal(oldHolder, syscall.SIGCONT)
}

// requireLeaseHolder is the index of the controller that the record names as the lease holder.
func (s *stallTest) requireLeaseHolder() int {
	s.t.Helper()
	holder := -1
	s.withLock(func() { holder = s.NodeIndex(s.leaseHolderName()) })
	if holder < 0 {
		s.t.Fatal("nobody holds the shard's lease")
	}
	return holder
}

// stallRounds is how often each step is hit: once in CI, more often when asked for.
func stallRounds() int {
	if n, err := strconv.Atoi(os.Getenv("INTEGRATION_STALLS")); err == nil {
		return n
	}
	return 1
}

// TestStalledLeaseHolder freezes the lease holder, or moves its clock forward, at each step of
// provisioning and of deprovisioning, and lets it go on once its successor has acted. What the fake
// cloud carried out is compared with the intent log: nothing is carried out twice, late with an
// effect, or on a machine that has work.
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
