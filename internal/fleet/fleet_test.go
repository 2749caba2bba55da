package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

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

// zone is a fleet whose calls are caught.
type zone struct {
	t     *testing.T
	now   time.Time
	s     *Slice
	reg   *worker.Registry
	board *placement.Scheduler
	cloud []Call
	reply []func(time.Time, Result)
	kv    []store.Call
	kvs   []func(time.Time, store.Result)
	gone  []string

	tenure wire.Compare
	duties *intentlog.Log
}

func newZone(t *testing.T) *zone {
	const token, valueKB = 7, 4
	y := &zone{t: t, now: time.Unix(1000, 0)}
	facts := config.Platform{Zones: []string{"a"}, Teams: []config.Team{{Name: "red"}}, Cloud: config.CloudLimits{RPS: 100, ListLagS: 3},
		Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 10}}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	y.reg = worker.NewRegistry(facts.Workers, quiet)
	y.board = placement.NewScheduler(facts, 7, quota.NewLedger(facts.Teams, 0, 1), y.reg, rand.New(rand.NewPCG(1, 1)), quiet, func(time.Time, *placement.Job) {})
	y.board.MarkReconciled(y.now)
	state := func(c store.Call, then func(time.Time, store.Result)) {
		y.kv, y.kvs = append(y.kv, c), append(y.kvs, then)
	}
	y.tenure = store.VersionEquals("c/b/0", 3)
	y.duties = intentlog.NewLog(intentlog.Options{Token: token, TermCompare: y.tenure, ValueKB: valueKB, StateCall: state, WallClock: func() time.Time { return y.now }, Log: quiet, OnTermLost: func(time.Time) {}})
	y.s = New(y.now, Options{Token: token, Tenure: y.tenure, Facts: facts,
		Cloud: func(c Call, then func(time.Time, Result)) {
			y.cloud, y.reply = append(y.cloud, c), append(y.reply, then)
		},
		State: state, Log: quiet, Machines: y.reg, Board: y.board, Duties: y.duties,
		Lost: func(time.Time) {}, Gone: func(_ time.Time, m *worker.Machine) { y.gone = append(y.gone, m.Host) },
		Foreign: func(string, time.Time) bool { return false }})
	y.s.MachineType(wire.MachineType{Name: "g2", Vcpus: 12, Gpus: 2, MemGb: 96, Price: 5, SpotPrice: 2, BootTimeS: 25, Zones: []string{"a"}}, "")
	return y
}

// durable lets the state service take every write.
func (y *zone) durable() {
	for len(y.kvs) > 0 {
		then := y.kvs[0]
		y.kv, y.kvs = y.kv[1:], y.kvs[1:]
		then(y.now, store.Result{Revision: 9})
	}
}

// take answers the oldest call of a kind, and returns it.
func (y *zone) take(op Op, r Result) Call {
	y.t.Helper()
	for i, c := range y.cloud {
		if c.Op == op {
			then := y.reply[i]
			y.cloud, y.reply = append(y.cloud[:i:i], y.cloud[i+1:]...), append(y.reply[:i:i], y.reply[i+1:]...)
			then(y.now, r)
			return c
		}
	}
	y.t.Fatalf("no call of kind %d", op)
	return Call{}
}

func (y *zone) asked(op Op) bool {
	for _, c := range y.cloud {
		if c.Op == op {
			return true
		}
	}
	return false
}

func (y *zone) pass(d time.Duration) {
	y.now = y.now.Add(d)
	y.s.Tick(y.now)
}

// A rental's name is durable before the cloud hears it, stays the same until the
// answer is certain, and is never used for another rental.
func TestRental(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []Result
		again   bool // the same name is asked for once more
		hosts   int
	}{
		{"granted", []Result{{Status: 200, Hosts: []string{"i-1"}}}, false, 1},
		{"no answer, then granted", []Result{{}, {Status: 200, Hosts: []string{"i-1"}}}, false, 1},
		{"outage, then granted", []Result{{Status: 503, Error: "trouble"}, {Status: 200, Hosts: []string{"i-1"}}}, false, 1},
		{"rate limit", []Result{{Status: 429}}, true, 0},
		{"none to be had", []Result{{Status: 503, Error: NoCapacity}}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newZone(t)
			y.board.AddJob(y.now, wire.JobSpec{ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 1,
				Vcpus: 10, Gpus: 2, MemGb: 77, AnyType: true, Spot: true}, y.now, 1, false)
			y.pass(0)
			if y.asked(OpRent) {
				t.Fatal("asked the cloud before the name was durable")
			}
			y.durable()
			name := ""
			for _, a := range c.answers {
				y.pass(2 * time.Second)
				h := y.take(OpRent, a).Rental
				if name != "" && h.Name != name {
					t.Errorf("asked for %s after %s", h.Name, name)
				}
				if name = h.Name; !h.Spot {
					t.Error("asked for an ordinary machine where a cheap one would do")
				}
			}
			y.durable()
			y.pass(2 * time.Second)
			again := false
			for _, call := range y.cloud {
				again = again || call.Op == OpRent && call.Rental.Name == name
			}
			if again != c.again || len(y.reg.All()) != c.hosts {
				t.Errorf("asked again: %t, machines %d", again, len(y.reg.All()))
			}
		})
	}
}

// A morning asks for hundreds of machines at once: in rentals of the cloud's size, and
// never more than the operators' bound, those not yet granted counted.
func TestRentalSizes(t *testing.T) {
	for _, c := range []struct {
		name        string
		most, total int
	}{
		{"no bound", 0, 300},
		{"the operators' bound", 70, 70},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newZone(t)
			y.s.Set.MaxMachines = c.most
			y.board.AddJob(y.now, wire.JobSpec{ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 150,
				Vcpus: 10, Gpus: 2, MemGb: 77, AnyType: true, Spot: true}, y.now, 1, false)
			y.board.AddJob(y.now, wire.JobSpec{ID: "job-2", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 150,
				Vcpus: 10, Gpus: 2, MemGb: 77, AnyType: true}, y.now, 2, false)
			total := 0
			for range 5 {
				y.pass(tuning.DemandEvery)
				y.durable()
			}
			for _, h := range y.s.sorted() {
				total += h.rec.Number
				if h.rec.Number < 1 || h.rec.Number > 50 {
					t.Errorf("a rental of %d", h.rec.Number)
				}
			}
			if total != c.total {
				t.Errorf("%d machines asked for, want %d", total, c.total)
			}
		})
	}
}

// What a successor makes of rental records: a name without an answer is asked for
// again, only machines that were used are waited for.
func TestLoad(t *testing.T) {
	y := newZone(t)
	for name, rec := range map[string]RentalRec{
		"b0-3-1": {Type: "g2", Zone: "a", Number: 2, Hosts: []string{"i-1", "i-2"}},
		"b0-3-2": {Type: "g2", Zone: "a", Number: 1},
	} {
		raw, _ := json.Marshal(rec)
		y.s.Load(y.now, wire.KeyValue{Key: "h/0/" + name, Value: raw, Version: 4})
	}
	y.s.LoadUsed(y.now, []wire.KeyValue{{Key: "u/0/0", Value: json.RawMessage(`{"i-0":"10.1.0.9:9000","i-1":"10.1.0.1:9000"}`), Version: 5}})
	if m := y.reg.Get("i-1"); m.State != worker.Unheard || m.Address != "10.1.0.1:9000" || m.Cap.GPUs != 2 {
		t.Errorf("used machine: %+v", m)
	}
	if m := y.reg.Get("i-2"); m.State != worker.Booting || m.Used {
		t.Errorf("unused machine: %+v", m)
	}
	y.pass(0)
	if h := y.take(OpRent, Result{Status: 200, Hosts: []string{"i-3"}}); h.Rental.Name != "b0-3-2" {
		t.Errorf("asked for %s", h.Rental.Name)
	}
	if y.reg.Get("i-3") == nil {
		t.Error("the answer's machine is not known")
	}
}

// unreached makes a machine one whose reports come, and nothing reaches it.
func unreached(m *worker.Machine, now time.Time) {
	m.Proven, m.Wanted, m.Unproven, m.Checked = false, true, now, now.Add(time.Second)
}

// Which machines go back, and that one with work never does.
func TestReturns(t *testing.T) {
	for _, c := range []struct {
		name  string
		state worker.State
		set   func(m *worker.Machine, now time.Time)
		wait  time.Duration
		goes  bool
	}{
		{"idle", worker.Up, nil, tuning.IdleReturn + time.Second, true},
		{"not idle for long", worker.Up, nil, tuning.IdleReturn / 2, false},
		{"working", worker.Up, func(m *worker.Machine, _ time.Time) { m.Busy = 1 }, time.Hour, false},
		{"working and faulty", worker.Up, func(m *worker.Machine, _ time.Time) { m.Busy, m.Faulty = 1, true }, time.Hour, false},
		{"faulty", worker.Up, func(m *worker.Machine, _ time.Time) { m.Faulty = true }, time.Second, true},
		{"promised", worker.Up, func(m *worker.Machine, _ time.Time) { m.Promised = quota.Resources{CPUs: 1} }, time.Minute, false},
		{"an unanswered command, nothing else", worker.Up, func(m *worker.Machine, _ time.Time) { m.OpenDo = 1 }, time.Second, true},
		{"no answer reaches it", worker.Up, unreached, 2*10*time.Second + time.Second, true},
		{"no answer reached it for a lease", worker.Up, unreached, 12 * time.Second, false},
		{"booting", worker.Booting, nil, 60 * time.Second, false},
		{"stuck boot", worker.Booting, nil, 80 * time.Second, true},
		{"silent", worker.Silent, nil, 9 * time.Second, false},
		{"taken", worker.Silent, func(m *worker.Machine, now time.Time) { m.Recall = now }, 3 * time.Second, true},
		{"silent past its lease", worker.Lapsed, nil, tuning.LapsedReturn + time.Second, true},
		{"never heard after a takeover", worker.Unheard, nil, 11 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newZone(t)
			m := y.reg.Add(y.now, "i-1", c.state)
			m.Type, m.Used, m.Recorded, m.IdleFrom = "g2", true, true, y.now
			if c.set != nil {
				c.set(m, y.now)
			}
			y.now = y.now.Add(c.wait)
			y.s.returns(y.now)
			if got := m.State == worker.Deleting; got != c.goes {
				t.Errorf("returned: %t, want %t", got, c.goes)
			}
		})
	}
}

// Whatever was begun before a takeover waits for the last machine that was not
// heard: one that the cloud had taken held a fleet up for 19 s. A few are given up
// soon; as many as a cut takes away are not.
func TestFewUnheard(t *testing.T) {
	for _, c := range []struct {
		name    string
		fleet   int
		unheard int
		after   time.Duration
		goes    bool
	}{
		{"one of a large fleet", 200, 1, tuning.FenceFew + time.Second, true},
		{"one of a large fleet, at once", 200, 1, tuning.FenceFew / 2, false},
		{"as many as a cut takes away", 200, 20, tuning.FenceFew + time.Second, false},
		{"one of a small fleet", 30, 1, tuning.FenceFew + time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newZone(t)
			for i := range c.fleet {
				m := y.reg.Add(y.now, fmt.Sprintf("i-%03d", i), worker.Up)
				m.Type, m.Used, m.Recorded, m.Busy = "g2", true, true, 1
				if i < c.unheard {
					y.reg.Set(y.now, m, worker.Unheard, "test")
				}
			}
			y.now = y.now.Add(c.after)
			y.s.returns(y.now)
			if got := y.duties.Pending(); got != 0 != c.goes || c.goes && got != c.unheard {
				t.Errorf("%d returned, want any: %t", got, c.goes)
			}
		})
	}
}

// A takeover need not wait for the lease of a machine that the cloud no longer
// lists; one list may be too old to show it.
func TestUnheardAndNotListed(t *testing.T) {
	y := newZone(t)
	raw, _ := json.Marshal(RentalRec{Type: "g2", Zone: "a", Number: 2, Hosts: []string{"i-1", "i-2"}})
	y.s.Load(y.now, wire.KeyValue{Key: "h/0/b0-3-1", Value: raw, Version: 4})
	y.s.LoadUsed(y.now, []wire.KeyValue{{Key: "u/0/0", Value: json.RawMessage(`{"i-1":"10.1.0.1:9000","i-2":"10.1.0.2:9000"}`), Version: 5}})
	y.pass(0)
	for i := range tuning.UnheardLists {
		if m := y.reg.Get("i-2"); m.State != worker.Unheard {
			t.Fatalf("%v after %d lists", m.State, i)
		}
		y.take(OpList, Result{Status: 200, Page: wire.MachinePage{Machines: []wire.Machine{{ID: "i-1", Type: "g2", Zone: "a", State: wire.MachineRunning}}}})
		y.pass(tuning.ListEvery)
	}
	if a, b := y.reg.Get("i-1").State, y.reg.Get("i-2").State; a != worker.Unheard || b != worker.Deleting {
		t.Errorf("listed: %v, not listed: %v", a, b)
	}
}

// A machine that nobody expected is adopted once no rental under way may explain
// it, and not because a list lags behind a deletion.
func TestFound(t *testing.T) {
	y := newZone(t)
	list := Result{Status: 200, Page: wire.MachinePage{Machines: []wire.Machine{{ID: "i-9", Type: "g2", Zone: "a", State: wire.MachineRunning}}}}
	for i := range tuning.UnexpectedLists + 1 {
		y.pass(tuning.ListEvery + time.Second)
		if known := y.reg.Get("i-9") != nil; known != (i >= tuning.UnexpectedLists) {
			t.Fatalf("after %d lists: known %t", i, known)
		}
		y.take(OpList, list)
	}
	m := y.reg.Get("i-9")
	if m == nil || !m.Recorded || len(y.kv) == 0 || y.kv[len(y.kv)-1].Transaction.Writes == nil {
		t.Fatalf("not adopted: %+v", m)
	}
}

// A rental request's record names all its machines: it asks for no more than fit the state
// service's limits, present and to come.
func TestRentalFitsLimits(t *testing.T) {
	for _, c := range []struct {
		name    string
		valueKB float64
		most    int
	}{
		{"as now", 4, tuning.RentalPage},
		{"half of that", 2, tuning.RentalPage},
		{"half a KiB", 0.5, 17},
		{"next to nothing", 0.1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newZone(t)
			y.s.facts.State = config.StateLimits{ValueKB: 4, Next: config.UpcomingLimits{"value_kb": c.valueKB}}
			n := y.s.rentalMost()
			rec := RentalRec{Type: "g2", Zone: "a", Spot: true, Number: n}
			for i := range n {
				rec.Hosts = append(rec.Hosts, fmt.Sprintf("i-%06d", i))
			}
			raw, _ := json.Marshal(rec)
			if n != c.most || n > 1 && float64(len(raw)) > c.valueKB*1024 {
				t.Errorf("%d machines, %d bytes", n, len(raw))
			}
		})
	}
}

// The pages of a large fleet's list keep to the cloud's rate, and lists of many pages come
// less often.
func TestListPages(t *testing.T) {
	const pages, rps = 8, 2
	y := newZone(t)
	y.s.facts.Cloud.RPS = rps
	y.s.limit = rate.NewLimiter(rps*tuning.CloudShare, 1)
	var asked []time.Time
	began := y.now
	for len(asked) < pages+1 {
		y.pass(100 * time.Millisecond)
		if y.now.Sub(began) > time.Minute {
			t.Fatalf("%d pages in a minute", len(asked))
		}
		for y.asked(OpMachineTypes) {
			y.take(OpMachineTypes, Result{Status: 200})
		}
		if !y.asked(OpList) {
			continue
		}
		n := len(asked) % pages
		asked = append(asked, y.now)
		page := wire.MachinePage{Machines: []wire.Machine{{ID: fmt.Sprintf("i-%d", n), State: wire.MachineRunning}}, More: n < pages-1}
		if call := y.take(OpList, Result{Status: 200, Page: page}); n > 0 && call.After != fmt.Sprintf("i-%d", n-1) {
			t.Errorf("page %d begins after %q", n, call.After)
		}
	}
	if took := asked[pages-1].Sub(asked[0]); took < (pages-2)*time.Second/rps {
		t.Errorf("%d pages within %v", pages, took)
	}
	if pause, share := asked[pages].Sub(asked[pages-1]), float64(pages)/(rps*tuning.ListShare); pause.Seconds() < share {
		t.Errorf("the next list began after %v, its share of the rate allows one in %v s", pause, share)
	}
}
