package placement

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Attributes of the machines and jobs in tests.
const (
	testToken       = 7
	testImage       = "img"
	testClass       = "l"
	testMachineType = "g2"
)

// testCapacity is the capacity of each machine. It fits two tasks of addJob with
// one GPU each.
var testCapacity = quota.Resources{CPUs: 12, GPUs: 2, MemGB: 96}

// testHarness runs a scheduler with a simulated clock and simulated machines.
type testHarness struct {
	t         *testing.T
	now       time.Time
	scheduler *Scheduler
	registry  *worker.Registry
	completed []string // job IDs, one for each call of OnTaskCompleted
	lastJob   int
}

func newHarness(t *testing.T, machines int) *testHarness {
	platform := config.Platform{
		Zones:   []string{"a"},
		Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 10},
		Teams:   []config.Team{{Name: "red", GPUs: 2, GPUsMax: 4}, {Name: "blue", GPUs: 2, GPUsMax: 8}},
	}
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	h := &testHarness{t: t, now: time.Unix(1000, 0)}
	h.registry = worker.NewRegistry(platform.Workers, discard)
	h.scheduler = NewScheduler(Options{
		Platform:        platform,
		Token:           testToken,
		Ledger:          quota.NewLedger(platform.Teams, 1),
		Registry:        h.registry,
		Rand:            rand.New(rand.NewPCG(1, 1)),
		Log:             discard,
		OnTaskCompleted: func(_ time.Time, job *Job) { h.completed = append(h.completed, job.Spec.ID) },
	})
	h.scheduler.MarkReconciled()
	for i := range machines {
		h.addMachine(fmt.Sprintf("i-%d", i))
	}
	return h
}

// addMachine adds a machine and applies its first heartbeat.
func (h *testHarness) addMachine(host string) *worker.Machine {
	machine := h.registry.Add(h.now, host, worker.Booting)
	machine.Capacity = testCapacity
	machine.Registered, machine.Type, machine.Zone = true, testMachineType, "a"
	h.heartbeat(machine)
	return machine
}

// addJob adds a job whose tasks need 5 CPUs, 30 GB and the given number of GPUs each.
func (h *testHarness) addJob(team, shape, priority string, tasks int, gpus float64) *Job {
	h.lastJob++
	h.now = h.now.Add(tuning.FairShareMinInterval)
	spec := wire.JobSpec{
		ID: fmt.Sprintf("job-%d", h.lastJob), Team: team, Class: testClass, Shape: shape, Priority: priority,
		Tasks: tasks, Vcpus: 5, Gpus: gpus, MemGB: 30, Image: testImage, AnyType: true, EstimatedRunTimeS: 60,
	}
	return h.scheduler.AddJob(h.now, spec, h.now, uint64(h.lastJob), false)
}

// assigned returns the tasks that may be on a machine.
func (h *testHarness) assigned(machine *worker.Machine) []*Task {
	return h.scheduler.capacity.info(machine).assigned.snapshot()
}

// heartbeat applies a heartbeat of a machine, runs a scheduling pass and returns
// the commands of the reply. Tasks whose status is not given are reported as running.
func (h *testHarness) heartbeat(machine *worker.Machine, statuses ...wire.TaskStatus) []wire.Command {
	h.t.Helper()
	heartbeat := h.newHeartbeat(machine)
	for _, task := range h.assigned(machine) {
		reported := wire.TaskStatus{Name: task.Name(), State: wire.TaskRunning}
		for _, status := range statuses {
			if status.Name == reported.Name {
				reported = status
			}
		}
		reported.Attempt = task.attempt
		if reported.State != "" && task.commandSent {
			heartbeat.Tasks = append(heartbeat.Tasks, reported)
		}
	}
	h.applyHeartbeat(machine, heartbeat, worker.FromHeartbeat)
	h.scheduler.Schedule(h.now)
	return h.scheduler.Commands(h.now, machine, HeartbeatReply)
}

// newHeartbeat returns the next heartbeat of a machine, without tasks.
func (h *testHarness) newHeartbeat(machine *worker.Machine) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{
		Host: machine.Host, Type: testMachineType, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: 1, Sequence: machine.Sequence + 1,
	}
	if !machine.PreemptionTime.IsZero() {
		left := machine.PreemptionTime.Sub(h.now).Seconds()
		heartbeat.PreemptionNoticeS = &left
	}
	return heartbeat
}

// applyHeartbeat applies a machine's status to the registry and the scheduler.
func (h *testHarness) applyHeartbeat(
	machine *worker.Machine, heartbeat *wire.Heartbeat, source worker.StatusSource,
) {
	result := h.registry.ApplyHeartbeat(h.now, machine, heartbeat, source)
	h.scheduler.ReconcileHeartbeat(h.now, machine, result, source)
	h.checkCounts()
}

// heartbeatAll applies the given number of heartbeats of each machine, in rounds.
func (h *testHarness) heartbeatAll(rounds int) {
	h.t.Helper()
	for range rounds {
		for _, machine := range h.registry.All() {
			h.heartbeat(machine)
		}
	}
}

// deliverDirectCommands runs a scheduling pass, delivers the direct commands that
// are due, applies a heartbeat of each machine that got some, and describes them.
func (h *testHarness) deliverDirectCommands() string {
	h.t.Helper()
	h.now = h.now.Add(tuning.PassInterval)
	h.scheduler.Schedule(h.now)
	sent := ""
	for _, machine := range h.scheduler.UrgentMachines() {
		commands := h.scheduler.Commands(h.now, machine, DirectCommand)
		sent += describe(commands)
		h.scheduler.ResolveDirectCommands(machine, commands)
		h.heartbeat(machine)
	}
	return sent
}

// expireLease expires a machine's lease and releases its tasks.
func (h *testHarness) expireLease(machine *worker.Machine) {
	h.registry.SetState(h.now, machine, worker.LeaseExpired, "test")
	h.scheduler.ReleaseMachine(h.now, machine, "test")
}

// exited returns the status of a task that has exited.
func exited(name, reason string) wire.TaskStatus {
	return wire.TaskStatus{Name: name, State: wire.TaskExited, ExitReason: reason}
}

// exitedAll returns the statuses of tasks that have exited for the same reason.
func exitedAll(tasks []*Task, reason string) []wire.TaskStatus {
	var statuses []wire.TaskStatus
	for _, task := range tasks {
		statuses = append(statuses, exited(task.Name(), reason))
	}
	return statuses
}

// describe formats commands as in "run job-1/0;".
func describe(commands []wire.Command) string {
	text := ""
	for _, command := range commands {
		text += command.Verb + " " + command.Task + ";"
	}
	return text
}
