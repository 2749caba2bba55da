package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"juniperchute/internal/config"
	"juniperchute/internal/intentlog"
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
	Paused      bool          // rent nothing
	IdleReturn  time.Duration // how long a machine may stand idle
}

// Key prefixes: all blocks' rentals, and the machine types among the control
// records.
const (
	UnderRentals      = "h/"
	underMachineTypes = "c/f/"
)

// Rentals is the key prefix of a block's rental records.
func Rentals(block int) string { return fmt.Sprintf("%s%d/", UnderRentals, block) }

// MachineTypeRec is a machine type as recorded for all nodes. Each tells how many there
// are: until a node knows them all, it cannot say that a job fits none.
type MachineTypeRec struct {
	wire.MachineType
	Of int
}

// UsedUnder is the key prefix of the pages that name a block's machines that may
// have been given tasks, with their workers' addresses. A machine is entered
// before its first task, so a successor need not wait for one that is not named.
func UsedUnder(block int) string { return fmt.Sprintf("u/%d/", block) }

// MachineTypeName tells whether a control key holds a machine type, and which.
func MachineTypeName(key string) (string, bool) { return strings.CutPrefix(key, underMachineTypes) }

// Slice is a block's part in the cloud during one tenure.
type Slice struct {
	Set          Settings
	Unreachable  bool // no worker reaches this node: silence says nothing about a machine
	block        int
	token        uint64
	tenure       wire.Compare
	facts        config.Platform
	cloud        Caller
	state        store.Caller
	log          *slog.Logger
	reg          *worker.Registry
	board        *placement.Scheduler
	duties       *intentlog.Log
	lost         func(now time.Time)
	gone         func(now time.Time, m *worker.Machine)
	foreign      func(host string, there time.Time) bool
	machineTypes map[string]wire.MachineType
	known        map[string]string     // machine types as recorded for all nodes
	files        []*store.DesiredValue // of the machine types
	used         *store.Pages
	entered      map[string]bool // machines that are being, or have been, entered as used
	limit        *rate.Limiter
	back         *backoff.ExponentialBackOff // of calls that fail in a row
	born         time.Time

	rentals   map[string]*rental
	unread    int                // rental records that cannot be read: their machines are not known
	most      int                // machines that one rental may have, as far as its record's size goes
	by        map[string]*rental // machines by their rentals
	seq       int
	noneUntil map[string]time.Time
	delBusy   bool
	delRetry  time.Time

	machineTypesDue time.Time
	demandDue       time.Time
	listed          map[string]bool // hosts seen in some list
	missing         map[string]int  // lists in a row that a once listed host was not in
	listing         listing
	few             bool // so few machines are unheard that what waits for them is worth more
}

// Options are what the slice needs of the tenure that it belongs to.
type Options struct {
	Block    int
	Token    uint64
	Tenure   wire.Compare // the condition of each write
	Facts    config.Platform
	Cloud    Caller
	State    store.Caller
	Log      *slog.Logger
	Machines *worker.Registry
	Board    *placement.Scheduler
	// Duties is the log of what is asked of the cloud.
	Duties *intentlog.Log
	// Lost is told when the tenure is over, Gone when a machine's deletion was answered.
	Lost func(now time.Time)
	Gone func(now time.Time, m *worker.Machine)
	// Foreign tells whether a machine that was there at some time is or may turn out to be
	// another block's.
	Foreign func(host string, there time.Time) bool
}

// New makes the slice of one tenure.
func New(now time.Time, o Options) *Slice {
	rps := o.Facts.Cloud.RPS * tuning.CloudShare
	back := backoff.NewExponentialBackOff()
	back.InitialInterval, back.MaxInterval = tuning.CloudRetry, tuning.CloudRetryMost
	back.RandomizationFactor = 0 // one holder asks: there is no crowd to part, and tests repeat
	back.Reset()
	s := &Slice{
		Set:   Settings{IdleReturn: tuning.IdleReturn},
		block: o.Block, token: o.Token, tenure: o.Tenure, facts: o.Facts, cloud: o.Cloud, state: o.State, log: o.Log, reg: o.Machines, board: o.Board,
		duties: o.Duties, lost: o.Lost, gone: o.Gone, foreign: o.Foreign, machineTypes: map[string]wire.MachineType{}, known: map[string]string{},
		limit: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))), back: back, born: now,
		most:    tuning.RentalPage,
		rentals: map[string]*rental{}, by: map[string]*rental{}, noneUntil: map[string]time.Time{},
		listed: map[string]bool{}, missing: map[string]int{}, entered: map[string]bool{},
	}
	s.used = store.NewPages(store.PagesOptions{
		Prefix:        UsedUnder(o.Block),
		ValueKB:       o.Facts.State.StoredLimits().ValueKB,
		WriteInterval: tuning.UsedEvery,
		Priority:      store.PriorityTerm,
		TermCompare:   o.Tenure,
		StateCall:     o.State,
		Log:           o.Log,
		OnTermLost:    o.Lost,
	})
	return s
}

// sorted lists the rentals by name.
func (s *Slice) sorted() []*rental {
	out := make([]*rental, 0, len(s.rentals))
	for _, name := range slices.Sorted(maps.Keys(s.rentals)) {
		out = append(out, s.rentals[name])
	}
	return out
}

// LoadUsed takes over the pages that name the machines used by earlier tenures, after
// their rentals. One whose rental is gone is gone itself, if all rentals could be read.
func (s *Slice) LoadUsed(now time.Time, items []wire.KeyValue) {
	s.used.Load(items, func(host string, raw json.RawMessage) {
		m := s.reg.Get(host)
		if m == nil && s.unread > 0 {
			m = s.addUnrecorded(now, host)
		}
		if m == nil || !m.Recorded && s.unread == 0 {
			s.used.Delete(host)
			return
		}
		s.entered[host], m.Used = true, true
		if m.State == worker.Booting {
			_ = json.Unmarshal(raw, &m.Address) // without one it is heard when it reports
			s.reg.Set(now, m, worker.Unheard, "used by an earlier tenure")
		}
	})
	if s.used.Unreadable() > 0 {
		s.assumeUsed(now)
	}
	s.takeOverEndings(now)
}

// assumeUsed takes all machines for ones that may have tasks: pages that name those that
// do cannot be read.
func (s *Slice) assumeUsed(now time.Time) {
	for _, m := range s.reg.All() {
		if m.State == worker.Booting {
			s.reg.Set(now, m, worker.Unheard, "may have been used by an earlier tenure")
		}
	}
}

// addUnrecorded makes a machine known that was used and whose rental cannot be read. Its
// type is not known, so it counts as the largest.
func (s *Slice) addUnrecorded(now time.Time, host string) *worker.Machine {
	m := s.addMachine(now, host, worker.Booting, "", "", false)
	for _, f := range s.machineTypes {
		m.Cap = m.Cap.Max(quota.Resources{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb})
	}
	return m
}

// addMachine makes a machine known to the registry.
func (s *Slice) addMachine(now time.Time, host string, st worker.State, build, zone string, spot bool) *worker.Machine {
	m := s.reg.Get(host)
	if m == nil {
		m = s.reg.Add(now, host, st)
		m.IdleFrom = now
	}
	m.Type, m.Zone, m.Spot = build, zone, spot
	s.size(m)
	s.heedEntry(now, m)
	return m
}

func (s *Slice) size(m *worker.Machine) {
	if f, ok := s.machineTypes[m.Type]; ok {
		if room := (quota.Resources{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb}); m.Cap != room {
			m.Cap, m.Fetch = room, f.FetchGbPerS
			s.board.MarkMachineChanged(m)
		}
	}
}

// MachineType takes note of a machine type as recorded for all nodes.
func (s *Slice) MachineType(f wire.MachineType, raw string) {
	s.known[f.Name] = raw
	if _, ok := s.machineTypes[f.Name]; !ok {
		s.machineTypes[f.Name] = f
	}
	for _, m := range s.reg.All() {
		s.size(m)
	}
}

// Reporting takes note that a machine has reported: one that nobody expected
// is adopted, and one not used before is entered as used.
func (s *Slice) Reporting(now time.Time, m *worker.Machine) {
	s.heedEntry(now, m)
	if !m.Recorded && !m.Used {
		s.adopt(now, m)
	}
	s.enter(now, m)
}

// Entering takes note of a machine's first word, which may be an old copy: it
// is entered as used all the same, so that it can be given tasks as soon as it
// is heard. A record may name too many, never too few.
func (s *Slice) Entering(now time.Time, m *worker.Machine, rep *wire.Heartbeat) {
	if m.State == worker.Booting {
		m.Address = rep.Address
		s.enter(now, m)
	}
}

func (s *Slice) enter(now time.Time, m *worker.Machine) {
	// Its rental's record comes first: a successor that found the machine among
	// the used ones and in no rental would take it for gone.
	if h := s.by[m.Host]; m.Used || m.State == worker.Deleting || s.entered[m.Host] || h == nil || !h.kept {
		return
	}
	s.size(m)
	s.entered[m.Host] = true
	s.used.Put(m.Host, m.Address, func(now time.Time) {
		m.Used = true
		s.board.MarkMachineChanged(m)
	})
	s.used.Tick(now)
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
		s.dropRefused(now, h)
		if h.state == rentalAsking && !h.busy && !now.Before(h.retry) && s.may(now) {
			s.ask(now, h)
		}
	}
	s.duties.Tick(now)
	s.returns(now)
	s.delete(now)
	if !now.Before(s.machineTypesDue) && s.may(now) {
		s.askMachineTypes(now)
	}
	s.list(now)
	// Machines that this tenure has not heard yet look like none: hiring then
	// would replace the whole fleet at each takeover.
	if len(s.machineTypes) > 0 && !now.Before(s.demandDue) && (s.board.Reconciled() || now.Sub(s.born) > tuning.FenceDemand) {
		s.demandDue = now.Add(tuning.DemandEvery)
		s.demand(now)
	}
}

func (s *Slice) askMachineTypes(now time.Time) {
	s.machineTypesDue = now.Add(tuning.CloudTimeout + tuning.CloudRetry)
	s.call(Call{Op: OpMachineTypes}, func(now time.Time, r Result) {
		if r.Status != 200 {
			s.machineTypesDue = s.pause(now)
			return
		}
		s.machineTypesDue = now.Add(tuning.MachineTypesEvery)
		for _, f := range r.MachineTypes {
			s.machineTypes[f.Name] = f
			if s.block != 0 {
				continue
			}
			// Prices move all the time; the record is for what nodes need to
			// check submissions.
			f.Price, f.SpotPrice = 0, 0
			all := MachineTypeRec{f, len(r.MachineTypes)}
			raw, _ := json.Marshal(all)
			if old, ok := s.known[f.Name]; ok && old == string(raw) {
				continue
			}
			s.known[f.Name] = string(raw)
			rec := store.NewDesiredValue(store.DesiredValueOptions{
				Key:         underMachineTypes + f.Name,
				Priority:    store.PriorityTerm,
				TermCompare: s.tenure,
				StateCall:   s.state,
				OnDurable:   func(time.Time, int) {},
				OnTermLost:  s.lost,
			})
			rec.Set(all)
			s.files = append(s.files, rec)
			rec.Tick(now)
		}
		for _, m := range s.reg.All() {
			s.size(m)
		}
	})
}
