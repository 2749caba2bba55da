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

// bench is a board with machines that report what they are told to.
type bench struct {
	t    *testing.T
	now  time.Time
	b    *Board
	reg  *worker.Registry
	done []string
	next int
}

func newBench(t *testing.T, machines int) *bench {
	f := config.Platform{Zones: []string{"a"}, Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 10},
		Teams: []config.Team{{Name: "red", GPUs: 2, GPUsMax: 4}, {Name: "blue", GPUs: 2, GPUsMax: 8}}}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	x := &bench{t: t, now: time.Unix(1000, 0)}
	x.reg = worker.NewRegistry(f.Workers, quiet)
	x.b = NewBoard(f, 7, quota.NewBook(f.Teams, 0, 1), x.reg, rand.New(rand.NewPCG(1, 1)), quiet,
		func(_ time.Time, j *Job) { x.done = append(x.done, j.Spec.ID) })
	x.b.Open(x.now)
	for i := range machines {
		m := x.reg.Add(x.now, fmt.Sprintf("i-%d", i), worker.Booting)
		m.Cap = quota.Room{CPUs: 12, GPUs: 2, MemGB: 96}
		m.Used, m.Type, m.Zone = true, "g2", "a"
		x.report(m)
	}
	return x
}

// report lets a machine report its tasks, all running, and what else is given;
// it returns the commands of the answer.
func (x *bench) report(m *worker.Machine, extra ...wire.TaskStatus) []wire.Command {
	x.t.Helper()
	rep := &wire.Heartbeat{Host: m.Host, Type: "g2", Zone: m.Zone, Spot: m.Spot, Incarnation: 1, Sequence: m.Seq + 1}
	if !m.Recall.IsZero() {
		left := m.Recall.Sub(x.now).Seconds()
		rep.PreemptionNoticeS = &left
	}
	for _, t := range x.b.host(m).on {
		p := wire.TaskStatus{Name: t.Name(), Attempt: t.attempt, State: wire.TaskRunning}
		for _, e := range extra {
			if e.Name == p.Name {
				e.Attempt = t.attempt
				p = e
			}
		}
		if p.State != "" && t.ordered {
			rep.Tasks = append(rep.Tasks, p)
		}
	}
	v := x.reg.Absorb(x.now, m, rep, true)
	x.b.Reported(x.now, m, v, true)
	x.b.Draw(x.now)
	return x.b.Commands(x.now, m, InAnswer)
}

func (x *bench) job(team, shape, priority string, tasks int, gpus float64) *Job {
	x.next++
	x.now = x.now.Add(tuning.TurnsSoon)
	return x.b.AddJob(x.now, wire.JobSpec{ID: fmt.Sprintf("job-%d", x.next), Team: team, Class: "l", Shape: shape, Priority: priority, Tasks: tasks,
		Vcpus: 5, Gpus: gpus, MemGb: 30, Image: "img", AnyType: true, EstimatedRunTimeS: 60}, x.now, uint64(x.next), false)
}

func (x *bench) verbs(commands []wire.Command) string {
	s := ""
	for _, o := range commands {
		s += o.Verb + " " + o.Task + ";"
	}
	return s
}
