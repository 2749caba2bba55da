package fleet

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

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
		why := s.reason(now, m)
		if why == "" {
			continue
		}
		s.reg.Set(now, m, worker.Deleting, why)
		s.deleting[m.Host] = true
	}
}

func (s *Slice) reason(now time.Time, m *worker.Machine) string {
	if s.Unreachable {
		return ""
	}
	age := now.Sub(m.Since)
	lease := config.Seconds(s.facts.Workers.LeaseS)
	switch m.State {
	case worker.Booting:
		boot := config.Seconds(s.machineTypes[m.Type].BootS)
		if boot > 0 && now.Sub(m.Born) > boot*tuning.StuckBoots {
			return "boot is stuck"
		}
		if s.missing[m.Host] >= tuning.MissingLists {
			return "no longer listed"
		}
	case worker.Up:
		if m.Mute(now, tuning.MuteLeases*lease) && m.Busy == 0 {
			return "no answer reaches it"
		}
		if m.OpenDo > 0 && s.board.InDoubt(m) {
			// A direct command that was never answered may still start its
			// task there, minutes from now: only this machine's end settles it.
			return "a command was never answered"
		}
		if m.Busy > 0 || len(m.Tasks) > 0 && m.Stranger {
			return ""
		}
		if m.Faulty {
			return "faulty"
		}
		if m.Closing {
			return "its work went elsewhere"
		}
		if !m.Wanted && m.Promised == (quota.Room{}) && now.Sub(m.IdleFrom) > s.Set.IdleReturn {
			return "idle"
		}
	case worker.Silent:
		if !m.Recall.IsZero() && now.After(m.Recall.Add(tuning.RecallOver)) {
			return "taken by the cloud"
		}
		if s.missing[m.Host] >= tuning.MissingLists {
			return "no longer listed"
		}
	case worker.Unheard:
		if s.missing[m.Host] >= tuning.UnheardLists {
			return "no longer listed, and not heard"
		}
		if now.Sub(s.born) > lease {
			return "never heard in this tenure"
		}
		if s.few && now.Sub(s.born) > tuning.FenceFew {
			return "one of few not heard"
		}
	case worker.Lapsed:
		if age > tuning.LapsedReturn {
			return "silent"
		}
	}
	return ""
}

// Failed takes note that the cloud lists a machine as stopped on its own.
func (s *Slice) failed(now time.Time, m *worker.Machine) {
	if m.State != worker.Deleting {
		s.reg.Set(now, m, worker.Deleting, "listed as failed")
		s.deleting[m.Host] = true
	}
}

func (s *Slice) delete(now time.Time) {
	hosts := slices.Sorted(maps.Keys(s.deleting))
	hosts = hosts[:min(len(hosts), tuning.DeletePage)]
	s.delBusy = true
	s.call(Call{Op: OpDelete, Hosts: hosts}, func(now time.Time, r Result) {
		s.delBusy = false
		if r.Status != 200 {
			s.delRetry = s.pause(now)
			return
		}
		for _, host := range hosts {
			delete(s.deleting, host)
			if m := s.reg.Get(host); m != nil {
				s.gone(now, m)
				s.reg.Set(now, m, worker.Gone, "deletion answered")
			}
			s.strike(now, host)
		}
	})
}

// strike takes a machine that is gone off its rental's record.
func (s *Slice) strike(now time.Time, host string) {
	delete(s.missing, host)
	delete(s.entered, host)
	s.used.Drop(host)
	h := s.by[host]
	if h == nil {
		return
	}
	delete(s.by, host)
	h.rec.Hosts = slices.DeleteFunc(slices.Clone(h.rec.Hosts), func(o string) bool { return o == host })
	if len(h.rec.Hosts) == 0 {
		s.drop(now, h, "all machines gone")
	} else {
		h.file.Set(h.rec)
	}
}
