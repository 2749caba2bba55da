package fleet

import (
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// inventory reconciles the registry with the cloud's list of machines, which is eventually
// consistent.
type inventory struct {
	cloudLimits   config.CloudLimits
	cloud         *rateLimitedCloud
	machines      *machineAdder
	provisioner   *provisioner
	deprovisioner *deprovisioner
	lists         *listHistory
	// adoptsOrphans is set on the one shard that adopts listed machines without a record.
	adoptsOrphans         bool
	mayBelongToOtherShard func(host string, existedAt time.Time) bool // see Options

	cursor listCursor
}

// listCursor is the position in a paginated list.
type listCursor struct {
	nextAt   time.Time      // when the next page or list is due
	inFlight bool           // a page has been requested
	after    string         // last machine of the pages read so far, empty for a new list
	machines []wire.Machine // of the pages read so far
	pages    int            // number of pages read so far
}

// listHistory counts the lists that miss expected machines or contain unknown ones.
type listHistory struct {
	expected map[string]bool // hosts expected in the lists
	missed   map[string]int  // number of consecutive lists without an expected host
	unknown  map[string]int  // number of lists with a host that is not in the registry
}

func newListHistory() *listHistory {
	return &listHistory{expected: map[string]bool{}, missed: map[string]int{}, unknown: map[string]int{}}
}

func (h *listHistory) forget(host string) { delete(h.missed, host) }

// observeUnknown counts a list with an unknown machine and reports whether the machine may be
// adopted. A stale list may contain a machine that was deleted recently.
func (h *listHistory) observeUnknown(host string) bool {
	h.unknown[host]++
	return h.unknown[host] >= tuning.AdoptionLists
}

// countMissed updates the counts of the expected machines from a list. Machines that have left the
// registry are no longer expected.
func (h *listHistory) countMissed(shown map[string]bool, registry *worker.Registry) {
	for host := range h.expected {
		switch {
		case shown[host]:
			delete(h.missed, host)
		case registry.Get(host) == nil:
			delete(h.expected, host)
		default:
			h.missed[host]++
		}
	}
}

// readNextPage requests the next page when it is due. Each page counts towards the cloud's rate
// limit.
func (i *inventory) readNextPage(now time.Time) {
	if i.cursor.inFlight || now.Before(i.cursor.nextAt) || !i.cloud.allow(now) {
		return
	}
	i.cursor.inFlight = true
	i.cloud.call(cloud.Call{Operation: cloud.ListMachines, After: i.cursor.after}, i.handlePage)
}

func (i *inventory) handlePage(now time.Time, result cloud.Result) {
	i.cursor.inFlight = false
	response, err := result.Response()
	if err != nil {
		i.cursor = listCursor{nextAt: i.cloud.nextRetry(now)}
		return
	}
	page := response.Page
	i.cursor.pages++
	i.cursor.machines = append(i.cursor.machines, page.Machines...)
	if n := len(page.Machines); page.More && n > 0 {
		i.cursor.after = page.Machines[n-1].ID
		i.readNextPage(now)
		return
	}
	listed := i.cursor.machines
	i.cursor = listCursor{nextAt: now.Add(i.interval(i.cursor.pages))}
	i.reconcile(now, listed)
}

// interval returns the time from a list with a number of pages to the next list. It grows with the
// pages, so that lists keep to their share of the cloud's rate limit.
func (i *inventory) interval(pages int) time.Duration {
	return max(tuning.ListInterval, config.Seconds(float64(pages)/(i.cloudLimits.RPS*tuning.ListRateShare)))
}

// reconcile reconciles the registry with a complete list.
func (i *inventory) reconcile(now time.Time, listed []wire.Machine) {
	registry := i.machines.registry
	shown := map[string]bool{}
	for _, entry := range listed {
		shown[entry.ID], i.lists.expected[entry.ID] = true, true
		machine := registry.Get(entry.ID)
		if machine == nil {
			if machine = i.addOrphan(now, entry); machine == nil {
				continue
			}
		}
		machine.Address = entry.Address
		if entry.State == wire.MachineFailed {
			i.deprovisioner.terminateFailed(now, machine)
		}
	}
	for _, machine := range registry.All() {
		if machine.State == worker.Unreconciled {
			// The machine was up in an earlier term, so the cloud should list it.
			i.lists.expected[machine.Host] = true
		}
	}
	i.lists.countMissed(shown, registry)
}

// addOrphan adopts a listed machine that belongs to no shard. It returns nil if the machine may be
// explained otherwise: by a pending request, by another shard or by a stale list. An orphan is the
// result of a create call that executed late.
func (i *inventory) addOrphan(now time.Time, entry wire.Machine) *worker.Machine {
	createdAt := now.Add(-config.Seconds(entry.AgeS))
	if !i.adoptsOrphans || i.provisioner.hasPending() || i.mayBelongToOtherShard(entry.ID, createdAt) {
		return nil
	}
	if !i.lists.observeUnknown(entry.ID) {
		return nil
	}
	machine := i.machines.add(now, entry.ID, machineKind{machineType: entry.Type, zone: entry.Zone, spot: entry.Spot})
	machine.CreatedAt = createdAt
	i.provisioner.adopt(now, machine)
	return machine
}
