package fleet

import (
	"fmt"
	"testing"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// logged is a fleet whose duties are logged; items are the pages of the log that an
// earlier tenure left.
func logged(t *testing.T, items ...wire.KeyValue) *zone {
	y := newZone(t)
	y.duties.EnableDurability()
	y.duties.Load(y.now, items)
	return y
}

// entryPage is a page of the log with one entry.
func entryPage(host string, d intentlog.Operation, token uint64) wire.KeyValue {
	return wire.KeyValue{Key: "d/0/0", Value: fmt.Appendf(nil, `{%q:{"Duty":%q,"Token":%d,"At":0}}`, host, d, token), Version: 5}
}

func rentalItem(value string) wire.KeyValue {
	return wire.KeyValue{Key: "h/0/b0-3-1", Value: []byte(value), Version: 4}
}

// taken loads what earlier tenures wrote: one rental, and its machine as used.
func (y *zone) taken(rental string) {
	y.s.Load(y.now, rentalItem(rental))
	y.s.LoadUsed(y.now, []wire.KeyValue{{Key: "u/0/0", Value: []byte(`{"i-1":"addr"}`), Version: 3}})
}

// deleted is the machines of the deletions asked for.
func (y *zone) deleted() (out []string) {
	for _, c := range y.cloud {
		if c.Op == OpDelete {
			out = append(out, c.Hosts...)
		}
	}
	return out
}

// What a successor, with token 7, does with an entry that it finds.
func TestInheritedEntry(t *testing.T) {
	const granted, unanswered = `{"Build":"g2","Yard":"a","Number":1,"Hosts":["i-1"]}`, `{"Build":"g2","Yard":"a","Number":1}`
	work := func(token uint64) []wire.TaskStatus {
		return []wire.TaskStatus{{Name: "job-1/0", Attempt: token<<tuning.AttemptBits | 1, State: wire.TaskRunning}}
	}
	heard := func(tasks []wire.TaskStatus) func(y *zone) {
		return func(y *zone) {
			m := y.reg.Get("i-1")
			y.reg.Absorb(y.now, m, &wire.Heartbeat{Host: "i-1", Incarnation: 1, Sequence: 1, Type: "g2", Zone: "a", Tasks: tasks}, true)
			y.s.Reporting(y.now, m)
		}
	}
	leaseOver := func(y *zone) {
		y.pass(y.reg.Expiry() + time.Minute)
		y.reg.Quiet(y.now, y.now.Add(-time.Second))
	}
	for _, c := range []struct {
		name    string
		token   uint64 // of the entry
		rental  string
		play    func(y *zone)
		deletes bool
		state   worker.State
		kept    bool // the entry is still there
	}{
		{"of the tenure before: completed at once", 6, granted, nil, true, worker.Deleting, true},
		{"of an earlier one: the machine is heard first", 4, granted, nil, false, worker.Deleting, true},
		{"heard without work", 4, granted, heard(nil), true, worker.Deleting, true},
		{"heard with work of a tenure since, which read no log", 4, granted, heard(work(5)), false, worker.Up, false},
		{"heard with work of the entry's own tenure", 4, granted, heard(work(4)), true, worker.Deleting, true},
		{"never heard, and its lease is over", 4, granted, leaseOver, true, worker.Deleting, true},
		{"a rental that is not answered may name it: deleted by its name", 6, unanswered, nil, true, -1, true},
		{"the same, and another tenure may have used it", 4, unanswered, nil, false, -1, true},
		{"no rental names it: it is gone", 6, `{"Build":"g2","Yard":"a","Number":1,"Hosts":["i-8"]}`, nil, false, -1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := logged(t, entryPage("i-1", intentlog.Deprovision, c.token))
			y.taken(c.rental)
			if c.play != nil {
				c.play(y)
			}
			y.pass(time.Second)
			if deletes := len(y.deleted()) > 0; deletes != c.deletes {
				t.Errorf("deletions %v", y.deleted())
			}
			if m := y.reg.Get("i-1"); m == nil && c.state >= 0 || m != nil && m.State != c.state {
				t.Errorf("machine %+v, want it %v", m, c.state)
			}
			if kept := y.duties.Get(intentlog.Deprovision, "i-1") != nil; kept != c.kept {
				t.Errorf("entry kept: %v", kept)
			}
		})
	}
}

// A rental that turns out to name an entered machine brings none: it gets no work.
func TestEnteredMachineOfALateAnswer(t *testing.T) {
	y := logged(t, entryPage("i-1", intentlog.Deprovision, 4))
	y.taken(`{"Build":"g2","Yard":"a","Number":2}`)
	y.pass(time.Second)
	y.take(OpRent, Result{Status: 200, Hosts: []string{"i-1", "i-2"}})
	if m := y.reg.Get("i-1"); m == nil || m.State != worker.Deleting {
		t.Errorf("entered: %+v", m)
	}
	if m := y.reg.Get("i-2"); m == nil || m.State != worker.Booting {
		t.Errorf("not entered: %+v", m)
	}
}

// The entry of a deletion stays until the rental's record does not name the machine: a
// successor that found the machine there and no entry would wait for it.
func TestEntryOutlivesTheRecord(t *testing.T) {
	y := logged(t, entryPage("i-1", intentlog.Deprovision, 6))
	y.taken(`{"Build":"g2","Yard":"a","Number":2,"Hosts":["i-1","i-2"]}`)
	y.pass(time.Second)
	y.take(OpDelete, Result{Status: 200})
	if a := y.duties.Get(intentlog.Deprovision, "i-1"); a == nil || a.State() != intentlog.Completed {
		t.Fatalf("%+v", a)
	}
	y.pass(time.Second)
	y.durable()
	if y.duties.Get(intentlog.Deprovision, "i-1") != nil {
		t.Error("kept although the record is durable")
	}
}

// An older version of the record, which becomes durable later, names the machine still.
func TestEntryOutlivesAnOlderVersion(t *testing.T) {
	y := logged(t)
	y.taken(`{"Build":"g2","Yard":"a","Number":3,"Hosts":["i-1","i-2","i-3"]}`)
	end := func(host string) {
		y.s.giveUp(y.now, y.reg.Get(host), returned("idle"))
		y.durable() // its entry, and whatever is not durable yet
		y.pass(tuning.EntriesEvery)
		y.durable()
		y.s.delete(y.now)
		y.take(OpDelete, Result{Status: 200})
	}
	end("i-1")
	y.pass(0) // the record without i-1 is being written
	older := y.kvs
	y.kv, y.kvs = nil, nil
	if len(older) == 0 {
		t.Fatal("the record is not written")
	}
	y.duties.Record(y.now, intentlog.Deprovision, "i-2", "idle")
	y.s.strike(y.now, "i-2")
	for _, then := range older {
		then(y.now, store.Result{Revision: 20})
	}
	h := y.s.by["i-3"]
	if len(h.gone) != 1 || h.gone[0].host != "i-2" {
		t.Errorf("waiting for the record: %+v", h.gone)
	}
	y.durable()
	y.pass(0)
	y.durable()
	if len(h.gone) != 0 {
		t.Errorf("still waiting: %+v", h.gone)
	}
}

// A refused rental's name while its call may be repeated late.
func TestRefusedRental(t *testing.T) {
	refused := Result{Status: 503, Error: NoCapacity}
	rented := func(t *testing.T, y *zone) Call {
		t.Helper()
		y.board.AddJob(y.now, wire.JobSpec{ID: "job-1", Team: "red", Class: "l", Shape: wire.ShapeGang, Priority: "low", Tasks: 1,
			Vcpus: 10, Gpus: 2, MemGb: 77, AnyType: true}, y.now, 1, false)
		y.pass(0)
		y.durable()
		y.pass(time.Second)
		return y.take(OpRent, refused)
	}
	t.Run("the next rental of the kind asks by the same name", func(t *testing.T) {
		y := logged(t)
		first := rented(t, y)
		y.pass(tuning.CapacityRetry)
		y.durable()
		y.pass(tuning.DemandEvery)
		if again := y.take(OpRent, Result{Status: 200, Hosts: []string{"i-1"}}); again.Rental != first.Rental {
			t.Errorf("%+v, then %+v", first.Rental, again.Rental)
		}
	})
	t.Run("a machine that no record explains: asked again", func(t *testing.T) {
		y := logged(t)
		first := rented(t, y)
		y.s.Set.Paused = true // no demand
		y.pass(tuning.CapacityRetry)
		m := y.reg.Add(y.now, "i-5", worker.Booting)
		m.Type, m.Zone = "g2", "a"
		y.s.Reporting(y.now, m)
		y.pass(time.Second)
		if again := y.take(OpRent, Result{Status: 200, Hosts: []string{"i-5"}}); again.Rental != first.Rental {
			t.Errorf("%+v, then %+v", first.Rental, again.Rental)
		}
		y.durable()
		if y.s.by["i-5"] == nil || y.s.by["i-5"].name != first.Rental.Name {
			t.Errorf("explained by %+v", y.s.by["i-5"])
		}
	})
	t.Run("dropped when no repeat can come any more", func(t *testing.T) {
		y := logged(t)
		rented(t, y)
		y.s.Set.Paused = true
		y.pass(tuning.LateCall - time.Second)
		if len(y.s.rentals) != 1 {
			t.Fatalf("%d rentals", len(y.s.rentals))
		}
		y.pass(2 * time.Second)
		y.durable()
		if len(y.s.rentals) != 0 || y.duties.Pending() != 0 {
			t.Errorf("%d rentals, %d open actions", len(y.s.rentals), y.duties.Pending())
		}
	})
	t.Run("dropped at once where duties are not logged", func(t *testing.T) {
		y := newZone(t)
		rented(t, y)
		y.durable()
		if len(y.s.rentals) != 0 {
			t.Errorf("%d rentals", len(y.s.rentals))
		}
	})
}

// A machine stays in use while the log has no room for its return.
func TestNoRoomInTheLog(t *testing.T) {
	y := logged(t)
	for i := range tuning.EntriesMost {
		y.duties.Record(y.now, intentlog.Reclaim, fmt.Sprintf("x-%d", i), "")
	}
	m := y.reg.Add(y.now, "i-1", worker.Up)
	m.Session, m.Heard, m.IdleFrom = 1, y.now, y.now.Add(-time.Hour)
	y.pass(time.Second)
	if m.State != worker.Up {
		t.Errorf("%v although its return is not entered", m.State)
	}
}
