package standin

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Times of the protocol that the settings do not give.
const (
	// answerTimeout is how long a worker waits for the answer to a report.
	answerTimeout = 4 * time.Second
	// nextNodePause is the pause before a worker reports to the next node.
	nextNodePause = time.Second
	// redirectPause is the pause before a worker follows a redirect.
	redirectPause = 100 * time.Millisecond
	// leastReportGap is the least time between two reports.
	leastReportGap = 500 * time.Millisecond
	// workerTick is how often a worker looks for what is due.
	workerTick = 100 * time.Millisecond
	// membersLost is how long the rest of a gang takes to notice a lost task.
	membersLost = 2 * time.Second
	// DefaultFetch is how long an image takes to be fetched.
	DefaultFetch = 2 * time.Second
)

// noReport is the number of the report under way when there is none, betweenNodes when
// the worker is about to turn to another node.
const (
	noReport     = 0
	betweenNodes = -1
)

// Worker is a stand-in for a machine's worker, by the protocol.
type Worker struct {
	Host    wire.Machine
	Cap     quota.Resources
	Fetch   time.Duration // that an image takes
	Dead    bool          // the machine is gone
	Hung    bool          // it executes nothing, and may go on later
	Faulty  bool          // every task fails on it
	Session uint64
	Seq     uint64
	Token   uint64
	Tasks   []*Task
	Images  map[string]bool
	Node    int       // the controller that it reports to
	Recall  time.Time // when the cloud takes the machine away; zero: no notice

	cluster  *Cluster
	leased   time.Time // when the last answered report was sent, or the session began
	inFlight int       // number of the report under way
	reports  int
	changed  bool
	lastSent time.Time
}

// AddWorker starts the worker of a machine that has booted. It reports from the next
// event of the clock on.
func (c *Cluster) AddWorker(host wire.Machine, capacity quota.Resources) *Worker {
	w := &Worker{Host: host, Cap: capacity, Fetch: DefaultFetch, Session: 1, Images: map[string]bool{},
		Node: c.rng.IntN(c.network.Nodes()), cluster: c, leased: c.Clock.Now(), changed: true}
	c.Workers[host.ID] = w
	c.names = nil
	c.Clock.In(0, w.tick)
	return w
}

// Find looks up an attempt of a task, or any attempt that has not ended if attempt is 0.
func (w *Worker) Find(job *Job, n int, attempt uint64) *Task {
	for _, t := range w.Tasks {
		if t.Job == job && t.N == n && (t.Attempt == attempt || attempt == 0 && t.OnMachine()) {
			return t
		}
	}
	return nil
}

// Free is the room that no task takes.
func (w *Worker) Free() quota.Resources {
	free := w.Cap
	for _, t := range w.Tasks {
		if t.OnMachine() {
			free = free.Sub(t.Job.need())
		}
	}
	return free
}

// Report is the worker's account of itself; each has the next sequence number.
func (w *Worker) Report() *wire.Heartbeat {
	w.Seq++
	r := &wire.Heartbeat{Host: w.Host.ID, Address: w.Host.Address, Type: w.Host.Type, Zone: w.Host.Zone, Spot: w.Host.Spot,
		Incarnation: w.Session, Sequence: w.Seq, Token: w.Token}
	if !w.Recall.IsZero() {
		left := max(0, w.Recall.Sub(w.cluster.Clock.Now()).Seconds())
		r.PreemptionNoticeS = &left
	}
	for _, t := range w.Tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Name: wire.TaskName(t.Job.Spec.ID, t.N), Attempt: t.Attempt, State: t.Stage, ExitReason: t.Cause, CheckpointSaved: t.Stored})
	}
	return r
}

// NoteChange makes the worker report as soon as it may.
func (w *Worker) NoteChange() { w.changed = true }

// tick is the worker's own time: leases, tasks and reports.
func (w *Worker) tick() {
	if w.Dead {
		return
	}
	clk := w.cluster.Clock
	clk.In(workerTick, w.tick)
	now := clk.Now()
	// a hanging machine goes on within its lease, or without its tasks
	if now.Sub(w.leased) > config.Seconds(w.cluster.Facts.Workers.LeaseS) {
		w.endSession(now)
	}
	if w.Hung {
		return
	}
	for _, t := range w.Tasks {
		w.advance(t)
	}
	gap := now.Sub(w.lastSent)
	due := gap > config.Seconds(w.cluster.Facts.Workers.HeartbeatS) || w.changed && gap > leastReportGap
	if w.inFlight == noReport && due {
		w.send()
	}
}

// endSession kills and forgets all tasks: the lease is over.
func (w *Worker) endSession(now time.Time) {
	w.Tasks = nil
	w.Session++
	w.leased = now
	w.inFlight = noReport
	w.changed = true
}

// send sends a report to one node; one is under way at a time.
func (w *Worker) send() {
	now := w.cluster.Clock.Now()
	w.reports++
	number, session := w.reports, w.Session
	w.inFlight, w.changed, w.lastSent = number, false, now
	report := w.Report()
	w.cluster.Clock.In(answerTimeout, func() {
		if w.inFlight == number && w.Session == session {
			w.nextNode(number)
		}
	})
	w.cluster.network.Send(w, w.Node, report, func(status int, commands wire.HeartbeatResponse, reportsTo string) {
		if w.inFlight != number || w.Dead || w.Hung || w.Session != session {
			return
		}
		w.answered(number, now, status, commands, reportsTo)
	})
}

// answered takes the answer to the report under way, which was sent at a time.
func (w *Worker) answered(number int, sent time.Time, status int, commands wire.HeartbeatResponse, reportsTo string) {
	switch status {
	case 200:
		w.inFlight = noReport
		if commands.Token < w.Token {
			return
		}
		w.sawToken(commands.Token)
		w.leased = sent
		w.execute(commands.Commands)
	case 421:
		to := w.cluster.network.NodeIndex(reportsTo)
		if to < 0 || to == w.Node {
			w.nextNode(number)
			return
		}
		w.turnTo(number, redirectPause, to)
	default:
		w.nextNode(number)
	}
}

func (w *Worker) nextNode(number int) {
	w.turnTo(number, nextNodePause, (w.Node+1)%w.cluster.network.Nodes())
}

// turnTo makes the worker report to another node after a pause.
func (w *Worker) turnTo(number int, pause time.Duration, node int) {
	if w.inFlight != number {
		return
	}
	w.inFlight = betweenNodes
	w.cluster.Clock.In(pause, func() {
		if w.inFlight == betweenNodes && !w.Dead {
			w.inFlight, w.Node = noReport, node
			w.changed = true
		}
	})
}

func (w *Worker) sawToken(token uint64) {
	if token > w.Token {
		w.Token, w.changed = token, true
	}
}

// Command executes a direct command that has reached the worker.
func (w *Worker) Command(d wire.DirectCommands) (status int, report *wire.Heartbeat) {
	if d.Token < w.Token || d.Incarnation != w.Session {
		return 409, w.Report()
	}
	w.sawToken(d.Token)
	w.execute(d.Commands)
	return 200, w.Report()
}

func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		id, n, ok := wire.ParseTask(command.Task)
		j := w.cluster.Jobs[id]
		if !ok || j == nil {
			w.cluster.Break(Expectation, "a command for a task that nobody submitted: %v", command)
			return
		}
		switch command.Verb {
		case wire.VerbRun:
			w.run(j, n, command.Attempt)
		case wire.VerbStop:
			w.stop(w.Find(j, n, command.Attempt), command.GracePeriodS)
		case wire.VerbReap:
			w.reap(w.Find(j, n, command.Attempt))
		}
	}
}

func (w *Worker) run(j *Job, n int, attempt uint64) {
	if w.Find(j, n, attempt) != nil {
		return
	}
	w.changed = true
	t := &Task{Job: j, N: n, Attempt: attempt, Stage: wire.TaskExited}
	switch {
	case w.Find(j, n, 0) != nil:
		t.Cause = wire.ExitOtherAttemptPresent
	case !w.Free().Fits(j.need()):
		t.Cause = wire.ExitInsufficientResources
	default:
		w.cluster.checkStart(w, j, n)
		t.Stage = wire.TaskFetching
		t.Until = w.cluster.Clock.Now()
		if !w.Images[j.Spec.Image] {
			t.Until = t.Until.Add(w.Fetch)
		}
		if w.cluster.Started != nil {
			w.cluster.Started(w, t)
		}
	}
	// refused starts are listed too until they are reaped
	w.Tasks = append(w.Tasks, t)
	if !slices.Contains(j.workers, w) {
		j.workers = append(j.workers, w)
	}
}

func (w *Worker) stop(t *Task, windDown *float64) {
	if t == nil || !t.OnMachine() {
		return
	}
	w.changed = true
	grace := 0.0
	if windDown != nil {
		grace = *windDown
	}
	spec := &t.Job.Spec
	switch {
	case t.Stage == wire.TaskRunning && spec.CheckpointIntervalS > 0 && grace >= spec.CheckpointSaveTimeS:
		t.Stage, t.Until = wire.TaskSaving, w.cluster.Clock.Now().Add(config.Seconds(spec.CheckpointSaveTimeS))
	case t.Stage == wire.TaskSaving && grace > 0:
	default:
		w.exit(t, wire.ExitStopped, false)
	}
}

func (w *Worker) reap(t *Task) {
	if t == nil || t.OnMachine() {
		return
	}
	w.Tasks = slices.DeleteFunc(w.Tasks, func(o *Task) bool { return o == t })
	w.changed = true
}
