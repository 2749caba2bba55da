package fleet

import (
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/worker"
)

// machineAdder adds machines to the registry. A machine with a termination intent of an earlier term
// enters the state Deleting as soon as it is added.
type machineAdder struct {
	registry *worker.Registry
	types    *machineTypes
	intents  *intentlog.Log
}

// add adds a machine in the state Booting, or updates the kind of one that the registry has.
func (m *machineAdder) add(now time.Time, host string, kind machineKind) *worker.Machine {
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

// addUnrecorded adds a machine whose provisioning record may be unreadable. The type is unknown, so
// the machine gets the maximum capacity of all types.
func (m *machineAdder) addUnrecorded(now time.Time, host string) *worker.Machine {
	machine := m.add(now, host, machineKind{})
	for _, machineType := range m.types.byName {
		machine.Capacity = machine.Capacity.Max(capacityOf(machineType))
	}
	return machine
}

// resumeTerminations resumes the terminations that earlier terms recorded. Their machines get no
// tasks and are deleted, again if an earlier call was executed.
func (m *machineAdder) resumeTerminations(now time.Time) {
	for _, intent := range m.intents.Recovered(intentlog.Deprovision, intentlog.Reclaim) {
		if machine := m.registry.Get(intent.Target); machine != nil {
			m.resumeTermination(now, machine)
		}
	}
}

func (m *machineAdder) resumeTermination(now time.Time, machine *worker.Machine) {
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
