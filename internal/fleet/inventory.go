package fleet

import (
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// inventory reads the cloud's list of machines, which lags behind, and reconciles it with what is
// known.
type inventory struct {
	cloudLimits   config.CloudLimits
	cloud         *rateLimitedCloud
	machines      *machines
	provisioner   *provisioner
	deprovisioner *deprovisioner
	lists         *listHistory
	// adopter: this shard's lease holder is the one that adopts machines nobody knows.
	adopter bool
	// ownedByOtherShard is Options.OwnedByOtherShard.
	ownedByOtherShard func(host string, existedAt time.Time) bool

	cursor listCursor
}

// listCursor is the list being read, a page at a time.
type listCursor struct {
	nextAt   time.Time // when the next page, or a new list, is due
	inFlight bool      // a page is under way
	after    string    // the last machine of the pages read so far; "": a new list starts
	hosts    []wire.Machine
	pages    int
}

// listHistory counts in how many lists in a row machines were missing, and in how many lists
// unknown machines were.
type listHistory struct {
	expected map[string]bool // hosts expected in the lists
	missed   map[string]int  // lists in a row without a host that is expected
	unknown  map[string]int  // lists with a host that is not known
}

func newListHistory() *listHistory {
	return &listHistory{expected: map[string]bool{}, missed: map[string]int{}, unknown: map[string]int{}}
}

// forget drops the count of a deleted machine.
func (h *listHistory) forget(host string) { delete(h.missed, host) }

// observeUnknown counts a list with an unknown machine, and reports whether there have been so many
// that it is not one just deleted: lists lag.
func (h *listHistory) observeUnknown(host string) bool {
	h.unknown[host]++
	return h.unknown[host] >= tuning.AdoptionLists
}

// countMissed counts the expected machines that a list does not show.
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

// readNextPage asks for the next page when it is due. Each page takes its part of the cloud's
// rate: a large fleet's list has many.
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
	i.cursor.hosts = append(i.cursor.hosts, page.Machines...)
	if n := len(page.Machines); page.More && n > 0 {
		i.cursor.after = page.Machines[n-1].ID
		i.readNextPage(now)
		return
	}
	hosts := i.cursor.hosts
	i.cursor = listCursor{nextAt: now.Add(i.interval(i.cursor.pages))}
	i.reconcile(now, hosts)
}

// interval is the time from one list of so many pages to the next: lists take no more than their
// share of the cloud's rate.
func (i *inventory) interval(pages int) time.Duration {
	return max(tuning.ListInterval, config.Seconds(float64(pages)/(i.cloudLimits.RPS*tuning.ListRateShare)))
}

// reconcile compares a list with what is known.
func (i *inventory) reconcile(now time.Time, hosts []wire.Machine) {
	registry := i.machines.registry
	shown := map[string]bool{}
	for _, host := range hosts {
		shown[host.ID], i.lists.expected[host.ID] = true, true
		machine := registry.Get(host.ID)
		if machine == nil {
			if machine = i.addOrphan(now, host); machine == nil {
				continue
			}
		}
		machine.Address = host.Address
		if host.State == wire.MachineFailed {
			i.deprovisioner.terminateFailed(now, machine)
		}
	}
	for _, machine := range registry.All() {
		if machine.State == worker.Unreconciled {
			// It was up in an earlier term, so it should be listed.
			i.lists.expected[machine.Host] = true
		}
	}
	i.lists.countMissed(shown, registry)
}

// addOrphan adds a listed machine that no shard knows, and returns nil unless it is sure to
// be one. Deleted machines stay listed for a while: only one that is still there well after the
// lag was created by a call that was executed late.
func (i *inventory) addOrphan(now time.Time, host wire.Machine) *worker.Machine {
	createdAt := now.Add(-config.Seconds(host.AgeS))
	if !i.adopter || i.provisioner.hasPending() || i.ownedByOtherShard(host.ID, createdAt) {
		return nil
	}
	if !i.lists.observeUnknown(host.ID) {
		return nil
	}
	machine := i.machines.add(now, host.ID, machineKind{machineType: host.Type, zone: host.Zone, spot: host.Spot})
	machine.CreatedAt = createdAt
	i.provisioner.adopt(now, machine)
	return machine
}
