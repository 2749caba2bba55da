package fleet

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"juniperchute/internal/cloud"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// An unreconciled machine is reclaimed before its lease expires if several consecutive lists miss it.
// A single list may be stale.
func TestUnreconciledAndNotListed(t *testing.T) {
	f := newFixture(t)
	f.loadRequest("b0-3-1", `{"Build":"g2","Yard":"a","Number":2,"Hosts":["i-1","i-2"]}`)
	f.loadRegistrations(`{"i-1":"10.1.0.1:9000","i-2":"10.1.0.2:9000"}`)
	f.advance(0)
	for i := range tuning.UnreconciledMissedListsLimit {
		if machine := f.registry.Get("i-2"); machine.State != worker.Unreconciled {
			t.Fatalf("%v after %d lists", machine.State, i)
		}
		f.answerCall(cloud.ListMachines, listed("i-1"))
		f.advance(tuning.ListInterval)
	}
	shown, missing := f.registry.Get("i-1").State, f.registry.Get("i-2").State
	if shown != worker.Unreconciled || missing != worker.Deleting {
		t.Errorf("listed: %v, not listed: %v", shown, missing)
	}
}

// An orphaned machine is adopted only after several lists, since a stale list may contain a machine
// that was deleted.
func TestAdoptOrphan(t *testing.T) {
	f := newFixture(t)
	for i := range tuning.AdoptionLists + 1 {
		f.advance(tuning.ListInterval + time.Second)
		if known := f.registry.Get("i-9") != nil; known != (i >= tuning.AdoptionLists) {
			t.Fatalf("after %d lists: known %t", i, known)
		}
		f.answerCall(cloud.ListMachines, listed("i-9"))
	}
	machine := f.registry.Get("i-9")
	recorded := len(f.storeCalls) > 0 && f.storeCalls[len(f.storeCalls)-1].Transaction.Writes != nil
	if machine == nil || !machine.Recorded || !recorded {
		t.Fatalf("not adopted: %+v", machine)
	}
}

// listPages answers the reads of a list with a number of pages and of the first page of the next list.
// It returns the time of each read.
func (f *fixture) listPages(pages int) (requestedAt []time.Time) {
	f.t.Helper()
	start := f.now
	for len(requestedAt) < pages+1 {
		f.advance(100 * time.Millisecond)
		if f.now.Sub(start) > time.Minute {
			f.t.Fatalf("%d pages requested in a minute, want %d", len(requestedAt), pages+1)
		}
		for f.hasCall(cloud.ListMachineTypes) {
			f.answerCall(cloud.ListMachineTypes, cloud.Success(cloud.Response{}))
		}
		if !f.hasCall(cloud.ListMachines) {
			continue
		}
		n := len(requestedAt) % pages
		requestedAt = append(requestedAt, f.now)
		host := wire.Machine{ID: fmt.Sprintf("i-%d", n), State: wire.MachineRunning}
		page := wire.MachinePage{Machines: []wire.Machine{host}, More: n < pages-1}
		call := f.answerCall(cloud.ListMachines, cloud.Success(cloud.Response{Page: page}))
		if n > 0 && call.After != fmt.Sprintf("i-%d", n-1) {
			f.t.Errorf("page %d starts after %q", n, call.After)
		}
	}
	return requestedAt
}

// The pages of a large list keep to the cloud's rate limit, and lists of many pages are read less
// often.
func TestListPages(t *testing.T) {
	const pages, rps = 8, 2
	f := newFixture(t)
	f.autoscaler.inventory.cloudLimits.RPS = rps
	f.autoscaler.inventory.cloud.limiter = rate.NewLimiter(rps*tuning.CloudRateShare, 1)
	requestedAt := f.listPages(pages)
	if duration := requestedAt[pages-1].Sub(requestedAt[0]); duration < (pages-2)*time.Second/rps {
		t.Errorf("%d pages requested within %v", pages, duration)
	}
	interval, minSeconds := requestedAt[pages].Sub(requestedAt[pages-1]), float64(pages)/(rps*tuning.ListRateShare)
	if interval.Seconds() < minSeconds {
		t.Errorf("next list requested after %v, want at least %v s", interval, minSeconds)
	}
}
