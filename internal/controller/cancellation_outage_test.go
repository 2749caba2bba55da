package controller

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// cancellationOutage describes the further faults of a case of TestCancellationBeforeOutage.
type cancellationOutage struct {
	name        string
	before      func(s *outageScenario) // runs when the state service begins to refuse the lease holder
	during      func(s *outageScenario) // runs during the outage
	keepsLeases bool                    // every worker must keep its lease
}

var cancellationOutages = []cancellationOutage{
	{
		name:        "no further fault, workers keep their leases",
		keepsLeases: true,
	},
	{
		name:   "acknowledging controller restarts within a second during the outage",
		during: func(s *outageScenario) { s.acknowledging.crash(600 * time.Millisecond) },
	},
	{
		name:   "acknowledging controller restarts before it passes the cancellations on",
		before: crashAcknowledgingBeforePropagation,
	},
	{
		name: "no controller reaches a peer",
		before: func(s *outageScenario) {
			for _, n := range s.nodes {
				n.peersPartitioned = true
			}
		},
	},
	{
		name:   "acknowledging controller is partitioned from its peers",
		before: func(s *outageScenario) { s.acknowledging.peersPartitioned = true },
	},
	{
		name:   "lease holder restarts within a second during the outage",
		during: func(s *outageScenario) { s.holder.crash(400 * time.Millisecond) },
	},
	{
		name: "all controllers restart within a second during the outage",
		during: func(s *outageScenario) {
			for i, n := range s.nodes {
				n.crash(time.Duration(200+150*i) * time.Millisecond)
			}
		},
	},
	{
		name: "third controller crashes during the outage",
		during: func(s *outageScenario) {
			for _, n := range s.nodes {
				if n != s.holder && n != s.acknowledging {
					n.crash(time.Minute)
				}
			}
		},
	},
	{
		name:   "machines hang when their jobs are cancelled",
		before: hangMachinesAtCancellation,
	},
	{
		name:   "half of the machines receive no answer",
		before: blockInboundAtCancellation,
	},
}

// machineFaultDelay is the time from the first refusal of the state service to the start of machine
// faults, shortly before the jobs are cancelled.
const machineFaultDelay = 1450 * time.Millisecond

func crashAcknowledgingBeforePropagation(s *outageScenario) {
	s.acknowledging.peersPartitioned = true
	s.clock.Schedule(1700*time.Millisecond, func() {
		s.acknowledging.crash(300 * time.Millisecond)
		s.acknowledging.peersPartitioned = false
	})
}

func hangMachinesAtCancellation(s *outageScenario) {
	s.clock.Schedule(machineFaultDelay, func() {
		for _, m := range s.everyOtherMachine() {
			m.Hung = true
			s.clock.Schedule(8*time.Second, func() { m.Hung = false; s.release(m) })
		}
	})
}

func blockInboundAtCancellation(s *outageScenario) {
	s.clock.Schedule(machineFaultDelay, func() {
		for _, m := range s.everyOtherMachine() {
			m.inboundBlocked = true
		}
	})
}

// Guards against cancelled tasks that run on because the lease holder cannot read the cancellations
// from the state service: it must learn of them from its peers or stop renewing worker leases.
func TestCancellationBeforeOutage(t *testing.T) {
	for _, c := range cancellationOutages {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				c.run(newOutageScenario(t, seed))
			})
		}
	}
}

// outageScenario simulates a deployment whose jobs are cancelled before an outage.
type outageScenario struct {
	*simulation
	holder        *simulatedNode
	acknowledging *simulatedNode // acknowledges the cancellations to the users
	longJobs      []*fakes.Job
	incarnations  map[string]uint64 // by machine, before the outage
}

// longRunTime is the run time of the tasks of longJobs, which exceeds that of any other task.
const longRunTime = 400 * time.Second

// newOutageScenario returns a deployment in which at least six tasks of the long jobs run.
func newOutageScenario(t *testing.T, seed uint64) *outageScenario {
	s := &outageScenario{simulation: steadySimulationWith(t, 11+seed, 6, 2), incarnations: map[string]uint64{}}
	for i := range 4 {
		spec := trainingArray(fmt.Sprintf("job-1%02d", i), 2, 300)
		s.longJobs = append(s.longJobs, s.submitJob(spec, longRunTime))
	}
	s.runFor(45 * time.Second)
	s.holder = s.leaseHolder()
	s.acknowledging = s.lastNodeExcept(s.holder)
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
		t.Fatalf("%d tasks of long jobs run, want 6 or more", running)
	}
	return s
}

// everyOtherMachine returns every second machine in the order of the names.
func (s *outageScenario) everyOtherMachine() []*machine {
	var half []*machine
	for i, id := range s.machineNames() {
		if i%2 == 0 {
			half = append(half, s.machines[id])
		}
	}
	return half
}

// run cancels jobs, simulates the outage and waits until every job has ended.
func (c cancellationOutage) run(s *outageScenario) {
	s.holder.stateRefused = true
	if c.before != nil {
		c.before(s)
	}
	s.runFor(1500 * time.Millisecond)
	cancelled, open := s.longJobs[:3], s.longJobs[3]
	for i, j := range cancelled {
		s.cancelThroughAcknowledging(j, i == 2)
	}
	s.runFor(300 * time.Millisecond)
	for _, j := range cancelled {
		if j.KnownState != wire.JobCancelled {
			s.t.Fatalf("the user's last known state of %s is %q, want %q", j.Spec.ID, j.KnownState, wire.JobCancelled)
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

// cancelThroughAcknowledging cancels a job through the acknowledging controller. If withResubmission
// is set, a repeated submission instead of the cancellation tells the user of the final state.
func (s *outageScenario) cancelThroughAcknowledging(j *fakes.Job, withResubmission bool) {
	j.CancelRequested = true
	acknowledging := s.acknowledging.controller
	now := s.clock.Now()
	record := func(r submission.Response) {
		if accepted, ok := r.Body.(wire.JobAccepted); r.Status == 200 && ok {
			s.recordResponse(j, accepted.State, jobBefore{})
		}
	}
	if withResubmission {
		resubmit := func(submission.Response) { acknowledging.Submit(now, j.Spec, record) }
		acknowledging.Cancel(now, j.Spec.ID, resubmit)
		return
	}
	acknowledging.Cancel(now, j.Spec.ID, record)
}

// checkLeasesKept adds a violation for each machine whose incarnation has changed since the outage
// began: a worker starts a new incarnation when its lease expires.
func (s *outageScenario) checkLeasesKept() {
	for id, incarnation := range s.incarnations {
		if m := s.machines[id]; m != nil && m.Incarnation != incarnation {
			s.addViolation("%s lost its lease", id)
		}
	}
}

// endFaults ends the outage and the faults that last until they are ended explicitly.
func (s *outageScenario) endFaults() {
	s.holder.stateRefused = false
	for _, n := range s.nodes {
		n.peersPartitioned = false
	}
	for _, id := range s.machineNames() {
		s.machines[id].inboundBlocked = false
	}
	s.state.SetUnavailable(false)
}
