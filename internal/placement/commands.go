package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// yieldSpares stops running spares on a machine until what lacks is covered.
func (b *Board) yieldSpares(now time.Time, m *worker.Machine, lacks quota.Room) {
	for _, t := range slices.Clone(b.host(m).on) {
		if lacks.CPUs <= 0 && lacks.GPUs <= 0 && lacks.MemGB <= 0 {
			return
		}
		if t.spare {
			if t.phase != Stopping {
				t.stops++
				b.Count.SparesYielded++
				if t.stops >= b.Set.DropThreshold {
					b.Count.SparesDropped++
				}
				b.stop(now, t, t.Job.grace(), "spare gives way")
			}
			lacks = lacks.Sub(t.Job.need)
		}
	}
}

// heads hands out what is at the head of a machine's queues: mains first, and
// spares only while no main waits.
func (b *Board) heads(now time.Time, m *worker.Machine) {
	q := b.host(m)
	if len(q.high)+len(q.low) == 0 || !m.Usable(now) {
		return
	}
	room := m.Free()
	for _, t := range slices.Clone(q.high) {
		j := t.Job
		if t.main != m {
			continue
		}
		if j.Gang() {
			room = room.Sub(j.need) // startGang hands these out
			continue
		}
		switch {
		case t.phase != Idle:
			// its own spare runs: that has to stop and be reported first
			if t.phase == Sent || t.phase == Live {
				t.stops++
				b.Count.SparesYielded++
				b.stop(now, t, j.grace(), "its main is at the head")
			}
		case !b.book.Admits(j.Spec.Team, j.need, false) || !j.zoneOK(m.Zone, j.zones(false)):
		case room.Fits(j.need):
			b.Count.MainsStarted++
			b.unqueue(t)
			b.hand(now, t, m, b.nextAttempt(j), false, "main at the head")
		default:
			b.yieldSpares(now, m, j.need.Sub(room))
		}
		room = room.Sub(j.need)
	}
	if len(q.high) > 0 {
		return
	}
	stuck := config.Seconds(b.facts.Workers.HeartbeatS * tuning.SpareReports)
	for _, t := range slices.Clone(q.low) {
		j := t.Job
		if t.low != m || t.phase != Idle || t.main == nil || now.Sub(t.mainSince) < stuck || !room.Fits(j.need) ||
			// a main that can start at its next report would stop it at once
			t.main.Usable(now) && t.main.Free().Fits(j.need) ||
			!b.book.Admits(j.Spec.Team, j.need, true) || !j.zoneOK(m.Zone, j.zones(false)) {
			continue
		}
		b.Count.SparesStarted++
		b.hand(now, t, m, b.nextAttempt(j), true, "spare while no main waits")
		room = room.Sub(j.need)
	}
}

// Channel is the way by which commands reach a machine.
type Channel int

// The ways to a machine.
const (
	InAnswer Channel = iota // in the answer to its report
	Direct                  // as a direct command
)

// Commands lists what a machine is to be told now.
func (b *Board) Commands(now time.Time, m *worker.Machine, by Channel) []wire.Command {
	b.heads(now, m)
	var out []wire.Command
	for i := range m.Tasks {
		if len(out) == tuning.CommandsMost {
			return out
		}
		out = append(out, b.reportedCommands(m, &m.Tasks[i])...)
	}
	for _, t := range b.host(m).on {
		if len(out) == tuning.CommandsMost {
			return out
		}
		out = append(out, b.handedOutCommands(m, t, by)...)
	}
	return out
}

// reportedCommands are the commands, at most one, for a task that its machine reports: one
// that is not expected there stops, one that has ended is taken off its reports.
func (b *Board) reportedCommands(m *worker.Machine, p *wire.TaskStatus) []wire.Command {
	id, n, ok := wire.ParseTask(p.Name)
	if b.unreadable[id] {
		return nil
	}
	var j *Job
	if ok {
		if j = b.jobs[id]; j != nil && n >= j.Spec.Tasks {
			j = nil
		}
	}
	if p.State == wire.TaskExited {
		if b.reapable(m, j, n, p) {
			return []wire.Command{{Verb: wire.VerbReap, Task: p.Name, Attempt: p.Attempt}}
		}
		return nil
	}
	var t *Task
	if j != nil {
		t = j.tasks[n]
	}
	switch {
	case t == nil || t.at != m || t.attempt != p.Attempt:
		return []wire.Command{stopCommand(p.Name, p.Attempt, 0)}
	case t.phase == Stopping && (p.State != wire.TaskSaving || t.grace == 0):
		t.stopDue = false
		return []wire.Command{stopCommand(p.Name, p.Attempt, t.grace)}
	}
	return nil
}

// reapable tells whether an exited task may be taken off its machine's reports: a
// completion stays there until it is kept elsewhere.
func (b *Board) reapable(m *worker.Machine, j *Job, n int, p *wire.TaskStatus) bool {
	kept := j == nil || j.closed || p.ExitReason != wire.ExitDone || j.Service() || j.durable.has(n)
	return kept && !b.host(m).direct[attemptKey{p.Name, p.Attempt}]
}

// handedOutCommands are the commands, at most one, for a task that was handed out to a
// machine and that it has not reported yet.
func (b *Board) handedOutCommands(m *worker.Machine, t *Task, by Channel) []wire.Command {
	h := b.host(m)
	switch {
	case t.phase == Sent && by == Direct && len(h.direct) >= tuning.DirectMost:
		// goes out with the answer to the next report
	case t.phase == Sent:
		t.ordered, t.session = true, m.Session
		if by == Direct {
			if h.direct == nil {
				h.direct = map[attemptKey]bool{}
			}
			h.direct[attemptKey{t.Name(), t.attempt}] = true
			t.openDo++
		} else {
			t.seq = m.Seq
		}
		return []wire.Command{{Verb: wire.VerbRun, Task: t.Name(), Attempt: t.attempt}}
	case t.phase == Stopping && !t.reported && t.ordered:
		// perhaps on its way: the stop follows it
		t.stopDue = false
		return []wire.Command{stopCommand(t.Name(), t.attempt, t.grace)}
	}
	return nil
}

func stopCommand(task string, attempt uint64, grace float64) wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: task, Attempt: attempt, GracePeriodS: &grace}
}

// Halts are the stops for those of a machine's tasks whose jobs are over. They may be
// given at any time, by whoever knows of the end.
func (b *Board) Halts(tasks []wire.TaskStatus) []wire.Command {
	var out []wire.Command
	for _, p := range tasks {
		id, _, ok := wire.ParseTask(p.Name)
		if !ok || p.State == wire.TaskExited || b.unreadable[id] || len(out) == tuning.CommandsMost {
			continue
		}
		if j := b.jobs[id]; j == nil || j.closed {
			out = append(out, stopCommand(p.Name, p.Attempt, 0))
		}
	}
	return out
}

// Overdue tells whether a closed job's start may still reach a machine when none of
// its tasks may be left any more, if the machine's lease lasts until then. Direct
// commands that were not answered may be carried out minutes later.
func (b *Board) Overdue(m *worker.Machine, until time.Time) bool {
	return slices.ContainsFunc(b.host(m).on, func(t *Task) bool {
		return t.Job.closed && t.openDo > 0 && !t.reported && until.After(t.Job.goneBy)
	})
}

// Answered settles a direct command: executed or surely not.
func (b *Board) Answered(m *worker.Machine, commands []wire.Command) {
	for _, t := range b.host(m).on {
		for _, o := range commands {
			if o.Verb == wire.VerbRun && o.Attempt == t.attempt && o.Task == t.Name() && t.openDo > 0 {
				t.openDo--
			}
		}
	}
}

// InDoubt tells whether all that may be on a machine are tasks to be stopped
// that it has never reported.
func (b *Board) InDoubt(m *worker.Machine) bool {
	for _, t := range b.host(m).on {
		if t.phase != Stopping || t.reported {
			return false
		}
	}
	return true
}

// Urgent lists the machines that should be told at once rather than with the
// answer to their next report.
func (b *Board) Urgent(now time.Time) []*worker.Machine {
	var out []*worker.Machine
	b.urgent = slices.DeleteFunc(b.urgent, func(h *host) bool {
		pending, ready := false, false
		for _, t := range h.on {
			switch {
			case t.phase == Sent && !t.ordered && (t.Job.Gang() || t.Job.Service()) && len(h.direct) < tuning.DirectMost:
				pending, ready = true, true
			case t.phase == Stopping && t.stopDue && !t.Job.closed:
				pending, ready = true, ready || t.ordered
			}
		}
		if h.urgent = pending; ready && h.m.State == worker.Up && !h.m.DoBusy && h.m.Used {
			out = append(out, h.m)
		}
		return !pending
	})
	return out
}
