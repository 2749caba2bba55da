package controller

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// cancellationOutage is a case of TestCancelledBeforeOutage.
type cancellationOutage struct {
	name        string
	before      func(s *outageScenario) // as the state service refuses the lease holder
	during      func(s *outageScenario) // in the outage
	keepsLeases bool                    // no worker may lose its lease
}

var cancellationOutages = []cancellationOutage{
	{
		name:        "as it was seen",
		keepsLeases: true,
	},
	{
		name:   "the confirming node ends in the outage and is back within a second",
		during: func(s *outageScenario) { s.confirming.crash(600 * time.Millisecond) },
	},
	{
		name:   "it ends before it has passed them on, and is back at once",
		before: crashConfirmingBeforeItPassesOn,
	},
	{
		name: "controllers do not reach each other either",
		before: func(s *outageScenario) {
			for _, n := range s.nodes {
				n.peersCut = true
			}
		},
	},
	{
		name:   "the confirming node alone is cut off from the others",
		before: func(s *outageScenario) { s.confirming.peersCut = true },
	},
	{
		name:   "the lease holder ends in the outage and is back within a second",
		during: func(s *outageScenario) { s.holder.crash(400 * time.Millisecond) },
	},
	{
		name: "all end in the outage and are back within a second",
		during: func(s *outageScenario) {
			for i, n := range s.nodes {
				n.crash(time.Duration(200+150*i) * time.Millisecond)
			}
		},
	},
	{
		name: "a third controller ends in the outage",
		during: func(s *outageScenario) {
			for _, n := range s.nodes {
				if n != s.holder && n != s.confirming {
					n.crash(time.Minute)
				}
			}
		},
	},
	{
		name:   "machines hang as their jobs are cancelled",
		before: hangMachinesAtCancellation,
	},
	{
		name:   "no answer of the lease holder reaches some machines",
		before: cutMachinesInboundAtCancellation,
	},
}

// justBeforeCancellation is when machines' faults start, after the state service began to
// refuse the lease holder.
const justBeforeCancellation = 1450 * time.Millisecond

func crashConfirmingBeforeItPassesOn(s *outageScenario) {
	s.confirming.peersCut = true
	s.clock.Schedule(1700*time.Millisecond, func() {
		s.confirming.crash(300 * time.Millisecond)
		s.confirming.peersCut = false
	})
}

func hangMachinesAtCancellation(s *outageScenario) {
	s.clock.Schedule(justBeforeCancellation, func() {
		for _, m := range s.everyOtherMachine() {
			m.Hung = true
			s.clock.Schedule(8*time.Second, func() { m.Hung = false; s.release(m) })
		}
	})
}

func cutMachinesInboundAtCancellation(s *outageScenario) {
	s.clock.Schedule(justBeforeCancellation, func() {
		for _, m := range s.everyOtherMachine() {
			m.inboundCut = true
		}
	})
}

// The state service refuses the lease holder alone, another controller confirms
// cancellations that the lease holder cannot read there, and then it is down for all,
// longer than a cancelled job's tasks have, while workers go on sending heartbeats to the
// lease holder. What the lease holder knows comes from its peers, or its renewals end. That
// the tasks are terminated in time is checked after each step.
func TestCancelledBeforeOutage(t *testing.T) {
	for _, c := range cancellationOutages {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				c.run(newOutageScenario(t, seed))
			})
		}
	}
}

// outageScenario is a deployment in which jobs are cancelled before an outage.
type outageScenario struct {
	*simulation
	holder       *simulatedNode
	confirming   *simulatedNode    // the controller that confirms the cancellations
	long         []*fakes.Job      // of long tasks
	incarnations map[string]uint64 // of the machines
}

// longRunTime is for how long the scenario's long tasks run.
const longRunTime = 400 * time.Second

// newOutageScenario is a deployment on which long tasks run.
func newOutageScenario(t *testing.T, seed uint64) *outageScenario {
	s := &outageScenario{simulation: steadySimulationWith(t, 11+seed, 6, 2), incarnations: map[string]uint64{}}
	for i := range 4 {
		spec := trainingArray(fmt.Sprintf("job-1%02d", i), 2, 300)
		s.long = append(s.long, s.add(spec, longRunTime))
	}
	s.runFor(45 * time.Second)
	s.holder = s.leaseHolder()
	s.confirming = s.lastNodeExcept(s.holder)
	running := 0
	for _, id := range s.machineNames() {
		s.incarnations[id] = s.machines[id].Incarnation
		for _, task := range s.machines[id].Tasks {
			if task.Job.RunTime == longRunTime && task.State == wire.TaskRunning {
				running++
			}
		}
	}
	if running < 6 {
		t.Fatalf("only %d long tasks run", running)
	}
	return s
}

// everyOtherMachine is half of the machines.
func (s *outageScenario) everyOtherMachine() []*machine {
	var half []*machine
	for i, id := range s.machineNames() {
		if i%2 == 0 {
			half = append(half, s.machines[id])
		}
	}
	return half
}

// run cancels jobs, plays the outage, and lets every job end.
func (c cancellationOutage) run(s *outageScenario) {
	s.holder.stateRefused = true
	if c.before != nil {
		c.before(s)
	}
	s.runFor(1500 * time.Millisecond)
	cancelled, open := s.long[:3], s.long[3]
	for i, j := range cancelled {
		s.cancelAtConfirming(j, i == 2)
	}
	s.runFor(300 * time.Millisecond)
	for _, j := range cancelled {
		if j.KnownState != wire.JobCancelled {
			s.t.Fatalf("%s was reported as %q", j.Spec.ID, j.KnownState)
		}
	}
	s.state.SetUnavailable(true)
	s.runFor(10 * time.Second)
	if c.during != nil {
		c.during(s)
	}
	s.runFor(50 * time.Second)
	if c.keepsLeases {
		s.checkLeasesKept()
	}
	s.endFaults()
	s.runFor(30 * time.Second)
	s.cancel(open)
	s.requireAllJobsEnd()
}

// cancelAtConfirming cancels a job through the confirming controller. With resubmission the
// user learns of the cancellation from a repeated submission, not from the cancellation.
func (s *outageScenario) cancelAtConfirming(j *fakes.Job, withResubmission bool) {
	j.CancelRequested = true
	confirming := s.confirming.controller
	now := s.clock.Now()
	record := func(r submission.Response) {
		if accepted, ok := r.Body.(wire.JobAccepted); r.Status == 200 && ok {
			s.recordAnswer(j, accepted.State, "")
		}
	}
	if withResubmission {
		confirming.Cancel(now, j.Spec.ID, func(submission.Response) { confirming.Submit(now, j.Spec, record) })
		return
	}
	confirming.Cancel(now, j.Spec.ID, record)
}

// checkLeasesKept checks that every machine still has the incarnation that it had.
func (s *outageScenario) checkLeasesKept() {
	for id, incarnation := range s.incarnations {
		if m := s.machines[id]; m != nil && m.Incarnation != incarnation {
			s.addViolation("%s lost its lease", id)
		}
	}
}

// endFaults ends the outage and all faults.
func (s *outageScenario) endFaults() {
	s.holder.stateRefused = false
	for _, n := range s.nodes {
		n.peersCut = false
	}
	for _, id := range s.machineNames() {
		s.machines[id].inboundCut = false
	}
	s.state.SetUnavailable(false)
}
