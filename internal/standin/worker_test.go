package standin

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// What a worker does with commands, as its reports tell.
func TestWorkerCommands(t *testing.T) {
	type step struct {
		verb    string
		attempt uint64
		after   time.Duration // played before it
	}
	grace := 5.0
	for _, test := range []struct {
		name  string
		spec  func(step *wire.JobSpec)
		steps []step
		stage string // of the newest attempt at the end, "" if it is not listed
		cause string
	}{
		{"a start fetches the image first", nil, []step{{wire.VerbRun, 1, 0}}, wire.TaskFetching, ""},
		{"then it runs", nil, []step{{wire.VerbRun, 1, 0}, {"", 1, 3 * time.Second}}, wire.TaskRunning, ""},
		{"a repeated start has no effect", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbRun, 1, 3 * time.Second}}, wire.TaskRunning, ""},
		{"another attempt beside it is refused", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbRun, 2, 0}}, wire.TaskExited, wire.ExitOtherAttemptPresent},
		{"one that does not fit is refused", func(step *wire.JobSpec) { step.Gpus = 9 }, []step{{wire.VerbRun, 1, 0}}, wire.TaskExited, wire.ExitInsufficientResources},
		{"a stop ends it", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbStop, 1, 3 * time.Second}}, wire.TaskExited, wire.ExitStopped},
		{"a stop with grace lets it save", func(step *wire.JobSpec) { step.CheckpointIntervalS, step.CheckpointSaveTimeS = 1, 4 }, []step{{wire.VerbRun, 1, 0}, {wire.VerbStop, 1, 3 * time.Second}}, wire.TaskSaving, ""},
		{"an exited attempt is reaped", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbStop, 1, 0}, {wire.VerbReap, 1, 0}}, "", ""},
		{"a running one is not", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbReap, 1, 0}}, wire.TaskFetching, ""},
		{"a gang waits for its other tasks", func(step *wire.JobSpec) { step.Shape = wire.ShapeGang }, []step{{wire.VerbRun, 1, 0}, {"", 1, 3 * time.Second}}, wire.TaskWaiting, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := testCluster()
			cluster.addTestJob(test.spec)
			worker := cluster.Workers["a1"]
			attempt := uint64(0)
			for _, step := range test.steps {
				cluster.advance(step.after)
				attempt = max(attempt, step.attempt)
				if step.verb != "" {
					worker.HandleCommand(wire.DirectCommands{Token: 1, Incarnation: worker.Incarnation, Commands: []wire.Command{{Verb: step.verb, Task: "job-1/0", Attempt: step.attempt, GracePeriodS: &grace}}})
				}
			}
			stage, cause := "", ""
			for _, task := range worker.Heartbeat().Tasks {
				if task.Attempt == attempt {
					stage, cause = task.State, task.ExitReason
				}
			}
			if stage != test.stage || cause != test.cause {
				t.Errorf("%s %s, want %s %s", stage, cause, test.stage, test.cause)
			}
		})
	}
}

// Which direct commands a worker executes.
func TestWorkerTokens(t *testing.T) {
	cluster := testCluster()
	worker := cluster.Workers["a1"]
	for _, test := range []struct {
		name           string
		token, session uint64
		want           int
	}{
		{"a first token", 3, 1, 200}, {"the same again", 3, 1, 200}, {"a lower one", 2, 1, 409}, {"another session", 4, 2, 409},
	} {
		if status, heartbeat := worker.HandleCommand(wire.DirectCommands{Token: test.token, Incarnation: test.session}); status != test.want || heartbeat.Token != 3 {
			t.Errorf("%s: %d, token %d", test.name, status, heartbeat.Token)
		}
	}
	cluster.advance(12 * time.Second) // nobody answers: the lease ends
	if worker.Incarnation != 2 {
		t.Errorf("session %d", worker.Incarnation)
	}
}
