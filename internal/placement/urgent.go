package placement

import (
	"slices"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// urgentMachines lists the machines that may need direct commands.
type urgentMachines struct {
	machines []*machineInfo
}

// mark adds a machine that may need a direct command before its next heartbeat.
func (u *urgentMachines) mark(info *machineInfo) {
	if !info.urgent {
		info.urgent = true
		u.machines = append(u.machines, info)
	}
}

// ready returns the machines to which direct commands should be sent now, and
// removes the machines that need none any more.
func (u *urgentMachines) ready() []*worker.Machine {
	var ready []*worker.Machine
	u.machines = slices.DeleteFunc(u.machines, func(info *machineInfo) bool {
		current := info.urgency()
		info.urgent = current != notUrgent
		machine := info.machine
		if current == urgentNow && machine.State == worker.Up && !machine.CommandInFlight && machine.Registered {
			ready = append(ready, machine)
		}
		return !info.urgent
	})
	return ready
}

// urgency classifies whether and when commands for a machine must be sent as direct commands.
type urgency int

const (
	notUrgent urgency = iota
	// runCommandUnsent means that a stopping task's run command was never sent. No stop is
	// sent either: the next status of the machine releases the task.
	runCommandUnsent
	urgentNow
)

// urgency returns the highest urgency of the commands for the machine. The start of
// a gang's task or a replica is urgent, up to tuning.MaxDirectStarts, and so is the
// stop of a task of an open job whose run command has been sent.
func (info *machineInfo) urgency() urgency {
	highest := notUrgent
	for task := range info.assigned.all() {
		switch {
		case task.phase == Dispatched && !task.commandSent && !task.Job.isArray() &&
			len(info.directAttempts) < tuning.MaxDirectStarts:
			highest = urgentNow
		case task.phase == Stopping && task.stopPending && !task.Job.closed:
			highest = max(highest, runCommandUnsent)
			if task.commandSent {
				highest = urgentNow
			}
		}
	}
	return highest
}
