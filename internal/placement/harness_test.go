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

// testHarness is a board with machines that report what they are told to.
type testHarness struct {
	t         *testing.T
	now       time.Time
	scheduler *Scheduler
	registry  *worker.Registry
	completed []string
	lastJob   int
}

func newHarness(t *testing.T, machines int) *testHarness {
	platform := config.Platform{Zones: []string{"a"}, Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 10},
		Teams: []config.Team{{Name: "red", GPUs: 2, GPUsMax: 4}, {Name: "blue", GPUs: 2, GPUsMax: 8}}}
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	h := &testHarness{t: t, now: time.Unix(1000, 0)}
	h.registry = worker.NewRegistry(platform.Workers, discard)
	h.scheduler = NewScheduler(Options{
		Platform:        platform,
		Token:           7,
		Ledger:          quota.NewLedger(platform.Teams, 1),
		Registry:        h.registry,
		Rand:            rand.New(rand.NewPCG(1, 1)),
		Log:             discard,
		OnTaskCompleted: func(_ time.Time, job *Job) { h.completed = append(h.completed, job.Spec.ID) },
	})
	h.scheduler.MarkReconciled(h.now)
	for i := range machines {
		machine := h.registry.Add(h.now, fmt.Sprintf("i-%d", i), worker.Booting)
		machine.Capacity = quota.Resources{CPUs: 12, GPUs: 2, MemGB: 96}
		machine.Registered, machine.Type, machine.Zone = true, "g2", "a"
		h.heartbeat(machine)
	}
	return h
}

// heartbeat lets a machine report its tasks, all running, and what else is given;
// it returns the commands of the answer.
func (h *testHarness) heartbeat(machine *worker.Machine, extra ...wire.TaskStatus) []wire.Command {
	h.t.Helper()
	heartbeat := &wire.Heartbeat{Host: machine.Host, Type: "g2", Zone: machine.Zone, Spot: machine.Spot, Incarnation: 1, Sequence: machine.Sequence + 1}
	if !machine.PreemptionTime.IsZero() {
		left := machine.PreemptionTime.Sub(h.now).Seconds()
		heartbeat.PreemptionNoticeS = &left
	}
	for _, task := range h.scheduler.capacity.info(machine).assigned {
		reported := wire.TaskStatus{Name: task.Name(), Attempt: task.attempt, State: wire.TaskRunning}
		for _, override := range extra {
			if override.Name == reported.Name {
				override.Attempt = task.attempt
				reported = override
			}
		}
		if reported.State != "" && task.commandSent {
			heartbeat.Tasks = append(heartbeat.Tasks, reported)
		}
	}
	verdict := h.registry.ApplyHeartbeat(h.now, machine, heartbeat, true)
	h.scheduler.ReconcileHeartbeat(h.now, machine, verdict, true)
	h.scheduler.Schedule(h.now)
	return h.scheduler.Commands(h.now, machine, HeartbeatReply)
}

func (h *testHarness) addJob(team, shape, priority string, tasks int, gpus float64) *Job {
	h.lastJob++
	h.now = h.now.Add(tuning.FairShareMinInterval)
	return h.scheduler.AddJob(h.now, wire.JobSpec{ID: fmt.Sprintf("job-%d", h.lastJob), Team: team, Class: "l", Shape: shape, Priority: priority, Tasks: tasks,
		Vcpus: 5, Gpus: gpus, MemGb: 30, Image: "img", AnyType: true, EstimatedRunTimeS: 60}, h.now, uint64(h.lastJob), false)
}

func (h *testHarness) describe(commands []wire.Command) string {
	text := ""
	for _, command := range commands {
		text += command.Verb + " " + command.Task + ";"
	}
	return text
}
