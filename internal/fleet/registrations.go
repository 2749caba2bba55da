package fleet

import (
	"encoding/json"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// registrations maintains the registration pages, which name the machines that may have been assigned
// tasks. A machine is registered once a durable page names it. The pages may name a machine without
// tasks, but never omit one with tasks.
type registrations struct {
	machines    *machineAdder
	provisioner *provisioner
	scheduler   *placement.Scheduler

	pages     *store.Pages
	submitted map[string]bool // hosts whose registration is durable or being written
}

// load recovers the registrations of earlier terms. The provisioning records must be loaded before.
func (r *registrations) load(now time.Time, items []wire.KeyValue) {
	r.pages.Load(items, func(host string, raw json.RawMessage) { r.recoverRegistration(now, host, raw) })
	if r.pages.Unreadable() > 0 {
		r.assumeRegistered(now)
	}
}

// recoverRegistration restores the registration of a machine. If all provisioning records are
// readable, a machine that none of them names was deleted, and its registration is removed.
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
		_ = json.Unmarshal(raw, &machine.Address) // on an error, the next heartbeat has the address
		r.machines.registry.SetState(now, machine, worker.Unreconciled, "used in an earlier term")
	}
}

// assumeRegistered makes all booting machines unreconciled, since any of them may be named on a page
// that is unreadable.
func (r *registrations) assumeRegistered(now time.Time) {
	for _, machine := range r.machines.registry.All() {
		if machine.State == worker.Booting {
			r.machines.registry.SetState(now, machine, worker.Unreconciled, "may have been used in an earlier term")
		}
	}
}

// register writes a machine to the pages if its provisioning record is durable. A successor treats a
// registered machine without a record as deleted.
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

// forget removes the registration of a deleted machine.
func (r *registrations) forget(host string) {
	delete(r.submitted, host)
	r.pages.Delete(host)
}
