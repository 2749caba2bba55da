package placement

import (
	"slices"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// urgentMachines is the machines that may need commands before their next heartbeat.
type urgentMachines struct {
	machines []*machineInfo
}

// mark notes that a machine may need commands before its next heartbeat.
func (u *urgentMachines) mark(info *machineInfo) {
	if !info.urgent {
		info.urgent = true
		u.machines = append(u.machines, info)
	}
}

// ready returns the machines that should get commands directly now.
func (u *urgentMachines) ready() []*worker.Machine {
	var ready []*worker.Machine
	u.machines = slices.DeleteFunc(u.machines, func(info *machineInfo) bool {
		need := info.urgency()
		info.urgent = need != notUrgent
		machine := info.machine
		if need == urgentNow && machine.State == worker.Up && !machine.CommandInFlight && machine.Registered {
			ready = append(ready, machine)
		}
		return !info.urgent
	})
	return ready
}

// urgency reports whether commands for a machine have to be sent directly.
type urgency int

const (
	notUrgent      urgency = iota
	urgentOnceSent         // commands that nothing is known to be waiting for on the machine yet
	urgentNow
)

// urgency returns how urgent the commands for the machine are. The start of a
// gang's task or a replica is, while direct starts are allowed, and the stop of
// a task whose job is open, once the command to run it has been sent.
func (info *machineInfo) urgency() urgency {
	highest := notUrgent
	for _, task := range info.assigned {
		switch {
		case task.phase == Dispatched && !task.commandSent && !task.Job.isArray() &&
			len(info.directAttempts) < tuning.MaxDirectStarts:
			highest = urgentNow
		case task.phase == Stopping && task.stopPending && !task.Job.closed:
			highest = max(highest, urgentOnceSent)
			if task.commandSent {
				highest = urgentNow
			}
		}
	}
	return highest
}
