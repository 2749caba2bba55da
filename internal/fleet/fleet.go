package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"juniperchute/internal/config"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Settings are the operators' settings that the fleet heeds.
type Settings struct {
	MaxMachines int           // 0: no bound of ours
	Paused      bool          // hire nothing
	IdleReturn  time.Duration // how long a machine may stand idle
}

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

// Key prefixes: all blocks' hires, and the machine types among the control
// records.
const (
	UnderHires   = "h/"
	underFlavors = "c/f/"
)

// Hires is the key prefix of a block's hire records.
func Hires(block int) string { return fmt.Sprintf("%s%d/", UnderHires, block) }

// FlavorRec is a machine type as recorded for all nodes. Each tells how many there
// are: until a node knows them all, it cannot say that a job fits none.
type FlavorRec struct {
	wire.Flavor
	Of int
}

// UsedUnder is the key prefix of the pages that name a block's machines that may
// have been given tasks, with their workers' addresses. A machine is entered
// before its first task, so a successor need not wait for one that is not named.
func UsedUnder(block int) string { return fmt.Sprintf("u/%d/", block) }

// FlavorName tells whether a control key holds a machine type, and which.
func FlavorName(key string) (string, bool) { return strings.CutPrefix(key, underFlavors) }

// Slice is a block's part in the cloud during one tenure.
type Slice struct {
	Set     Settings
	Deaf    bool // no worker is heard: silence says nothing about a machine
	block   int
	baton   uint64
	tenure  wire.Cond
	facts   config.Facts
	cloud   Caller
	state   store.Caller
	log     *slog.Logger
	reg     *worker.Registry
	board   *placement.Board
	lost    func(now time.Time)
	gone    func(now time.Time, m *worker.Machine)
	foreign func(host string) bool
	flavors map[string]wire.Flavor
	known   map[string]string // machine types as recorded for all nodes
	files   []*store.Record   // of the machine types
	used    *store.Pages
	entered map[string]bool // machines that are being, or have been, entered as used
	limit   *rate.Limiter
	back    *backoff.ExponentialBackOff // of calls that fail in a row
	born    time.Time

	hires     map[string]*hire
	by        map[string]*hire // machines by their hires
	seq       int
	noneUntil map[string]time.Time
	deleting  map[string]bool
	delBusy   bool
	delRetry  time.Time

	flavorsDue time.Time
	listDue    time.Time
	listBusy   bool
	demandDue  time.Time
	listed     map[string]bool // hosts seen in some list
	missing    map[string]int  // lists in a row that a once listed host was not in
	page       []wire.Host
	few        bool // so few machines are unheard that what waits for them is worth more
}

// New makes the slice of one tenure. lost is told when the tenure is over, gone
// when a machine's deletion was answered; foreign tells whether a machine is or
// may turn out to be another block's.
func New(now time.Time, block int, baton uint64, tenure wire.Cond, facts config.Facts, cloud Caller, state store.Caller, log *slog.Logger,
	reg *worker.Registry, board *placement.Board, lost func(time.Time), gone func(time.Time, *worker.Machine), foreign func(host string) bool) *Slice {
	rps := facts.Cloud.RPS * tuning.CloudShare
	back := backoff.NewExponentialBackOff()
	back.InitialInterval, back.MaxInterval = tuning.CloudRetry, tuning.CloudRetryMost
	back.RandomizationFactor = 0 // one holder asks: there is no crowd to part, and tests repeat
	back.Reset()
	s := &Slice{
		Set:   Settings{IdleReturn: tuning.IdleReturn},
		block: block, baton: baton, tenure: tenure, facts: facts, cloud: cloud, state: state, log: log, reg: reg, board: board,
		lost: lost, gone: gone, foreign: foreign, flavors: map[string]wire.Flavor{}, known: map[string]string{},
		limit: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))), back: back, born: now,
		hires: map[string]*hire{}, by: map[string]*hire{}, noneUntil: map[string]time.Time{}, deleting: map[string]bool{},
		listed: map[string]bool{}, missing: map[string]int{}, entered: map[string]bool{},
	}
	s.used = store.NewPages(UsedUnder(block), facts.State.ValueKB, tuning.UsedEvery, store.ClassTenure, tenure, state, log, lost)
	return s
}

// sorted lists the hires by name.
func (s *Slice) sorted() []*hire {
	out := make([]*hire, 0, len(s.hires))
	for _, name := range slices.Sorted(maps.Keys(s.hires)) {
		out = append(out, s.hires[name])
	}
	return out
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

// LoadUsed takes over the pages that name the machines used by earlier tenures,
// after their hires. One whose hire is gone is gone itself.
func (s *Slice) LoadUsed(now time.Time, items []wire.Item) {
	s.used.Load(items, func(host string, raw json.RawMessage) {
		m := s.reg.Get(host)
		if m == nil || !m.Recorded {
			s.used.Drop(host)
			return
		}
		s.entered[host], m.Used = true, true
		if m.State == worker.Booting {
			_ = json.Unmarshal(raw, &m.Address) // without one it is heard when it reports
			s.reg.Set(now, m, worker.Unheard, "used by an earlier tenure")
		}
	})
}

// meet makes a machine known to the registry.
func (s *Slice) meet(now time.Time, host string, st worker.State, build, yard string, loaners bool) *worker.Machine {
	m := s.reg.Get(host)
	if m == nil {
		m = s.reg.Add(now, host, st)
		m.IdleFrom = now
	}
	m.Build, m.Yard, m.Loaners = build, yard, loaners
	s.size(m)
	return m
}

func (s *Slice) size(m *worker.Machine) {
	if f, ok := s.flavors[m.Build]; ok {
		if room := (quota.Room{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb}); m.Cap != room {
			m.Cap, m.Fetch = room, f.FetchGbPerS
			s.board.Touch(m)
		}
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

// Flavor takes note of a machine type as recorded for all nodes.
func (s *Slice) Flavor(f wire.Flavor, raw string) {
	s.known[f.Name] = raw
	if _, ok := s.flavors[f.Name]; !ok {
		s.flavors[f.Name] = f
	}
	for _, m := range s.reg.All() {
		s.size(m)
	}
}

// Reporting takes note that a machine has reported: one that nobody expected
// is adopted, and one not used before is entered as used.
func (s *Slice) Reporting(now time.Time, m *worker.Machine) {
	if !m.Recorded && !m.Used {
		s.adopt(now, m)
	}
	s.enter(now, m)
}

// Entering takes note of a machine's first word, which may be an old copy: it
// is entered as used all the same, so that it can be given tasks as soon as it
// is heard. A record may name too many, never too few.
func (s *Slice) Entering(now time.Time, m *worker.Machine, rep *wire.Report) {
	if m.State == worker.Booting {
		m.Address = rep.Address
		s.enter(now, m)
	}
}

func (s *Slice) enter(now time.Time, m *worker.Machine) {
	// Its hire's record comes first: a successor that found the machine among
	// the used ones and in no hire would take it for gone.
	if h := s.by[m.Host]; m.Used || m.State == worker.Deleting || s.entered[m.Host] || h == nil || !h.kept {
		return
	}
	s.size(m)
	s.entered[m.Host] = true
	s.used.Put(m.Host, m.Address, func(now time.Time) {
		m.Used = true
		s.board.Touch(m)
	})
	s.used.Tick(now)
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

// adopt records a machine that no hire explains: a late hire of some tenure.
func (s *Slice) adopt(now time.Time, m *worker.Machine) {
	if s.unsettled() || s.foreign(m.Host) {
		return // one of the hires under way may explain it
	}
	if s.by[m.Host] != nil {
		m.Recorded = true
		return
	}
	s.log.Info("adopting a machine nobody expected", "host", m.Host)
	h := &hire{name: "found-" + m.Host, rec: HireRec{
		Build: m.Build, Yard: m.Yard, Loaners: m.Loaners, Number: 1, Hosts: []string{m.Host}}}
	s.file(h, 0)
	s.set(h, hireGranted, "found")
	s.hires[h.name], s.by[m.Host] = h, h
	h.file.Set(h.rec)
	m.Recorded = true
}

// call passes a call on and keeps count of failures in a row.
func (s *Slice) call(c Call, then func(now time.Time, r Result)) {
	s.cloud(c, func(now time.Time, r Result) {
		if r.Status == 200 || r.Error == NoCapacity {
			s.back.Reset()
		}
		then(now, r)
	})
}

// pause is when a failed call may be made again.
func (s *Slice) pause(now time.Time) time.Time { return now.Add(s.back.NextBackOff()) }

func (s *Slice) may(now time.Time) bool { return s.limit.AllowN(now, 1) }

// Tick starts what is due.
func (s *Slice) Tick(now time.Time) {
	for _, f := range s.files {
		f.Tick(now)
	}
	s.used.Tick(now)
	for _, h := range s.sorted() {
		h.file.Tick(now)
		if h.state == hireAsking && !h.busy && !now.Before(h.retry) && s.may(now) {
			s.ask(now, h)
		}
	}
	s.returns(now)
	if len(s.deleting) > 0 && !s.delBusy && !now.Before(s.delRetry) && s.may(now) {
		s.delete(now)
	}
	if !now.Before(s.flavorsDue) && s.may(now) {
		s.askFlavors(now)
	}
	if !s.listBusy && !now.Before(s.listDue) && s.may(now) {
		s.page = nil
		s.list(now, "")
	}
	// Machines that this tenure has not heard yet look like none: hiring then
	// would replace the whole fleet at each takeover.
	if len(s.flavors) > 0 && !now.Before(s.demandDue) && (s.board.IsOpen() || now.Sub(s.born) > tuning.FenceDemand) {
		s.demandDue = now.Add(tuning.DemandEvery)
		s.demand(now)
	}
}

func (s *Slice) askFlavors(now time.Time) {
	s.flavorsDue = now.Add(tuning.CloudTimeout + tuning.CloudRetry)
	s.call(Call{Op: OpFlavors}, func(now time.Time, r Result) {
		if r.Status != 200 {
			s.flavorsDue = s.pause(now)
			return
		}
		s.flavorsDue = now.Add(tuning.FlavorsEvery)
		for _, f := range r.Flavors {
			s.flavors[f.Name] = f
			if s.block != 0 {
				continue
			}
			// Prices move all the time; the record is for what nodes need to
			// check submissions.
			f.Price, f.LowPrice = 0, 0
			all := FlavorRec{f, len(r.Flavors)}
			raw, _ := json.Marshal(all)
			if old, ok := s.known[f.Name]; ok && old == string(raw) {
				continue
			}
			s.known[f.Name] = string(raw)
			rec := store.NewRecord(underFlavors+f.Name, 0, store.ClassTenure, s.tenure, s.state, func(time.Time, int) {}, s.lost)
			rec.Set(all)
			s.files = append(s.files, rec)
			rec.Tick(now)
		}
		for _, m := range s.reg.All() {
			s.size(m)
		}
	})
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
	if s.Deaf {
		return ""
	}
	age := now.Sub(m.Since)
	lease := config.Seconds(s.facts.Workers.LeaseS)
	switch m.State {
	case worker.Booting:
		boot := config.Seconds(s.flavors[m.Build].BootS)
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
		if m.Busy > 0 || len(m.Pieces) > 0 && m.Stranger {
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
	var hosts []string
	for h := range s.deleting {
		if len(hosts) < tuning.DeletePage {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
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

// strike takes a machine that is gone off its hire's record.
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
			// still there well after the lag was hired by nobody we know
			if s.block != 0 || s.unsettled() || s.foreign(h.ID) || s.strangers(h.ID) {
				continue
			}
			m = s.meet(now, h.ID, worker.Booting, h.Build, h.Yard, h.Loaners)
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
