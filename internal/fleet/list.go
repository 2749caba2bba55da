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
func (a *Autoscaler) adopt(now time.Time, machine *worker.Machine) {
	if a.hasPendingRequests() || a.ownedByOtherShard(machine.Host, machine.CreatedAt) {
		return // one of the rentals under way may explain it
	}
	if machine.Type != "" && a.retryRefused(now, capacityKeyOf(machine.Type, machine.Zone, machine.Spot), math.MaxInt) != nil {
		return // a refused one may have been granted late
	}
	if a.requestByHost[machine.Host] != nil {
		machine.Recorded = true
		return
	}
	a.log.Info("adopting a machine nobody expected", "host", machine.Host)
	a.setCapacity(machine)
	request := &provisioningRequest{name: "found-" + machine.Host, record: ProvisioningRecord{
		Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Number: 1, Hosts: []string{machine.Host}}}
	a.openWriter(request, 0)
	a.setRequestState(request, provisioningGranted, "found")
	a.requests[request.name], a.requestByHost[machine.Host] = request, request
	request.writer.Set(request.record)
	machine.Recorded = true
}

// listProgress is the reading of the cloud's list, a page at a time.
type listProgress struct {
	nextAt   time.Time // when the next page, or a new list, is asked for
	inFlight bool      // a page is under way
	after    string    // the last machine of the pages read so far; "": a new list begins
	hosts    []wire.Machine
	pages    int
}

// continueList asks for the next page when it is due. Each page takes its part of the cloud's
// rate: a large fleet's list has many.
func (a *Autoscaler) continueList(now time.Time) {
	progress := &a.listProgress
	if progress.inFlight || now.Before(progress.nextAt) || !a.allowCall(now) {
		return
	}
	progress.inFlight = true
	a.callCloud(CloudCall{Operation: ListMachines, After: progress.after}, func(now time.Time, result CloudResult) {
		progress.inFlight = false
		if result.Status != 200 {
			*progress = listProgress{nextAt: a.nextRetry(now)}
			return
		}
		progress.pages++
		progress.hosts = append(progress.hosts, result.Page.Machines...)
		if n := len(result.Page.Machines); result.Page.More && n > 0 {
			progress.after = result.Page.Machines[n-1].ID
			a.continueList(now)
			return
		}
		hosts := progress.hosts
		*progress = listProgress{nextAt: now.Add(a.listInterval(progress.pages))}
		a.reconcileList(now, hosts)
	})
}

// listInterval is the time from one list of so many pages to the next: lists take no more
// than their share of the cloud's rate.
func (a *Autoscaler) listInterval(pages int) time.Duration {
	return max(tuning.ListInterval, config.Seconds(float64(pages)/(a.config.Cloud.RPS*tuning.ListRateShare)))
}

// reconcileList holds the cloud's list, which lags, against what is known.
func (a *Autoscaler) reconcileList(now time.Time, hosts []wire.Machine) {
	present := map[string]bool{}
	for _, host := range hosts {
		present[host.ID] = true
		a.listed[host.ID] = true
		machine := a.registry.Get(host.ID)
		if machine == nil {
			// deleted machines stay listed for a while: only one that is
			// still there well after the lag was rented by nobody we know
			if a.shard != 0 || a.hasPendingRequests() || a.ownedByOtherShard(host.ID, now.Add(-config.Seconds(host.AgeS))) || a.mayBeDeleted(host.ID) {
				continue
			}
			machine = a.addMachine(now, host.ID, worker.Booting, host.Type, host.Zone, host.Spot)
			machine.CreatedAt = now.Add(-config.Seconds(host.AgeS))
			a.adopt(now, machine)
		}
		machine.Address = host.Address
		if host.State == wire.MachineFailed {
			a.handleFailedMachine(now, machine)
		}
	}
	for _, machine := range a.registry.All() {
		if machine.State == worker.Unreconciled {
			// it was up under an earlier tenure, so it should be listed
			a.listed[machine.Host] = true
		}
	}
	for host := range a.listed {
		if present[host] {
			delete(a.missedLists, host)
			continue
		}
		if a.registry.Get(host) == nil {
			delete(a.listed, host)
			continue
		}
		a.missedLists[host]++
	}
}

// mayBeDeleted tells whether a listed machine that is not known may still be
// one that was just deleted, as lists lag.
func (a *Autoscaler) mayBeDeleted(host string) bool {
	a.missedLists["?"+host]++
	return a.missedLists["?"+host] < tuning.AdoptionLists
}
