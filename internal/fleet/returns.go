package fleet

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// ending is why a machine is given up, and by which duty; without one it is kept.
type ending struct {
	duty intentlog.Operation
	why  string
}

func keep() ending                { return ending{} }
func returned(why string) ending  { return ending{intentlog.Deprovision, why} }
func reclaimed(why string) ending { return ending{intentlog.Reclaim, why} }

// returns looks for machines to give back.
func (s *Slice) returns(now time.Time) {
	unheard := 0
	for _, m := range s.reg.All() {
		if m.State == worker.Unheard {
			unheard++
		}
	}
	s.few = unheard*tuning.FenceFewPart <= len(s.reg.All())
	for _, m := range s.reg.All() {
		if e := s.ending(now, m); e.duty != "" {
			s.giveUp(now, m, e)
		}
	}
}

// giveUp enters a machine's end. From here on it gets no work; if there is no room in the
// log it stays as it is, and is looked at again.
func (s *Slice) giveUp(now time.Time, m *worker.Machine, e ending) {
	if s.duties.Record(now, e.duty, m.Host, e.why) {
		s.reg.Set(now, m, worker.Deleting, e.why)
	}
}

func (s *Slice) ending(now time.Time, m *worker.Machine) ending {
	if s.Unreachable {
		return keep()
	}
	switch m.State {
	case worker.Booting:
		return s.endingOfBooting(now, m)
	case worker.Up:
		return s.endingOfUp(now, m)
	case worker.Silent:
		if !m.Recall.IsZero() && now.After(m.Recall.Add(tuning.RecallOver)) {
			return reclaimed("taken by the cloud")
		}
		if s.missing[m.Host] >= tuning.MissingLists {
			return reclaimed("no longer listed")
		}
	case worker.Unheard:
		return s.endingOfUnheard(now, m)
	case worker.Lapsed:
		if now.Sub(m.Since) > tuning.LapsedReturn {
			return reclaimed("silent")
		}
	}
	return keep()
}

func (s *Slice) endingOfBooting(now time.Time, m *worker.Machine) ending {
	boot := config.Seconds(s.machineTypes[m.Type].BootTimeS)
	if boot > 0 && now.Sub(m.Born) > boot*tuning.StuckBoots {
		return reclaimed("boot is stuck")
	}
	if s.missing[m.Host] >= tuning.MissingLists {
		return reclaimed("no longer listed")
	}
	return keep()
}

func (s *Slice) endingOfUp(now time.Time, m *worker.Machine) ending {
	lease := config.Seconds(s.facts.Workers.LeaseS)
	if m.Mute(now, tuning.MuteLeases*lease) && m.Busy == 0 {
		return reclaimed("no answer reaches it")
	}
	if m.OpenDo > 0 && s.board.OnlyUnconfirmedStops(m) {
		// A direct command that was never answered may still start its
		// task there, minutes from now: only this machine's end settles it.
		return reclaimed("a command was never answered")
	}
	switch {
	case m.Busy > 0 || len(m.Tasks) > 0 && m.Stranger:
		return keep()
	case m.Faulty:
		return returned("faulty")
	case m.Closing:
		return returned("its work went elsewhere")
	case !m.Wanted && m.Promised == (quota.Resources{}) && now.Sub(m.IdleFrom) > s.Set.IdleReturn:
		return returned("idle")
	}
	return keep()
}

func (s *Slice) endingOfUnheard(now time.Time, m *worker.Machine) ending {
	lease := config.Seconds(s.facts.Workers.LeaseS)
	switch {
	case s.missing[m.Host] >= tuning.UnheardLists:
		return reclaimed("no longer listed, and not heard")
	case now.Sub(s.born) > lease:
		return reclaimed("never heard in this tenure")
	case s.few && now.Sub(s.born) > tuning.FenceFew:
		return reclaimed("one of few not heard")
	}
	return keep()
}

// failed takes note that the cloud lists a machine as stopped on its own.
func (s *Slice) failed(now time.Time, m *worker.Machine) {
	if m.State != worker.Deleting {
		s.giveUp(now, m, reclaimed("listed as failed"))
	}
}

// takeOverEndings goes on with the machines that earlier tenures entered as given up:
// they get no work, and are deleted, again if need be.
func (s *Slice) takeOverEndings(now time.Time) {
	for _, a := range s.duties.Recovered(intentlog.Deprovision, intentlog.Reclaim) {
		if m := s.reg.Get(a.Target); m != nil {
			s.heedEntry(now, m)
		}
	}
}

// heedEntry gives up a machine that an earlier tenure entered, as soon as it is known.
func (s *Slice) heedEntry(now time.Time, m *worker.Machine) {
	if m.State == worker.Deleting {
		return
	}
	for _, d := range []intentlog.Operation{intentlog.Deprovision, intentlog.Reclaim} {
		if a := s.duties.Get(d, m.Host); a != nil && a.Recovered && a.State() != intentlog.Completed {
			s.reg.Set(now, m, worker.Deleting, "entered by an earlier tenure")
		}
	}
}

// next lists the machines that may be deleted now, as many as one call takes.
func (s *Slice) next(now time.Time) []*intentlog.Intent {
	var out []*intentlog.Intent
	for _, a := range s.duties.Ready(intentlog.Deprovision, intentlog.Reclaim) {
		if a.Recovered && !s.confirmed(now, a) {
			continue
		}
		if out = append(out, a); len(out) == tuning.DeletePage {
			break
		}
	}
	return out
}

// confirmed tells whether an inherited entry stands. A tenure of an earlier version may
// have held the block since: it reads no log, and may have given the machine work. If no
// other token lies between it cannot; otherwise the machine is heard first, or its lease
// is surely over. The entry of one that has work of a later tenure than its own is void.
func (s *Slice) confirmed(now time.Time, a *intentlog.Intent) bool {
	m := s.reg.Get(a.Target)
	if m == nil && !s.unsettled() && s.unread == 0 {
		// no rental names it: it is gone, and that is written down
		s.duties.Complete(now, a, "gone already")
		s.duties.Forget(a)
		return false
	}
	if a.Token+1 == s.token {
		return true
	}
	if m == nil {
		return false // a rental that is not answered yet may name it
	}
	if m.Heard.IsZero() {
		return m.LeaseOver || !m.Used
	}
	if slices.ContainsFunc(m.Tasks, func(t wire.TaskStatus) bool { return t.Attempt>>tuning.AttemptBits > a.Token }) {
		s.duties.Complete(now, a, "a later tenure gave the machine work")
		s.duties.Forget(a)
		s.reg.Set(now, m, worker.Up, "a later tenure gave it work")
		s.board.MarkMachineChanged(m)
		return false
	}
	return true
}

func (s *Slice) delete(now time.Time) {
	if s.delBusy || now.Before(s.delRetry) {
		return
	}
	actions := s.next(now)
	if len(actions) == 0 || !s.may(now) {
		return
	}
	hosts := make([]string, len(actions))
	for i, a := range actions {
		s.duties.StartCall(now, a)
		hosts[i] = a.Target
	}
	s.delBusy = true
	s.call(Call{Op: OpDelete, Hosts: hosts}, func(now time.Time, r Result) {
		s.delBusy = false
		for _, a := range actions {
			s.duties.FinishCall(now, a, r.outcome())
		}
		if r.Status != 200 {
			s.delRetry = s.pause(now)
			return
		}
		for _, host := range hosts {
			if m := s.reg.Get(host); m != nil {
				s.gone(now, m)
				s.reg.Set(now, m, worker.Gone, "deletion answered")
			} else {
				s.reg.RememberGone(host)
			}
			s.strike(now, host)
		}
	})
}

// strike takes a machine that is gone off its rental's record.
func (s *Slice) strike(now time.Time, host string) {
	delete(s.missing, host)
	delete(s.entered, host)
	s.used.Delete(host)
	h := s.by[host]
	if h == nil {
		s.forget(host)
		return
	}
	delete(s.by, host)
	h.rec.Hosts = slices.DeleteFunc(slices.Clone(h.rec.Hosts), func(o string) bool { return o == host })
	if len(h.rec.Hosts) == 0 {
		h.gone = append(h.gone, goneMachine{host, h.file.WantedVersion() + 1})
		s.drop(now, h, "all machines gone")
		return
	}
	h.gone = append(h.gone, goneMachine{host, h.file.Set(h.rec)})
}
