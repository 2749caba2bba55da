package fleet

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

type scaleInTest struct {
	name  string
	state worker.State
	set   func(machine *worker.Machine)
	wait  time.Duration
	want  bool // the machine is terminated
}

var scaleInTests = []scaleInTest{
	{
		name: "idle", state: worker.Up,
		wait: tuning.MachineIdleTimeout + time.Second,
		want: true,
	},
	{
		name: "idle for less than the timeout", state: worker.Up,
		wait: tuning.MachineIdleTimeout / 2,
		want: false,
	},
	{
		name: "running a task", state: worker.Up,
		set:  func(machine *worker.Machine) { machine.ActiveCopies = 1 },
		wait: time.Hour,
		want: false,
	},
	{
		name: "running a task and quarantined", state: worker.Up,
		set:  func(machine *worker.Machine) { machine.ActiveCopies, machine.Quarantined = 1, true },
		wait: time.Hour,
		want: false,
	},
	{
		name: "quarantined", state: worker.Up,
		set:  func(machine *worker.Machine) { machine.Quarantined = true },
		wait: time.Second,
		want: true,
	},
	{
		name: "reserved", state: worker.Up,
		set:  func(machine *worker.Machine) { machine.Reserved = quota.Resources{CPUs: 1} },
		wait: time.Minute,
		want: false,
	},
	{
		name: "unanswered command and no tasks", state: worker.Up,
		set:  func(machine *worker.Machine) { machine.UnansweredCommands = 1 },
		wait: time.Second,
		want: true,
	},
	{
		name: "unreachable", state: worker.Up,
		set:  makeUnreachable,
		wait: 2*10*time.Second + time.Second,
		want: true,
	},
	{
		name: "unreachable for less than two leases", state: worker.Up,
		set:  makeUnreachable,
		wait: 12 * time.Second,
		want: false,
	},
	{
		name: "booting", state: worker.Booting,
		wait: 60 * time.Second,
		want: false,
	},
	{
		name: "boot timed out", state: worker.Booting,
		wait: 80 * time.Second,
		want: true,
	},
	{
		name: "unresponsive", state: worker.Unresponsive,
		wait: 9 * time.Second,
		want: false,
	},
	{
		name: "preempted by the cloud", state: worker.Unresponsive,
		set:  func(machine *worker.Machine) { machine.PreemptionTime = machine.IdleSince },
		wait: 3 * time.Second,
		want: true,
	},
	{
		name: "lease expired", state: worker.LeaseExpired,
		wait: tuning.LeaseExpiredTimeout + time.Second,
		want: true,
	},
	{
		name: "no contact after a failover", state: worker.Unreconciled,
		wait: 11 * time.Second,
		want: true,
	},
}

// makeUnreachable makes a machine's heartbeats arrive without confirming any reply or command.
func makeUnreachable(machine *worker.Machine) {
	since := machine.IdleSince
	machine.ReplyConfirmed, machine.InDemand = false, true
	machine.UnconfirmedSince, machine.LastHeartbeat = since, since.Add(time.Second)
}

// Idle and failed machines are terminated. Machines that run tasks are not.
func TestScaleIn(t *testing.T) {
	for _, test := range scaleInTests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			machine := f.addMachine("i-1", test.state)
			if test.set != nil {
				test.set(machine)
			}
			f.now = f.now.Add(test.wait)
			f.autoscaler.scaleIn(f.now)
			if got := machine.State == worker.Deleting; got != test.want {
				t.Errorf("terminated: %t, want %t", got, test.want)
			}
		})
	}
}

// A few unreconciled machines are terminated early, since they delay the failover of a large fleet.
// As many as a network partition cuts off are not.
func TestFewUnreconciled(t *testing.T) {
	for _, test := range []struct {
		name         string
		machines     int
		unreconciled int
		after        time.Duration
		want         bool // the unreconciled are terminated
	}{
		{
			name:     "one of a large fleet",
			machines: 200, unreconciled: 1, after: tuning.UnreconciledDeletionDelay + time.Second,
			want: true,
		},
		{
			name:     "one of a large fleet, before the timeout",
			machines: 200, unreconciled: 1, after: tuning.UnreconciledDeletionDelay / 2,
			want: false,
		},
		{
			name:     "a tenth of a large fleet",
			machines: 200, unreconciled: 20, after: tuning.UnreconciledDeletionDelay + time.Second,
			want: false,
		},
		{
			name:     "one of a small fleet",
			machines: 30, unreconciled: 1, after: tuning.UnreconciledDeletionDelay + time.Second,
			want: false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			for i := range test.machines {
				machine := f.addMachine(fmt.Sprintf("i-%03d", i), worker.Up)
				machine.ActiveCopies = 1
				if i < test.unreconciled {
					f.registry.SetState(f.now, machine, worker.Unreconciled, "test")
				}
			}
			f.now = f.now.Add(test.after)
			f.autoscaler.scaleIn(f.now)
			want := 0
			if test.want {
				want = test.unreconciled
			}
			if got := f.intents.Pending(); got != want {
				t.Errorf("%d terminated, want %d", got, want)
			}
		})
	}
}
