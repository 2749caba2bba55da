package fleet

import (
	"math"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// adopt records a machine that no rental explains: a late rental of some tenure.
func (s *Slice) adopt(now time.Time, m *worker.Machine) {
	if s.unsettled() || s.foreign(m.Host, m.Born) {
		return // one of the rentals under way may explain it
	}
	if m.Type != "" && s.askAgain(now, kindOf(m.Type, m.Zone, m.Spot), math.MaxInt) != nil {
		return // a refused one may have been granted late
	}
	if s.by[m.Host] != nil {
		m.Recorded = true
		return
	}
	s.log.Info("adopting a machine nobody expected", "host", m.Host)
	s.size(m)
	h := &rental{name: "found-" + m.Host, rec: RentalRec{
		Type: m.Type, Zone: m.Zone, Spot: m.Spot, Number: 1, Hosts: []string{m.Host}}}
	s.file(h, 0)
	s.set(h, rentalGranted, "found")
	s.rentals[h.name], s.by[m.Host] = h, h
	h.file.Set(h.rec)
	m.Recorded = true
}

// listing is the reading of the cloud's list, a page at a time.
type listing struct {
	due   time.Time // when the next page, or a new list, is asked for
	busy  bool      // a page is under way
	after string    // the last machine of the pages read so far; "": a new list begins
	hosts []wire.Machine
	pages int
}

// list asks for the next page when it is due. Each page takes its part of the cloud's
// rate: a large fleet's list has many.
func (s *Slice) list(now time.Time) {
	l := &s.listing
	if l.busy || now.Before(l.due) || !s.may(now) {
		return
	}
	l.busy = true
	s.call(Call{Op: OpList, After: l.after}, func(now time.Time, r Result) {
		l.busy = false
		if r.Status != 200 {
			*l = listing{due: s.pause(now)}
			return
		}
		l.pages++
		l.hosts = append(l.hosts, r.Page.Machines...)
		if n := len(r.Page.Machines); r.Page.More && n > 0 {
			l.after = r.Page.Machines[n-1].ID
			s.list(now)
			return
		}
		hosts := l.hosts
		*l = listing{due: now.Add(s.listPause(l.pages))}
		s.compare(now, hosts)
	})
}

// listPause is the time from one list of so many pages to the next: lists take no more
// than their share of the cloud's rate.
func (s *Slice) listPause(pages int) time.Duration {
	return max(tuning.ListEvery, config.Seconds(float64(pages)/(s.facts.Cloud.RPS*tuning.ListShare)))
}

// compare holds the cloud's list, which lags, against what is known.
func (s *Slice) compare(now time.Time, hosts []wire.Machine) {
	in := map[string]bool{}
	for _, h := range hosts {
		in[h.ID] = true
		s.listed[h.ID] = true
		m := s.reg.Get(h.ID)
		if m == nil {
			// deleted machines stay listed for a while: only one that is
			// still there well after the lag was rented by nobody we know
			if s.block != 0 || s.unsettled() || s.foreign(h.ID, now.Add(-config.Seconds(h.AgeS))) || s.seenTooRarely(h.ID) {
				continue
			}
			m = s.addMachine(now, h.ID, worker.Booting, h.Type, h.Zone, h.Spot)
			m.Born = now.Add(-config.Seconds(h.AgeS))
			s.adopt(now, m)
		}
		m.Address = h.Address
		if h.State == wire.MachineFailed {
			s.failed(now, m)
		}
	}
	for _, m := range s.reg.All() {
		if m.State == worker.Unheard {
			// it was up under an earlier tenure, so it should be listed
			s.listed[m.Host] = true
		}
	}
	for host := range s.listed {
		if in[host] {
			delete(s.missing, host)
			continue
		}
		if s.reg.Get(host) == nil {
			delete(s.listed, host)
			continue
		}
		s.missing[host]++
	}
}

// seenTooRarely tells whether a listed machine that is not known may still be
// one that was just deleted, as lists lag.
func (s *Slice) seenTooRarely(host string) bool {
	s.missing["?"+host]++
	return s.missing["?"+host] < tuning.UnexpectedLists
}
