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

// A failover need not wait for the lease of a machine that the cloud no longer lists; one list
// may be too old to show it.
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

// An unexpected machine is adopted once no pending request may explain it, and not because a
// list lags behind a deletion.
func TestAdoptUnexpected(t *testing.T) {
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

// listPages has the autoscaler read a list of a number of pages, and the first page of the next
// list. It returns when each page was asked for.
func (f *fixture) listPages(pages int) (asked []time.Time) {
	f.t.Helper()
	start := f.now
	for len(asked) < pages+1 {
		f.advance(100 * time.Millisecond)
		if f.now.Sub(start) > time.Minute {
			f.t.Fatalf("%d pages in a minute", len(asked))
		}
		for f.hasCall(cloud.ListMachineTypes) {
			f.answerCall(cloud.ListMachineTypes, cloud.Success(cloud.Response{}))
		}
		if !f.hasCall(cloud.ListMachines) {
			continue
		}
		n := len(asked) % pages
		asked = append(asked, f.now)
		host := wire.Machine{ID: fmt.Sprintf("i-%d", n), State: wire.MachineRunning}
		page := wire.MachinePage{Machines: []wire.Machine{host}, More: n < pages-1}
		call := f.answerCall(cloud.ListMachines, cloud.Success(cloud.Response{Page: page}))
		if n > 0 && call.After != fmt.Sprintf("i-%d", n-1) {
			f.t.Errorf("page %d starts after %q", n, call.After)
		}
	}
	return asked
}

// The pages of a large fleet's list keep to the cloud's rate, and lists of many pages are read
// less often.
func TestListPages(t *testing.T) {
	const pages, rps = 8, 2
	f := newFixture(t)
	f.autoscaler.inventory.cloudLimits.RPS = rps
	f.autoscaler.inventory.cloud.limiter = rate.NewLimiter(rps*tuning.CloudRateShare, 1)
	asked := f.listPages(pages)
	if took := asked[pages-1].Sub(asked[0]); took < (pages-2)*time.Second/rps {
		t.Errorf("%d pages within %v", pages, took)
	}
	pause, share := asked[pages].Sub(asked[pages-1]), float64(pages)/(rps*tuning.ListRateShare)
	if pause.Seconds() < share {
		t.Errorf("the next list started after %v, its share of the rate allows one in %v s", pause, share)
	}
}
