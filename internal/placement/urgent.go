package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// markUrgent notes that a machine may need commands before its next heartbeat.
func (s *Scheduler) markUrgent(machine *worker.Machine) {
	if info := s.machineInfo(machine); !info.urgent {
		info.urgent = true
		s.urgentMachines = append(s.urgentMachines, info)
	}
}

// UrgentMachines lists the machines that should get commands directly, rather
// than in the reply to their next heartbeat.
func (s *Scheduler) UrgentMachines(now time.Time) []*worker.Machine {
	var machines []*worker.Machine
	s.urgentMachines = slices.DeleteFunc(s.urgentMachines, func(info *machineInfo) bool {
		need := info.urgency()
		info.urgent = need != notUrgent
		machine := info.machine
		if need == urgentNow && machine.State == worker.Up && !machine.CommandInFlight && machine.Registered {
			machines = append(machines, machine)
		}
		return !info.urgent
	})
	return machines
}

// urgency tells whether commands for a machine have to be sent directly.
type urgency int

const (
	notUrgent   urgency = iota
	urgentLater         // commands that nothing is known to be waiting for on the machine yet
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
			highest = max(highest, urgentLater)
			if task.commandSent {
				highest = urgentNow
			}
		}
	}
	return highest
}
