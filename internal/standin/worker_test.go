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
	for _, c := range []struct {
		name  string
		spec  func(s *wire.JobSpec)
		steps []step
		stage string // of the newest attempt at the end, "" if it is not listed
		cause string
	}{
		{"a start fetches the image first", nil, []step{{wire.VerbRun, 1, 0}}, wire.TaskFetching, ""},
		{"then it runs", nil, []step{{wire.VerbRun, 1, 0}, {"", 1, 3 * time.Second}}, wire.TaskRunning, ""},
		{"a repeated start has no effect", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbRun, 1, 3 * time.Second}}, wire.TaskRunning, ""},
		{"another attempt beside it is refused", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbRun, 2, 0}}, wire.TaskExited, wire.ExitOtherAttemptPresent},
		{"one that does not fit is refused", func(s *wire.JobSpec) { s.Gpus = 9 }, []step{{wire.VerbRun, 1, 0}}, wire.TaskExited, wire.ExitInsufficientResources},
		{"a stop ends it", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbStop, 1, 3 * time.Second}}, wire.TaskExited, wire.ExitStopped},
		{"a stop with grace lets it save", func(s *wire.JobSpec) { s.CheckpointIntervalS, s.CheckpointSaveTimeS = 1, 4 }, []step{{wire.VerbRun, 1, 0}, {wire.VerbStop, 1, 3 * time.Second}}, wire.TaskSaving, ""},
		{"an exited attempt is reaped", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbStop, 1, 0}, {wire.VerbReap, 1, 0}}, "", ""},
		{"a running one is not", nil, []step{{wire.VerbRun, 1, 0}, {wire.VerbReap, 1, 0}}, wire.TaskFetching, ""},
		{"a gang waits for its other tasks", func(s *wire.JobSpec) { s.Shape = wire.ShapeGang }, []step{{wire.VerbRun, 1, 0}, {"", 1, 3 * time.Second}}, wire.TaskWaiting, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := testCluster()
			cluster.testJob(c.spec)
			w := cluster.Workers["a1"]
			attempt := uint64(0)
			for _, s := range c.steps {
				cluster.play(s.after)
				attempt = max(attempt, s.attempt)
				if s.verb != "" {
					w.Command(wire.DirectCommands{Token: 1, Incarnation: w.Session, Commands: []wire.Command{{Verb: s.verb, Task: "job-1/0", Attempt: s.attempt, GracePeriodS: &grace}}})
				}
			}
			stage, cause := "", ""
			for _, p := range w.Report().Tasks {
				if p.Attempt == attempt {
					stage, cause = p.State, p.ExitReason
				}
			}
			if stage != c.stage || cause != c.cause {
				t.Errorf("%s %s, want %s %s", stage, cause, c.stage, c.cause)
			}
		})
	}
}

// Which direct commands a worker executes.
func TestWorkerTokens(t *testing.T) {
	cluster := testCluster()
	w := cluster.Workers["a1"]
	for _, c := range []struct {
		name           string
		token, session uint64
		want           int
	}{
		{"a first token", 3, 1, 200}, {"the same again", 3, 1, 200}, {"a lower one", 2, 1, 409}, {"another session", 4, 2, 409},
	} {
		if status, rep := w.Command(wire.DirectCommands{Token: c.token, Incarnation: c.session}); status != c.want || rep.Token != 3 {
			t.Errorf("%s: %d, token %d", c.name, status, rep.Token)
		}
	}
	cluster.play(12 * time.Second) // nobody answers: the lease ends
	if w.Session != 2 {
		t.Errorf("session %d", w.Session)
	}
}
