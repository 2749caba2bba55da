package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// HireRec is a hire's record, durable before the cloud is asked and until the
// last of its machines is gone.
type HireRec struct {
	Build, Yard string
	Loaners     bool
	Number      int
	Hosts       []string `json:",omitempty"`
}

type hireState int

const (
	hireRecording hireState = iota // its name is being made durable
	hireAsking                     // the cloud is being asked, as often as it takes
	hireGranted                    // its machines are known
	hireEmpty                      // nothing left of it; its record goes
)

func (s hireState) String() string {
	return [...]string{"recording", "asking", "granted", "empty"}[s]
}

type hire struct {
	name  string
	rec   HireRec
	state hireState
	file  *store.Record
	busy  bool
	retry time.Time
	kept  bool // its record names its machines durably
}

func (s *Slice) set(h *hire, st hireState, why string) {
	if h.state != st {
		s.log.Debug("hire", "name", h.name, "from", h.state.String(), "to", st.String(), "why", why)
	}
	h.state = st
}

func (s *Slice) file(h *hire, stamp uint64) {
	h.file = store.NewRecord(Hires(s.block)+h.name, stamp, store.ClassTenure, s.tenure, s.state, func(now time.Time, _ int) {
		switch h.state {
		case hireRecording:
			s.set(h, hireAsking, "recorded")
		case hireGranted:
			h.kept = true
			for _, host := range h.rec.Hosts {
				if m := s.reg.Get(host); m != nil && m.SeenStint > 0 {
					s.enter(now, m)
				}
			}
		case hireEmpty:
			if h.file.Settled() {
				delete(s.hires, h.name)
			}
		}
	}, s.lost)
}

// Load takes over a hire record of an earlier tenure.
func (s *Slice) Load(now time.Time, it wire.Item) {
	name := strings.TrimPrefix(it.Path, Hires(s.block))
	var rec HireRec
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		s.log.Error("hire record cannot be read", "key", it.Path, "error", err)
		return
	}
	h := &hire{name: name, rec: rec}
	s.file(h, it.Stamp)
	s.hires[name] = h
	if len(rec.Hosts) == 0 {
		// The earlier holder did not get to write the answer down. Asking
		// again by the same name tells it, or rents the machines now.
		s.set(h, hireAsking, "taken over without an answer")
		return
	}
	s.set(h, hireGranted, "taken over")
	h.kept = true
	for _, host := range rec.Hosts {
		s.by[host] = h
		s.meet(now, host, worker.Booting, rec.Build, rec.Yard, rec.Loaners).Recorded = true
	}
}

// Named tells of a hire record whose block's it is and which machines it names,
// none while it waits for them.
func Named(it wire.Item) (block int, hosts []string) {
	num, _, _ := strings.Cut(strings.TrimPrefix(it.Path, UnderHires), "/")
	var rec HireRec
	block, err := strconv.Atoi(num)
	if err != nil || json.Unmarshal(it.Value, &rec) != nil {
		return 0, nil
	}
	return block, rec.Hosts
}

// unsettled tells whether some hire's machines are not known yet.
func (s *Slice) unsettled() bool {
	for _, h := range s.sorted() {
		if h.state == hireAsking || h.state == hireRecording {
			return true
		}
	}
	return false
}

// ask asks the cloud for a hire's machines. The name stays the same until the
// answer is certain: repeating it rents nothing twice.
func (s *Slice) ask(now time.Time, h *hire) {
	h.busy = true
	s.call(Call{Op: OpHire, Hire: wire.Hire{Hire: h.name, Build: h.rec.Build, Yard: h.rec.Yard, Loaners: h.rec.Loaners, Number: h.rec.Number}},
		func(now time.Time, r Result) {
			h.busy = false
			kind := kindOf(h.rec.Build, h.rec.Yard, h.rec.Loaners)
			switch {
			case r.Status == 200:
				s.granted(now, h, r.Hosts)
				if len(r.Hosts) < h.rec.Number {
					s.noneUntil[kind] = now.Add(tuning.CapacityRetry)
				}
			case r.Status == 503 && r.Error == NoCapacity:
				s.noneUntil[kind] = now.Add(tuning.CapacityRetry)
				s.drop(now, h, "no capacity")
			case r.Status == 400:
				s.log.Error("hire refused as malformed", "name", h.name, "build", h.rec.Build)
				s.noneUntil[kind] = now.Add(tuning.CapacityRetry)
				s.drop(now, h, "malformed")
			default:
				h.retry = s.pause(now)
			}
		})
}

func (s *Slice) drop(now time.Time, h *hire, why string) {
	s.set(h, hireEmpty, why)
	h.file.Set(nil)
	h.file.Tick(now)
}

func (s *Slice) granted(now time.Time, h *hire, hosts []string) {
	s.log.Info("machines hired", "name", h.name, "build", h.rec.Build, "yard", h.rec.Yard, "spot", h.rec.Loaners, "asked", h.rec.Number, "got", len(hosts))
	if len(hosts) == 0 {
		s.drop(now, h, "no machines")
		return
	}
	s.set(h, hireGranted, "answered")
	h.rec.Hosts = hosts
	h.file.Set(h.rec)
	for _, host := range hosts {
		s.by[host] = h
		s.meet(now, host, worker.Booting, h.rec.Build, h.rec.Yard, h.rec.Loaners).Recorded = true
	}
	h.file.Tick(now)
}

func kindOf(build, yard string, loaners bool) string {
	return fmt.Sprintf("%s/%s/%t", build, yard, loaners)
}

// demand compares the waiting work with the machines and hires the rest.
func (s *Slice) demand(now time.Time) {
	var offers []placement.Offer
	// as many as can be asked for by the time of the next look
	left := tuning.HirePage * max(1, int(s.facts.Cloud.RPS*tuning.CloudShare*tuning.HireShare*tuning.DemandEvery.Seconds()))
	room := s.room()
	for _, name := range slices.Sorted(maps.Keys(s.flavors)) {
		f := s.flavors[name]
		for _, yard := range f.Yards {
			for _, loaners := range []bool{true, false} {
				o := placement.Offer{Build: f.Name, Yard: yard, Loaners: loaners, Price: f.Price, BootS: f.BootS, Left: left,
					Cap: quota.Room{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb}}
				if loaners {
					o.Price = f.LowPrice
				}
				if now.Before(s.noneUntil[kindOf(f.Name, yard, loaners)]) || s.Set.Paused || room == 0 {
					o.Left = 0
				}
				offers = append(offers, o)
			}
		}
	}
	// machines asked for and not yet granted count as on their way
	coming := make([]int, len(offers))
	for _, h := range s.sorted() {
		if h.state == hireRecording || h.state == hireAsking {
			for i, o := range offers {
				if o.Build == h.rec.Build && o.Yard == h.rec.Yard && o.Loaners == h.rec.Loaners {
					coming[i] += h.rec.Number
				}
			}
		}
	}
	need := s.board.Demand(now, offers, coming)
	for i, n := range need {
		if n <= 0 {
			continue
		}
		o := offers[i]
		n = min(n, room)
		room -= n
		for ; n > 0; n -= tuning.HirePage {
			s.hire(now, HireRec{Build: o.Build, Yard: o.Yard, Loaners: o.Loaners, Number: min(n, tuning.HirePage)})
		}
	}
}

// room is how many machines may still be hired by the operators' bound, which
// counts those asked for and not yet granted.
func (s *Slice) room() int {
	if s.Set.MaxMachines <= 0 {
		return math.MaxInt
	}
	room := s.Set.MaxMachines
	for _, m := range s.reg.All() {
		if m.State != worker.Deleting {
			room--
		}
	}
	for _, h := range s.hires {
		if h.state == hireRecording || h.state == hireAsking {
			room -= h.rec.Number
		}
	}
	return max(0, room)
}

// hire makes a new hire's name durable; the cloud is asked afterwards.
func (s *Slice) hire(now time.Time, rec HireRec) {
	s.seq++
	h := &hire{name: fmt.Sprintf("b%d-%d-%d", s.block, s.baton, s.seq), rec: rec}
	s.file(h, 0)
	s.hires[h.name] = h
	s.log.Info("hiring", "name", h.name, "build", rec.Build, "yard", rec.Yard, "spot", rec.Loaners, "number", rec.Number)
	h.file.Set(h.rec)
	h.file.Tick(now)
}
