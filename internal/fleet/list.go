package fleet

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// adopt records a machine that no rental explains: a late rental of some tenure.
func (s *Slice) adopt(now time.Time, m *worker.Machine) {
	if s.unsettled() || s.foreign(m.Host) {
		return // one of the rentals under way may explain it
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

func (s *Slice) list(now time.Time, after string) {
	s.listBusy = true
	s.call(Call{Op: OpList, After: after}, func(now time.Time, r Result) {
		s.listBusy = false
		if r.Status != 200 {
			s.listDue = s.pause(now)
			return
		}
		s.page = append(s.page, r.Page.Hosts...)
		if n := len(r.Page.Hosts); r.Page.More && n > 0 {
			s.list(now, r.Page.Hosts[n-1].ID)
			return
		}
		s.listDue = now.Add(tuning.ListEvery)
		s.compare(now, s.page)
		s.page = nil
	})
}

// compare holds the cloud's list, which lags, against what is known.
func (s *Slice) compare(now time.Time, hosts []wire.Host) {
	in := map[string]bool{}
	for _, h := range hosts {
		in[h.ID] = true
		s.listed[h.ID] = true
		m := s.reg.Get(h.ID)
		if m == nil {
			// deleted machines stay listed for a while: only one that is
			// still there well after the lag was rented by nobody we know
			if s.block != 0 || s.unsettled() || s.foreign(h.ID) || s.strangers(h.ID) {
				continue
			}
			m = s.meet(now, h.ID, worker.Booting, h.Type, h.Zone, h.Spot)
			m.Born = now.Add(-config.Seconds(h.AgeS))
			s.adopt(now, m)
		}
		m.Address = h.Address
		if h.Stage == wire.HostFailed {
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

// strangers tells whether a listed machine that is not known may still be
// one that was just deleted, as lists lag.
func (s *Slice) strangers(host string) bool {
	s.missing["?"+host]++
	return s.missing["?"+host] < tuning.StrangerLists
}
