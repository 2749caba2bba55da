package fakes

import (
	"net/http"
	"slices"

	"juniperchute/internal/wire"
)

// maxCommandCopies bounds the copies that are held for one worker.
const maxCommandCopies = 20

// copyTrigger is an event that follows the execution of a start command. A copy of the command arrives after it.
type copyTrigger int

const (
	afterStart        copyTrigger = iota // the attempt is listed
	afterExit                            // the attempt has ended
	afterReap                            // the worker no longer lists the attempt
	afterMove                            // another worker has the task
	afterCancellation                    // the job's user knows that it is cancelled, and the attempt has ended
	afterFailover                        // a worker has seen a higher token
	copyTriggers                         // the number of triggers
)

// commandCopy is a copy of direct commands that a worker has executed and answered.
type commandCopy struct {
	commands wire.DirectCommands
	start    wire.Command // one of commands, to which the trigger refers
	trigger  copyTrigger
}

// keepCopy keeps a copy of executed commands that start tasks, for a share Cluster.CommandCopyShare of them.
func (w *Worker) keepCopy(commands wire.DirectCommands) {
	if w.cluster.CommandCopyShare == 0 || len(w.commandCopies) == maxCommandCopies {
		return
	}
	starts := slices.DeleteFunc(slices.Clone(commands.Commands), func(command wire.Command) bool {
		return command.Verb != wire.VerbRun
	})
	rng := w.cluster.rng
	if len(starts) == 0 || rng.Float64() >= w.cluster.CommandCopyShare {
		return
	}
	w.commandCopies = append(w.commandCopies, commandCopy{
		commands: commands,
		start:    starts[rng.IntN(len(starts))],
		trigger:  copyTrigger(rng.IntN(int(copyTriggers))),
	})
}

// deliverCopies executes the copies whose triggers have occurred.
func (w *Worker) deliverCopies() {
	w.commandCopies = slices.DeleteFunc(w.commandCopies, func(copied commandCopy) bool {
		due := w.isDue(copied)
		if due {
			w.HandleCommandCopy(copied.commands)
		}
		return due
	})
}

// isDue reports whether the trigger of a copy has occurred.
func (w *Worker) isDue(copied commandCopy) bool {
	id, index, _ := wire.ParseTaskName(copied.start.Task)
	job := w.cluster.Jobs[id]
	attempt := w.FindTask(job, index, copied.start.Attempt)
	ended := attempt == nil || !attempt.OnMachine()
	switch copied.trigger {
	case afterStart:
		return true
	case afterExit:
		return ended
	case afterReap:
		return attempt == nil
	case afterMove:
		return slices.ContainsFunc(job.workersWithTasks(), func(other *Worker) bool {
			return other != w && other.FindTask(job, index, 0) != nil
		})
	case afterCancellation:
		return ended && job.KnownState == wire.JobCancelled
	}
	return w.cluster.hasHigherToken(copied.commands.Token)
}

// hasHigherToken reports whether a worker has seen a higher token than the given one.
func (c *Cluster) hasHigherToken(token uint64) bool {
	for _, worker := range c.Workers {
		if worker.Token > token {
			return true
		}
	}
	return false
}

// HandleCommandCopy executes a late copy of direct commands that the worker has executed before. It adds a violation
// if the copy starts a task, which can only be one that was reaped since.
func (w *Worker) HandleCommandCopy(copied wire.DirectCommands) {
	before := slices.Clone(w.Tasks)
	w.executeDirect(copied)
	for _, task := range w.Tasks {
		if !slices.Contains(before, task) {
			w.cluster.AddViolation(Expectation, "a late copy starts %s, attempt %d, on %s again",
				wire.TaskName(task.Job.Spec.ID, task.Index), task.Attempt, w.Host.ID)
		}
	}
}

// executeDirect executes direct commands unless the token is stale or they are for another incarnation. It returns
// the HTTP status of the reply.
func (w *Worker) executeDirect(commands wire.DirectCommands) (status int) {
	if commands.Token < w.Token || commands.Incarnation != w.Incarnation {
		return http.StatusConflict
	}
	w.observeToken(commands.Token)
	w.execute(commands.Commands)
	return http.StatusOK
}
