package fakes

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// commandStep is a command sent after a delay, or only the delay.
type commandStep struct {
	delay   time.Duration
	verb    string // "" for none
	attempt uint64
}

// Steps of commandCases. An image pull takes less than three seconds.
var (
	runFirst       = commandStep{verb: wire.VerbRun, attempt: 1}
	runSecond      = commandStep{verb: wire.VerbRun, attempt: 2}
	runFirstAgain  = commandStep{verb: wire.VerbRun, attempt: 1, delay: 3 * time.Second}
	stopFirst      = commandStep{verb: wire.VerbStop, attempt: 1}
	stopFirstLater = commandStep{verb: wire.VerbStop, attempt: 1, delay: 3 * time.Second}
	reapFirst      = commandStep{verb: wire.VerbReap, attempt: 1}
	pullImage      = commandStep{attempt: 1, delay: 3 * time.Second}
)

// commandCases send commands for the first task of a job.
var commandCases = []struct {
	name       string
	change     func(spec *wire.JobSpec)
	steps      []commandStep
	state      string // final state of the latest attempt, "" if it is not listed
	exitReason string
}{
	{
		name:  "a started task pulls its image",
		steps: []commandStep{runFirst},
		state: wire.TaskFetching,
	},
	{
		name:  "a started task runs once its image is pulled",
		steps: []commandStep{runFirst, pullImage},
		state: wire.TaskRunning,
	},
	{
		name:  "a repeated start has no effect",
		steps: []commandStep{runFirst, runFirstAgain},
		state: wire.TaskRunning,
	},
	{
		name:       "a second attempt of a live task is rejected",
		steps:      []commandStep{runFirst, runSecond},
		state:      wire.TaskExited,
		exitReason: wire.ExitOtherAttemptPresent,
	},
	{
		name:       "a task larger than the free resources is rejected",
		change:     func(spec *wire.JobSpec) { spec.Gpus = 9 },
		steps:      []commandStep{runFirst},
		state:      wire.TaskExited,
		exitReason: wire.ExitInsufficientResources,
	},
	{
		name:       "a stop ends a task without checkpoints",
		steps:      []commandStep{runFirst, stopFirstLater},
		state:      wire.TaskExited,
		exitReason: wire.ExitStopped,
	},
	{
		name:   "a stop with a grace period saves a checkpoint",
		change: func(spec *wire.JobSpec) { spec.CheckpointIntervalS, spec.CheckpointSaveTimeS = 1, 4 },
		steps:  []commandStep{runFirst, stopFirstLater},
		state:  wire.TaskSaving,
	},
	{
		name:  "an exited attempt is reaped",
		steps: []commandStep{runFirst, stopFirst, reapFirst},
		state: "",
	},
	{
		name:  "a live attempt is not reaped",
		steps: []commandStep{runFirst, reapFirst},
		state: wire.TaskFetching,
	},
	{
		name:   "a gang task waits for its siblings",
		change: func(spec *wire.JobSpec) { spec.Shape = wire.ShapeGang },
		steps:  []commandStep{runFirst, pullImage},
		state:  wire.TaskWaiting,
	},
}

// TestWorkerCommands guards against wrong task states in the worker's heartbeat after commands.
func TestWorkerCommands(t *testing.T) {
	grace := 5.0
	for _, test := range commandCases {
		t.Run(test.name, func(t *testing.T) {
			cluster := testCluster()
			cluster.addTestJob(test.change)
			newest := uint64(0)
			for _, step := range test.steps {
				cluster.advance(step.delay)
				newest = max(newest, step.attempt)
				if step.verb != "" {
					cluster.command("a1", wire.Command{
						Verb:         step.verb,
						Task:         "job-1/0",
						Attempt:      step.attempt,
						GracePeriodS: &grace,
					})
				}
			}
			state, exitReason := "", ""
			for _, task := range cluster.Workers["a1"].Heartbeat().Tasks {
				if task.Attempt == newest {
					state, exitReason = task.State, task.ExitReason
				}
			}
			if state != test.state || exitReason != test.exitReason {
				t.Errorf("%s %s, want %s %s", state, exitReason, test.state, test.exitReason)
			}
		})
	}
}

// TestWorkerTokens guards against workers that execute commands of earlier terms or for another
// incarnation, and that keep their incarnation after a lease expiry.
func TestWorkerTokens(t *testing.T) {
	cluster := testCluster()
	worker := cluster.Workers["a1"]
	for _, test := range []struct {
		name        string
		token       uint64
		incarnation uint64
		want        int
	}{
		{name: "a first token is accepted", token: 3, incarnation: 1, want: 200},
		{name: "an equal token is accepted", token: 3, incarnation: 1, want: 200},
		{name: "a lower token is rejected", token: 2, incarnation: 1, want: 409},
		{name: "another incarnation is rejected", token: 4, incarnation: 2, want: 409},
	} {
		command := wire.DirectCommands{Token: test.token, Incarnation: test.incarnation}
		if status, heartbeat := worker.HandleCommand(command); status != test.want || heartbeat.Token != 3 {
			t.Errorf("%s: status %d, token %d", test.name, status, heartbeat.Token)
		}
	}
	cluster.advance(12 * time.Second) // without replies the worker's lease expires
	if worker.Incarnation != 2 {
		t.Errorf("incarnation %d after a lease expiry, want 2", worker.Incarnation)
	}
}
