package fakes

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Times of the protocol that the platform configuration does not give.
const (
	// replyTimeout is how long a worker waits for the reply to a heartbeat.
	replyTimeout = 4 * time.Second
	// nextControllerPause is the pause before a worker turns to the next controller.
	nextControllerPause = time.Second
	// redirectPause is the pause before a worker follows a redirect.
	redirectPause = 100 * time.Millisecond
	// minHeartbeatInterval is the least time between two heartbeats.
	minHeartbeatInterval = 500 * time.Millisecond
	// workerTickInterval is how often a worker looks for what is due.
	workerTickInterval = 100 * time.Millisecond
	// peerLossTimeout is how long the rest of a gang takes to notice a lost task.
	peerLossTimeout = 2 * time.Second
	// DefaultImagePullTime is how long a worker takes to pull an image.
	DefaultImagePullTime = 2 * time.Second
)

// Numbers of the heartbeat in flight that are none: there is none, or the worker is about to turn to
// another controller.
const (
	noHeartbeat        = 0
	betweenControllers = -1
)

// Worker is the fake of a machine's worker. Tests may change Hung, Faulty, ImagePullTime and
// PreemptionTime at any time.
type Worker struct {
	Host           wire.Machine
	Capacity       quota.Resources
	ImagePullTime  time.Duration
	Terminated     bool      // the machine has ended
	Hung           bool      // it executes nothing, and may go on later
	Faulty         bool      // every task fails on it
	PreemptionTime time.Time // when the cloud takes the machine away; zero: no notice

	Incarnation uint64 // grows whenever its lease expires
	Sequence    uint64 // of the newest heartbeat or reply
	Token       uint64 // the highest that it has received
	Tasks       []*Task
	Images      map[string]bool // the images that it has pulled
	Controller  int             // the controller that it sends heartbeats to

	cluster        *Cluster
	leaseRenewedAt time.Time // when the last answered heartbeat was sent, or the incarnation began

	inFlight           int // number of the heartbeat in flight
	heartbeats         int // heartbeats sent so far
	heartbeatRequested bool
	lastHeartbeat      time.Time
}

// AddWorker starts the worker of a machine that has booted. It sends heartbeats from the next event
// of the clock on, first to a random controller.
func (c *Cluster) AddWorker(host wire.Machine, capacity quota.Resources) *Worker {
	w := &Worker{
		Host:               host,
		Capacity:           capacity,
		ImagePullTime:      DefaultImagePullTime,
		Incarnation:        1,
		Images:             map[string]bool{},
		Controller:         c.rng.IntN(c.network.Nodes()),
		cluster:            c,
		leaseRenewedAt:     c.Clock.Now(),
		heartbeatRequested: true,
	}
	c.Workers[host.ID] = w
	c.machineNames = nil
	c.Clock.Schedule(0, w.tick)
	return w
}

// Find looks up an attempt of a task, or any attempt that has not ended if attempt is 0.
func (w *Worker) FindTask(job *Job, index int, attempt uint64) *Task {
	for _, task := range w.Tasks {
		if task.Job == job && task.Index == index && (task.Attempt == attempt || attempt == 0 && task.OnMachine()) {
			return task
		}
	}
	return nil
}

// acceptsTasks reports whether a task that is started on the worker now may complete.
func (w *Worker) acceptsTasks() bool {
	return !w.Hung && !w.Faulty && !w.Terminated && w.PreemptionTime.IsZero()
}

// Available is the resources that no task takes.
func (w *Worker) Available() quota.Resources {
	free := w.Capacity
	for _, task := range w.Tasks {
		if task.OnMachine() {
			free = free.Sub(task.Job.resources())
		}
	}
	return free
}

// RequestHeartbeat makes the worker send a heartbeat as soon as it may.
func (w *Worker) RequestHeartbeat() { w.heartbeatRequested = true }

// tick does what is due on the worker, again and again: its lease, its tasks, its heartbeat.
func (w *Worker) tick() {
	if w.Terminated {
		return
	}
	clock := w.cluster.Clock
	clock.Schedule(workerTickInterval, w.tick)
	now := clock.Now()
	// Also while hung: a machine that goes on later does so within its lease or without its tasks.
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
	due := sinceLast > config.Seconds(w.cluster.Config.Workers.HeartbeatS) ||
		w.heartbeatRequested && sinceLast > minHeartbeatInterval
	if w.inFlight == noHeartbeat && due {
		w.sendHeartbeat()
	}
}

// startIncarnation kills and forgets all tasks, because the lease has expired.
func (w *Worker) startIncarnation(now time.Time) {
	w.Tasks = nil
	w.Incarnation++
	w.leaseRenewedAt = now
	w.inFlight = noHeartbeat
	w.heartbeatRequested = true
}
