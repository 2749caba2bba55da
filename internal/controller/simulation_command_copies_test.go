package controller

import (
	"slices"
	"time"

	"juniperchute/internal/wire"
)

// copyTrigger is an event that follows a start command. A copy of the command arrives after it.
type copyTrigger int

// The events after which copies of executed start commands arrive.
const (
	afterStart        copyTrigger = iota // the attempt is listed
	afterExit                            // the attempt has ended
	afterReap                            // the machine no longer lists the attempt
	afterMove                            // another machine has the task
	afterCancellation                    // the job is cancelled, and the attempt has ended
	afterFailover                        // a term with a higher token has started
	copyTriggers                         // the number of triggers
)

// commandCopy is a copy of direct commands that a machine has executed and answered.
type commandCopy struct {
	machine  *machine
	commands wire.DirectCommands
	start    wire.Command // one of commands, which the trigger refers to
	trigger  copyTrigger
}

// heldCommandCopies holds the copies whose triggers have not occurred.
type heldCommandCopies struct {
	copies    []commandCopy
	checkedAt time.Time
}

// copyCommands may keep a copy of commands that a machine has executed and answered.
func (sim *simulation) copyCommands(m *machine, commands wire.DirectCommands) {
	const maxHeld = 200
	const randomShare = 0.05
	starts := slices.DeleteFunc(slices.Clone(commands.Commands), func(command wire.Command) bool {
		return command.Verb != wire.VerbRun
	})
	share := sim.rates.repeatedCommands
	if sim.randomMessageFaults {
		share = max(share, randomShare)
	}
	if len(starts) == 0 || len(sim.commandCopies.copies) == maxHeld || sim.rng.Float64() >= share {
		return
	}
	sim.commandCopies.copies = append(sim.commandCopies.copies, commandCopy{
		machine:  m,
		commands: commands,
		start:    starts[sim.rng.IntN(len(starts))],
		trigger:  copyTrigger(sim.rng.IntN(int(copyTriggers))),
	})
}

// deliverDueCommandCopies delivers the copies whose triggers have occurred, within a second.
func (sim *simulation) deliverDueCommandCopies() {
	const interval = 20 * time.Millisecond
	now := sim.clock.Now()
	if now.Sub(sim.commandCopies.checkedAt) < interval {
		return
	}
	sim.commandCopies.checkedAt = now
	sim.commandCopies.copies = slices.DeleteFunc(sim.commandCopies.copies, func(c commandCopy) bool {
		due := c.machine.Terminated || sim.triggered(c)
		if due {
			delay := time.Duration(sim.rng.IntN(1000)) * time.Millisecond
			sim.clock.Schedule(delay, func() { sim.deliverCommandCopy(c) })
		}
		return due
	})
}

// triggered reports whether the trigger of a copy has occurred.
func (sim *simulation) triggered(c commandCopy) bool {
	id, index, _ := wire.ParseTaskName(c.start.Task)
	job := sim.cluster.Jobs[id]
	listed := c.machine.FindTask(job, index, c.start.Attempt)
	switch c.trigger {
	case afterStart:
		return listed != nil
	case afterExit:
		return listed == nil || !listed.OnMachine()
	case afterReap:
		return listed == nil
	case afterMove:
		return slices.ContainsFunc(sim.machineNames(), func(name string) bool {
			other := sim.machines[name]
			return other != c.machine && other.FindTask(job, index, 0) != nil
		})
	case afterCancellation:
		return job.KnownState == wire.JobCancelled && (listed == nil || !listed.OnMachine())
	}
	return slices.ContainsFunc(sim.nodes, func(n *simulatedNode) bool {
		t := n.controller.terms[0]
		return n.alive && t != nil && t.Token > c.commands.Token
	})
}

// deliverCommandCopy lets the machine execute a copy, as soon as it does not hang.
func (sim *simulation) deliverCommandCopy(c commandCopy) {
	switch {
	case c.machine.Terminated:
		return
	case c.machine.Hung:
		c.machine.heldMessages = append(c.machine.heldMessages, func() { sim.deliverCommandCopy(c) })
		return
	}
	c.machine.HandleCommandCopy(c.commands)
}

// simulateRepeatedCommands repeats all executed start commands, while tasks are cancelled, preempted and lost, and
// lease holders and machines are back within a second.
func simulateRepeatedCommands(s *faultScenario) {
	s.rates.repeatedCommands = 1
	gang := func(spec *wire.JobSpec) { spec.Shape, spec.Priority = wire.ShapeGang, "critical" }
	flags := []machineFlag{hang, partition, blockInbound}
	for i := range 10 {
		s.submitRandomJobs(2, 5*time.Second, 40*time.Second)
		s.submitRandomJob(gang, s.randomMillis(2000, 20000))
		s.runFor(s.randomMillis(2000, 8000))
		s.applyFaultToShare(0.5, s.randomMillis(50, 1000), flags[i%len(flags)])
		s.cancelRandomJobs(0.2)
		s.runFor(s.randomMillis(0, 1000))
		if i%2 == 0 {
			s.leaseHolderOrAny().crash(s.randomMillis(10, 1000))
		}
		if i%3 == 0 {
			for _, m := range s.randomMachines() { // their tasks move
				s.cloud.Remove(m.Host.ID)
			}
		}
	}
}
