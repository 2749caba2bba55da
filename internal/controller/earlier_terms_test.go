package controller

import (
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// consecutiveFailovers is a deployment whose first lease holder is partitioned together with the machine
// of a task, and goes on renewing that worker's lease.
type consecutiveFailovers struct {
	*simulation
	first *simulatedNode
	job   *fakes.Job // its task runs in the zone of the first lease holder, but may run in the other one
}

// newConsecutiveFailovers returns a deployment with one machine in each of two zones. Zone b is
// partitioned with the lease holder. The cloud is unavailable, so no machine can be deleted.
func newConsecutiveFailovers(t *testing.T) *consecutiveFailovers {
	sim := newSimulation(t, 1, testConfig(twoZones, steadyTeams, 1.5, 10), 1, twoZoneTypes)
	s := &consecutiveFailovers{simulation: sim, first: sim.nodes[1]}
	s.nodes[0].crash(5 * time.Second)
	s.nodes[2].crash(5 * time.Second)
	s.job = s.runLongTask(sweepJob("job-0", "normal", 1, 300), "b")
	boundJob := sweepJob("job-1", "normal", 1, 300)
	boundJob.Zone = "a"
	s.runLongTask(boundJob, "a")
	if s.leaseHolder() != s.first {
		t.Fatal("the controller in zone b does not hold the shard")
	}
	s.cloud.Unavailable = true
	s.isolatedZone = s.first.zone
	return s
}

// runLongTask submits a job of one task while the cloud has one machine, in the given zone, and waits
// until the task is on it.
func (s *consecutiveFailovers) runLongTask(spec wire.JobSpec, zone string) *fakes.Job {
	s.cloud.Available[fakes.CapacityKey(mediumType.Name, zone, false)] = 1
	job := s.submitJob(spec, 5*time.Minute)
	s.runUntil(spec.ID+" runs", time.Minute, func() bool { return s.taskIn(job, zone) })
	return job
}

// taskIn reports whether the task of a job is on a machine in a zone.
func (s *consecutiveFailovers) taskIn(job *fakes.Job, zone string) bool {
	for _, name := range s.machineNames() {
		m := s.machines[name]
		m.Faulty = false
		if m.Host.Zone == zone && m.FindTask(job, 0, 0) != nil {
			return true
		}
	}
	return false
}

// successor waits until a controller other than the first lease holder is fencing the workers under a
// higher token than the given one, and returns that controller and its token.
func (s *consecutiveFailovers) successor(token uint64) (found *simulatedNode, next uint64) {
	s.runUntil("the next term", 20*time.Second, func() bool {
		for _, n := range s.nodes {
			t := n.controller.terms[0]
			if n != s.first && n.alive && t != nil && t.State() == term.Fencing && t.Token > token {
				found, next = n, t.Token
			}
		}
		return found != nil
	})
	return found, next
}

// Guards against a task that starts twice after two failovers in a row: the second successor must wait for
// the lease holder before its predecessor, which still renews the lease of the task's worker.
func TestPartitionedHolderBeforePredecessor(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *consecutiveFailovers, successor *simulatedNode)
	}{
		{
			name: "the first successor restarts at once",
			end: func(_ *consecutiveFailovers, successor *simulatedNode) {
				successor.crash(300 * time.Millisecond)
			},
		},
		{
			name: "the first successor releases the shard",
			end: func(s *consecutiveFailovers, successor *simulatedNode) {
				successor.controller.terms[0].End(s.clock.Now(), "the test ends the term")
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newConsecutiveFailovers(t)
			successor, token := s.successor(s.first.controller.terms[0].Token)
			c.end(s, successor)
			s.successor(token)
			s.runUntil("the task runs in the other zone", time.Minute, func() bool { return s.taskIn(s.job, "a") })
			s.runFor(time.Second)
			s.requireNoViolations()
		})
	}
}

// Guards against waiting after each failover for lease holders that an open term has superseded on every
// worker: the next term must know that they have ended, also if the open term did not know it at its start.
func TestOpenTermRecordsEarlierTermsEnded(t *testing.T) {
	sim := steadySimulation(t, 2, 1)
	sim.leaseHolder().crash(10 * time.Second)
	for _, wantAtStart := range []bool{false, true} {
		sim.runFor(tuning.MemberLease + time.Second)
		sim.runUntil("an open term", 20*time.Second, func() bool { return sim.leaseHolder() != nil })
		holder := sim.leaseHolder()
		if holder.controller.terms[0].EarlierTermsEnded != wantAtStart {
			t.Fatalf("earlier terms ended: %t at the start of the term, want %t", !wantAtStart, wantAtStart)
		}
		sim.runFor(time.Second)
		holder.crash(100 * time.Millisecond)
	}
	sim.requireNoViolations()
}
