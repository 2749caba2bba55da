package fakes

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Durations of the protocol that the platform configuration does not contain.
const (
	// replyTimeout bounds the wait for the reply to a heartbeat.
	replyTimeout = 4 * time.Second
	// nextControllerBackoff is the delay before a worker fails over to the next controller.
	nextControllerBackoff = time.Second
	// redirectDelay is the delay before a worker follows a redirect.
	redirectDelay = 100 * time.Millisecond
	// minHeartbeatInterval is the minimum time between two heartbeats.
	minHeartbeatInterval = 500 * time.Millisecond
	// workerTickInterval is the interval at which a worker checks its lease, tasks and heartbeat.
	workerTickInterval = 100 * time.Millisecond
	// memberLossTimeout is the time after which the tasks of a gang exit because a gang member is lost.
	memberLossTimeout = 2 * time.Second
	// DefaultImagePullTime is the initial Worker.ImagePullTime.
	DefaultImagePullTime = 2 * time.Second
)

// Special values of Worker.inFlight: no heartbeat is in flight, or the worker is about to switch to
// another controller.
const (
	noHeartbeat        = 0
	betweenControllers = -1
)

// Worker fakes the worker process of a machine. Tests may change Hung, Faulty, ImagePullTime and
// PreemptionTime at any time.
type Worker struct {
	Host           wire.Machine
	Capacity       quota.Resources
	ImagePullTime  time.Duration
	Terminated     bool      // the cloud has deleted or preempted the machine
	Hung           bool      // the process is frozen and may resume later
	Faulty         bool      // every task fails on the worker
	PreemptionTime time.Time // when the cloud preempts the machine; zero without a notice

	Incarnation uint64 // incremented when the worker's lease expires
	Sequence    uint64 // of the latest heartbeat or reply
	Token       uint64 // highest fencing token received
	Tasks       []*Task
	Images      map[string]bool // pulled images
	Controller  int             // index of the controller that gets the heartbeats

	cluster        *Cluster
	leaseRenewedAt time.Time // send time of the last acknowledged heartbeat, or start of the incarnation

	inFlight           int // number of the heartbeat in flight, noHeartbeat or betweenControllers
	heartbeats         int // heartbeats sent so far
	heartbeatRequested bool
	lastHeartbeat      time.Time

	commandCopies []commandCopy
}

// AddWorker starts the worker of a booted machine. The worker sends its first heartbeat to a random
// controller, in an event of the clock.
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

// FindTask returns an attempt of a task, or nil. If attempt is 0, it returns any attempt that has
// not exited.
func (w *Worker) FindTask(job *Job, index int, attempt uint64) *Task {
	for _, task := range w.Tasks {
		if task.Job == job && task.Index == index && (task.Attempt == attempt || attempt == 0 && task.OnMachine()) {
			return task
		}
	}
	return nil
}

// acceptsTasks reports whether a task started on the worker now can complete.
func (w *Worker) acceptsTasks() bool {
	return !w.Hung && !w.Faulty && !w.Terminated && w.PreemptionTime.IsZero()
}

// Available returns the resources that no task occupies.
func (w *Worker) Available() quota.Resources {
	free := w.Capacity
	for _, task := range w.Tasks {
		if task.OnMachine() {
			free = free.Sub(task.Job.resources())
		}
	}
	return free
}

// RequestHeartbeat schedules a heartbeat as soon as minHeartbeatInterval allows.
func (w *Worker) RequestHeartbeat() { w.heartbeatRequested = true }

// tick checks the worker's lease, advances its tasks, sends a heartbeat that is due, and schedules
// the next tick.
func (w *Worker) tick() {
	if w.Terminated {
		return
	}
	clock := w.cluster.Clock
	clock.Schedule(workerTickInterval, w.tick)
	now := clock.Now()
	// Applies to hung workers too: a worker that resumes after its lease expiry has no tasks.
	if now.Sub(w.leaseRenewedAt) > config.Seconds(w.cluster.Config.Workers.LeaseS) {
		w.startIncarnation(now)
	}
	if w.Hung {
		return
	}
	w.deliverCopies()
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

// startIncarnation kills all tasks and starts a new incarnation after a lease expiry.
func (w *Worker) startIncarnation(now time.Time) {
	w.Tasks = nil
	w.Incarnation++
	w.leaseRenewedAt = now
	w.inFlight = noHeartbeat
	w.heartbeatRequested = true
}
