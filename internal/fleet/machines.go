package fleet

import (
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/worker"
)

// machines adds machines to the registry. A machine whose termination an earlier term has
// intended is being deleted from the moment that it is known.
type machines struct {
	registry *worker.Registry
	types    *machineTypes
	intents  *intentlog.Log
}

// add makes a machine known, as booting unless it is known already.
func (m *machines) add(now time.Time, host string, kind machineKind) *worker.Machine {
	machine := m.registry.Get(host)
	if machine == nil {
		machine = m.registry.Add(now, host, worker.Booting)
		machine.IdleSince = now
	}
	machine.Type, machine.Zone, machine.Spot = kind.machineType, kind.zone, kind.spot
	m.types.setCapacity(machine)
	m.resumeTermination(now, machine)
	return machine
}

// addUnrecorded makes a machine known that was used and whose provisioning record cannot be read.
// Its type is not known, so it counts as the largest.
func (m *machines) addUnrecorded(now time.Time, host string) *worker.Machine {
	machine := m.add(now, host, machineKind{})
	for _, machineType := range m.types.byName {
		machine.Capacity = machine.Capacity.Max(capacityOf(machineType))
	}
	return machine
}

// resumeTerminations goes on with the machines whose termination earlier terms have intended: they
// get no work, and are deleted, again if need be.
func (m *machines) resumeTerminations(now time.Time) {
	for _, intent := range m.intents.Recovered(intentlog.Deprovision, intentlog.Reclaim) {
		if machine := m.registry.Get(intent.Target); machine != nil {
			m.resumeTermination(now, machine)
		}
	}
}

func (m *machines) resumeTermination(now time.Time, machine *worker.Machine) {
	if machine.State == worker.Deleting {
		return
	}
	for _, operation := range []intentlog.Operation{intentlog.Deprovision, intentlog.Reclaim} {
		intent := m.intents.Get(operation, machine.Host)
		if intent != nil && intent.Recovered && intent.State() != intentlog.Completed {
			m.registry.SetState(now, machine, worker.Deleting, "termination intended by an earlier term")
		}
	}
}
