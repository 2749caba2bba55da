package fakes

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// commandStep is a command that a worker executes after a time, or the time alone.
type commandStep struct {
	after   time.Duration
	verb    string // "" for none
	attempt uint64
}

// Steps of the cases below. Images are pulled within three seconds.
var (
	runFirst    = commandStep{verb: wire.VerbRun, attempt: 1}
	runSecond   = commandStep{verb: wire.VerbRun, attempt: 2}
	repeatLater = commandStep{verb: wire.VerbRun, attempt: 1, after: 3 * time.Second}
	stopFirst   = commandStep{verb: wire.VerbStop, attempt: 1}
	stopLater   = commandStep{verb: wire.VerbStop, attempt: 1, after: 3 * time.Second}
	reapFirst   = commandStep{verb: wire.VerbReap, attempt: 1}
	pullImage   = commandStep{attempt: 1, after: 3 * time.Second}
)

// commandCases are commands for the first task of a job.
var commandCases = []struct {
	name       string
	change     func(spec *wire.JobSpec)
	steps      []commandStep
	state      string // of the newest attempt at the end, "" if it is not listed
	exitReason string
}{
	{
		name:  "a start fetches the image first",
		steps: []commandStep{runFirst},
		state: wire.TaskFetching,
	},
	{
		name:  "then it runs",
		steps: []commandStep{runFirst, pullImage},
		state: wire.TaskRunning,
	},
	{
		name:  "a repeated start has no effect",
		steps: []commandStep{runFirst, repeatLater},
		state: wire.TaskRunning,
	},
	{
		name:       "another attempt beside it is refused",
		steps:      []commandStep{runFirst, runSecond},
		state:      wire.TaskExited,
		exitReason: wire.ExitOtherAttemptPresent,
	},
	{
		name:       "one that does not fit is refused",
		change:     func(spec *wire.JobSpec) { spec.Gpus = 9 },
		steps:      []commandStep{runFirst},
		state:      wire.TaskExited,
		exitReason: wire.ExitInsufficientResources,
	},
	{
		name:       "a stop ends it",
		steps:      []commandStep{runFirst, stopLater},
		state:      wire.TaskExited,
		exitReason: wire.ExitStopped,
	},
	{
		name:   "a stop with grace lets it save",
		change: func(spec *wire.JobSpec) { spec.CheckpointIntervalS, spec.CheckpointSaveTimeS = 1, 4 },
		steps:  []commandStep{runFirst, stopLater},
		state:  wire.TaskSaving,
	},
	{
		name:  "an exited attempt is reaped",
		steps: []commandStep{runFirst, stopFirst, reapFirst},
		state: "",
	},
	{
		name:  "a running one is not",
		steps: []commandStep{runFirst, reapFirst},
		state: wire.TaskFetching,
	},
	{
		name:   "a gang waits for its other tasks",
		change: func(spec *wire.JobSpec) { spec.Shape = wire.ShapeGang },
		steps:  []commandStep{runFirst, pullImage},
		state:  wire.TaskWaiting,
	},
}

// TestWorkerCommands checks what a worker does with commands, by its heartbeats.
func TestWorkerCommands(t *testing.T) {
	grace := 5.0
	for _, test := range commandCases {
		t.Run(test.name, func(t *testing.T) {
			cluster := testCluster()
			cluster.addTestJob(test.change)
			newest := uint64(0)
			for _, step := range test.steps {
				cluster.advance(step.after)
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

// TestWorkerTokens checks which direct commands a worker executes, one after the other.
func TestWorkerTokens(t *testing.T) {
	cluster := testCluster()
	worker := cluster.Workers["a1"]
	for _, test := range []struct {
		name        string
		token       uint64
		incarnation uint64
		want        int
	}{
		{name: "a first token", token: 3, incarnation: 1, want: 200},
		{name: "the same again", token: 3, incarnation: 1, want: 200},
		{name: "a lower one", token: 2, incarnation: 1, want: 409},
		{name: "another incarnation", token: 4, incarnation: 2, want: 409},
	} {
		command := wire.DirectCommands{Token: test.token, Incarnation: test.incarnation}
		if status, heartbeat := worker.HandleCommand(command); status != test.want || heartbeat.Token != 3 {
			t.Errorf("%s: %d, token %d", test.name, status, heartbeat.Token)
		}
	}
	cluster.advance(12 * time.Second) // nobody answers: the lease expires
	if worker.Incarnation != 2 {
		t.Errorf("incarnation %d", worker.Incarnation)
	}
}
