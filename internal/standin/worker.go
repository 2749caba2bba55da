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
	// replyTimeout is how long a worker waits for the answer to a report.
	replyTimeout = 4 * time.Second
	// nextControllerPause is the pause before a worker reports to the next node.
	nextControllerPause = time.Second
	// redirectPause is the pause before a worker follows a redirect.
	redirectPause = 100 * time.Millisecond
	// minHeartbeatInterval is the least time between two reports.
	minHeartbeatInterval = 500 * time.Millisecond
	// workerTickInterval is how often a worker looks for what is due.
	workerTickInterval = 100 * time.Millisecond
	// peerLossTimeout is how long the rest of a gang takes to notice a lost task.
	peerLossTimeout = 2 * time.Second
	// DefaultImagePullTime is how long an image takes to be fetched.
	DefaultImagePullTime = 2 * time.Second
)

// noHeartbeat is the number of the report under way when there is none, betweenNodes when
// the worker is about to turn to another node.
const (
	noHeartbeat        = 0
	betweenControllers = -1
)

// Worker is a stand-in for a machine's worker, by the protocol.
type Worker struct {
	Host           wire.Machine
	Capacity       quota.Resources
	ImagePullTime  time.Duration // that an image takes
	Terminated     bool          // the machine is gone
	Hung           bool          // it executes nothing, and may go on later
	Faulty         bool          // every task fails on it
	Incarnation    uint64
	Sequence       uint64
	Token          uint64
	Tasks          []*Task
	Images         map[string]bool
	Controller     int       // the controller that it reports to
	PreemptionTime time.Time // when the cloud takes the machine away; zero: no notice

	cluster            *Cluster
	leaseRenewedAt     time.Time // when the last answered report was sent, or the session began
	inFlight           int       // number of the report under way
	heartbeats         int
	heartbeatRequested bool
	lastHeartbeat      time.Time
}

// AddWorker starts the worker of a machine that has booted. It reports from the next
// event of the clock on.
func (c *Cluster) AddWorker(host wire.Machine, capacity quota.Resources) *Worker {
	w := &Worker{Host: host, Capacity: capacity, ImagePullTime: DefaultImagePullTime, Incarnation: 1, Images: map[string]bool{},
		Controller: c.rng.IntN(c.network.Nodes()), cluster: c, leaseRenewedAt: c.Clock.Now(), heartbeatRequested: true}
	c.Workers[host.ID] = w
	c.machineNames = nil
	c.Clock.Schedule(0, w.tick)
	return w
}

// Find looks up an attempt of a task, or any attempt that has not ended if attempt is 0.
func (w *Worker) Find(job *Job, index int, attempt uint64) *Task {
	for _, task := range w.Tasks {
		if task.Job == job && task.Index == index && (task.Attempt == attempt || attempt == 0 && task.OnMachine()) {
			return task
		}
	}
	return nil
}

// Available is the room that no task takes.
func (w *Worker) Available() quota.Resources {
	free := w.Capacity
	for _, task := range w.Tasks {
		if task.OnMachine() {
			free = free.Sub(task.Job.resources())
		}
	}
	return free
}

// Heartbeat is the worker's account of itself; each has the next sequence number.
func (w *Worker) Heartbeat() *wire.Heartbeat {
	w.Sequence++
	heartbeat := &wire.Heartbeat{Host: w.Host.ID, Address: w.Host.Address, Type: w.Host.Type, Zone: w.Host.Zone, Spot: w.Host.Spot,
		Incarnation: w.Incarnation, Sequence: w.Sequence, Token: w.Token}
	if !w.PreemptionTime.IsZero() {
		remaining := max(0, w.PreemptionTime.Sub(w.cluster.Clock.Now()).Seconds())
		heartbeat.PreemptionNoticeS = &remaining
	}
	for _, task := range w.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Name: wire.TaskName(task.Job.Spec.ID, task.Index), Attempt: task.Attempt, State: task.State, ExitReason: task.ExitReason, CheckpointSaved: task.CheckpointSaved})
	}
	return heartbeat
}

// RequestHeartbeat makes the worker report as soon as it may.
func (w *Worker) RequestHeartbeat() { w.heartbeatRequested = true }

// tick is the worker's own time: leases, tasks and reports.
func (w *Worker) tick() {
	if w.Terminated {
		return
	}
	clock := w.cluster.Clock
	clock.Schedule(workerTickInterval, w.tick)
	now := clock.Now()
	// a hanging machine goes on within its lease, or without its tasks
	if now.Sub(w.leaseRenewedAt) > config.Seconds(w.cluster.Config.Workers.LeaseS) {
		w.startIncarnation(now)
	}
	if w.Hung {
		return
	}
	for _, task := range w.Tasks {
		w.advance(task)
	}
	sinceLast := now.Sub(w.lastHeartbeat)
	due := sinceLast > config.Seconds(w.cluster.Config.Workers.HeartbeatS) || w.heartbeatRequested && sinceLast > minHeartbeatInterval
	if w.inFlight == noHeartbeat && due {
		w.sendHeartbeat()
	}
}

// startIncarnation kills and forgets all tasks: the lease is over.
func (w *Worker) startIncarnation(now time.Time) {
	w.Tasks = nil
	w.Incarnation++
	w.leaseRenewedAt = now
	w.inFlight = noHeartbeat
	w.heartbeatRequested = true
}

// sendHeartbeat sends a report to one node; one is under way at a time.
func (w *Worker) sendHeartbeat() {
	now := w.cluster.Clock.Now()
	w.heartbeats++
	number, incarnation := w.heartbeats, w.Incarnation
	w.inFlight, w.heartbeatRequested, w.lastHeartbeat = number, false, now
	heartbeat := w.Heartbeat()
	w.cluster.Clock.Schedule(replyTimeout, func() {
		if w.inFlight == number && w.Incarnation == incarnation {
			w.nextController(number)
		}
	})
	w.cluster.network.Send(w, w.Controller, heartbeat, func(status int, commands wire.HeartbeatResponse, reportsTo string) {
		if w.inFlight != number || w.Terminated || w.Hung || w.Incarnation != incarnation {
			return
		}
		w.handleReply(number, now, status, commands, reportsTo)
	})
}

// handleReply takes the answer to the report under way, which was sent at a time.
func (w *Worker) handleReply(number int, sent time.Time, status int, commands wire.HeartbeatResponse, reportsTo string) {
	switch status {
	case 200:
		w.inFlight = noHeartbeat
		if commands.Token < w.Token {
			return
		}
		w.observeToken(commands.Token)
		w.leaseRenewedAt = sent
		w.execute(commands.Commands)
	case 421:
		controller := w.cluster.network.NodeIndex(reportsTo)
		if controller < 0 || controller == w.Controller {
			w.nextController(number)
			return
		}
		w.switchController(number, redirectPause, controller)
	default:
		w.nextController(number)
	}
}

func (w *Worker) nextController(number int) {
	w.switchController(number, nextControllerPause, (w.Controller+1)%w.cluster.network.Nodes())
}

// switchController makes the worker report to another node after a pause.
func (w *Worker) switchController(number int, pause time.Duration, controller int) {
	if w.inFlight != number {
		return
	}
	w.inFlight = betweenControllers
	w.cluster.Clock.Schedule(pause, func() {
		if w.inFlight == betweenControllers && !w.Terminated {
			w.inFlight, w.Controller = noHeartbeat, controller
			w.heartbeatRequested = true
		}
	})
}

func (w *Worker) observeToken(token uint64) {
	if token > w.Token {
		w.Token, w.heartbeatRequested = token, true
	}
}

// HandleCommand executes a direct command that has reached the worker.
func (w *Worker) HandleCommand(command wire.DirectCommands) (status int, heartbeat *wire.Heartbeat) {
	if command.Token < w.Token || command.Incarnation != w.Incarnation {
		return 409, w.Heartbeat()
	}
	w.observeToken(command.Token)
	w.execute(command.Commands)
	return 200, w.Heartbeat()
}

func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		jobID, index, ok := wire.ParseTask(command.Task)
		job := w.cluster.Jobs[jobID]
		if !ok || job == nil {
			w.cluster.AddViolation(Expectation, "a command for a task that nobody submitted: %v", command)
			return
		}
		switch command.Verb {
		case wire.VerbRun:
			w.run(job, index, command.Attempt)
		case wire.VerbStop:
			w.stop(w.Find(job, index, command.Attempt), command.GracePeriodS)
		case wire.VerbReap:
			w.reap(w.Find(job, index, command.Attempt))
		}
	}
}

func (w *Worker) run(job *Job, index int, attempt uint64) {
	if w.Find(job, index, attempt) != nil {
		return
	}
	w.heartbeatRequested = true
	task := &Task{Job: job, Index: index, Attempt: attempt, State: wire.TaskExited}
	switch {
	case w.Find(job, index, 0) != nil:
		task.ExitReason = wire.ExitOtherAttemptPresent
	case !w.Available().Fits(job.resources()):
		task.ExitReason = wire.ExitInsufficientResources
	default:
		w.cluster.checkStart(w, job, index)
		task.State = wire.TaskFetching
		task.StateEndsAt = w.cluster.Clock.Now()
		if !w.Images[job.Spec.Image] {
			task.StateEndsAt = task.StateEndsAt.Add(w.ImagePullTime)
		}
		if w.cluster.OnTaskStart != nil {
			w.cluster.OnTaskStart(w, task)
		}
	}
	// refused starts are listed too until they are reaped
	w.Tasks = append(w.Tasks, task)
	if !slices.Contains(job.workers, w) {
		job.workers = append(job.workers, w)
	}
}

func (w *Worker) stop(task *Task, windDownS *float64) {
	if task == nil || !task.OnMachine() {
		return
	}
	w.heartbeatRequested = true
	grace := 0.0
	if windDownS != nil {
		grace = *windDownS
	}
	spec := &task.Job.Spec
	switch {
	case task.State == wire.TaskRunning && spec.CheckpointIntervalS > 0 && grace >= spec.CheckpointSaveTimeS:
		task.State, task.StateEndsAt = wire.TaskSaving, w.cluster.Clock.Now().Add(config.Seconds(spec.CheckpointSaveTimeS))
	case task.State == wire.TaskSaving && grace > 0:
	default:
		w.exit(task, wire.ExitStopped, false)
	}
}

func (w *Worker) reap(task *Task) {
	if task == nil || task.OnMachine() {
		return
	}
	w.Tasks = slices.DeleteFunc(w.Tasks, func(other *Task) bool { return other == task })
	w.heartbeatRequested = true
}
