package fleet

import (
	"encoding/json"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// registrations keeps the pages that name the machines that may have been given tasks. They may
// name a machine too many, never one too few.
type registrations struct {
	machines    *machines
	provisioner *provisioner
	scheduler   *placement.Scheduler

	pages     *store.Pages
	submitted map[string]bool // hosts that are, or are about to be, named
}

// load takes over the registrations of earlier terms, after their provisioning records. A machine
// that no record names has been deleted, if all records could be read.
func (r *registrations) load(now time.Time, items []wire.KeyValue) {
	r.pages.Load(items, func(host string, raw json.RawMessage) { r.recoverRegistration(now, host, raw) })
	if r.pages.Unreadable() > 0 {
		r.assumeRegistered(now)
	}
}

func (r *registrations) recoverRegistration(now time.Time, host string, raw json.RawMessage) {
	allRecordsRead := r.provisioner.unreadableRecords == 0
	machine := r.machines.registry.Get(host)
	if machine == nil && !allRecordsRead {
		machine = r.machines.addUnrecorded(now, host)
	}
	if machine == nil || !machine.Recorded && allRecordsRead {
		r.pages.Delete(host)
		return
	}
	r.submitted[host], machine.Registered = true, true
	if machine.State == worker.Booting {
		_ = json.Unmarshal(raw, &machine.Address) // without one, its next heartbeat gives it
		r.machines.registry.SetState(now, machine, worker.Unreconciled, "used in an earlier term")
	}
}

// assumeRegistered has all machines count as registered: pages that name those that are cannot
// be read.
func (r *registrations) assumeRegistered(now time.Time) {
	for _, machine := range r.machines.registry.All() {
		if machine.State == worker.Booting {
			r.machines.registry.SetState(now, machine, worker.Unreconciled, "may have been used in an earlier term")
		}
	}
}

// register names a machine, once its provisioning record is durable: a successor that found the
// machine registered and in no record would take it for deleted.
func (r *registrations) register(now time.Time, machine *worker.Machine) {
	if machine.Registered || machine.State == worker.Deleting || r.submitted[machine.Host] {
		return
	}
	if !r.provisioner.recordsDurably(machine.Host) {
		return
	}
	r.machines.types.setCapacity(machine)
	r.submitted[machine.Host] = true
	r.pages.Put(machine.Host, machine.Address, func(time.Time) {
		machine.Registered = true
		r.scheduler.MarkMachineChanged(machine)
	})
	r.pages.Tick(now)
}

// forget removes a deleted machine.
func (r *registrations) forget(host string) {
	delete(r.submitted, host)
	r.pages.Delete(host)
}
