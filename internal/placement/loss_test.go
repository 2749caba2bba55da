package placement

import (
	"testing"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Who is to blame for failures: a machine that fails several jobs, or a job
// that fails everywhere.
func TestBlame(t *testing.T) {
	for _, c := range []struct {
		name     string
		jobs     int   // that fail
		machines []int // on which, one after the other
		faulty   bool  // the first machine
		waits    bool  // the first job is kept back
	}{
		{"one failure", 1, []int{0}, false, false},
		{"two jobs on one machine", 2, []int{0}, true, false},
		{"one job on three machines", 1, []int{0, 1, 2}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newBench(t, 3)
			var jobs []*Job
			for range c.jobs {
				jobs = append(jobs, x.job("blue", wire.ShapeBatch, "low", 3, 1))
			}
			for _, i := range c.machines {
				for _, j := range jobs {
					x.b.failed(x.now, x.reg.All()[i], &Task{Job: j})
				}
			}
			if x.reg.All()[0].Faulty != c.faulty {
				t.Errorf("faulty: %t", x.reg.All()[0].Faulty)
			}
			if got := jobs[0].notBefore.After(x.now); got != c.waits {
				t.Errorf("kept back: %t", got)
			}
		})
	}
}

// A machine is lost under a gang while work of lower priority waits: the gang goes on
// whole, under a new attempt, as soon as there is room for all of it, and what the
// other work took meanwhile gives way.
func TestLossOfAMachine(t *testing.T) {
	x := newBench(t, 2)
	g := x.job("blue", wire.ShapeGang, "normal", 2, 2)
	x.b.Draw(x.now)
	m0, m1 := x.reg.All()[0], x.reg.All()[1]
	x.report(m0)
	x.report(m1)
	before := g.attempt
	low := x.job("blue", wire.ShapeBatch, "low", 8, 1)
	x.b.Lost(x.now, m0, "lease surely over")
	x.reg.Set(x.now, m0, worker.Lapsed, "test")
	mate := x.b.host(m1).on[0]
	if o := x.verbs(x.report(m1)); o != "stop "+mate.Name()+";" {
		t.Fatalf("its mate is told: %s", o)
	}
	x.report(m1, wire.TaskStatus{Name: mate.Name(), State: wire.TaskExited, ExitReason: wire.ExitGangMemberLost})
	x.report(m1)
	if g.located != 0 || low.located != 2 {
		t.Fatalf("%d of the gang and %d of the rest run on the machine left", g.located, low.located)
	}
	m2 := x.reg.Add(x.now, "i-2", worker.Booting)
	m2.Cap, m2.Used, m2.Type, m2.Zone = m0.Cap, true, "g2", "a"
	x.report(m2)
	if len(g.tasks) != 2 || g.located != 0 || low.located != 2 {
		t.Fatalf("the gang has %d places, %d of it run beside %d", len(g.tasks), g.located, low.located)
	}
	var gone []wire.TaskStatus
	for _, v := range x.b.host(m1).on {
		gone = append(gone, wire.TaskStatus{Name: v.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
	}
	x.report(m1, gone...)
	if g.located != 2 || low.located != 0 || g.attempt <= before || g.tasks[0].attempt != g.tasks[1].attempt {
		t.Errorf("%d of the gang under %d (before: %d), %d of the rest", g.located, g.attempt, before, low.located)
	}
}
