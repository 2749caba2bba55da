package fakes

import (
	"net/http"
	"time"

	"juniperchute/internal/wire"
)

// Heartbeat returns a heartbeat with the worker's status and increments the sequence number.
func (w *Worker) Heartbeat() *wire.Heartbeat {
	w.Sequence++
	heartbeat := &wire.Heartbeat{
		Host:        w.Host.ID,
		Address:     w.Host.Address,
		Type:        w.Host.Type,
		Zone:        w.Host.Zone,
		Spot:        w.Host.Spot,
		Incarnation: w.Incarnation,
		Sequence:    w.Sequence,
		Token:       w.Token,
	}
	if !w.PreemptionTime.IsZero() {
		remaining := max(0, w.PreemptionTime.Sub(w.cluster.Clock.Now()).Seconds())
		heartbeat.PreemptionNoticeS = &remaining
	}
	for _, task := range w.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Name:            wire.TaskName(task.Job.Spec.ID, task.Index),
			Attempt:         task.Attempt,
			State:           task.State,
			ExitReason:      task.ExitReason,
			CheckpointSaved: task.CheckpointSaved,
		})
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat to the current controller. No heartbeat may be in flight.
func (w *Worker) sendHeartbeat() {
	now := w.cluster.Clock.Now()
	w.heartbeats++
	number, incarnation := w.heartbeats, w.Incarnation
	w.inFlight, w.heartbeatRequested, w.lastHeartbeat = number, false, now
	heartbeat := w.Heartbeat()
	running := w.runningTasks()
	w.cluster.Clock.Schedule(replyTimeout, func() {
		if w.inFlight == number && w.Incarnation == incarnation {
			w.tryNextController(number)
		}
	})
	reply := func(status int, response wire.HeartbeatResponse, redirectTo string) {
		if w.inFlight != number || w.Terminated || w.Hung || w.Incarnation != incarnation {
			return
		}
		if status == http.StatusOK && response.Token >= w.Token {
			w.recordRunReported(running)
		}
		w.handleReply(number, now, status, response, redirectTo)
	}
	w.cluster.network.Send(w, w.Controller, heartbeat, reply)
}

// runningTasks returns the running tasks that no answered heartbeat has listed as running.
func (w *Worker) runningTasks() (running []*Task) {
	for _, task := range w.Tasks {
		if task.State == wire.TaskRunning && task.runReportedAt.IsZero() {
			running = append(running, task)
		}
	}
	return running
}

// recordRunReported records the response to a heartbeat that listed the given tasks as running.
func (w *Worker) recordRunReported(running []*Task) {
	for _, task := range running {
		task.runReportedAt = w.cluster.Clock.Now()
	}
}

// handleReply handles the reply to the heartbeat in flight. A successful reply renews the worker's
// lease from the time at which the heartbeat was sent.
func (w *Worker) handleReply(
	number int, sent time.Time, status int, response wire.HeartbeatResponse, redirectTo string,
) {
	switch status {
	case http.StatusOK:
		w.inFlight = noHeartbeat
		if response.Token < w.Token {
			return
		}
		w.observeToken(response.Token)
		w.leaseRenewedAt = sent
		w.execute(response.Commands)
	case http.StatusMisdirectedRequest:
		controller := w.cluster.network.NodeIndex(redirectTo)
		if controller < 0 || controller == w.Controller {
			w.tryNextController(number)
			return
		}
		w.switchController(number, redirectDelay, controller)
	default:
		w.tryNextController(number)
	}
}

// tryNextController switches to the next controller after a backoff.
func (w *Worker) tryNextController(number int) {
	w.switchController(number, nextControllerBackoff, (w.Controller+1)%w.cluster.network.Nodes())
}

// switchController switches to another controller after a delay, unless the heartbeat with that
// number is no longer in flight.
func (w *Worker) switchController(number int, delay time.Duration, controller int) {
	if w.inFlight != number {
		return
	}
	w.inFlight = betweenControllers
	w.cluster.Clock.Schedule(delay, func() {
		if w.inFlight == betweenControllers && !w.Terminated {
			w.inFlight, w.Controller = noHeartbeat, controller
			w.heartbeatRequested = true
		}
	})
}

// observeToken raises the worker's fencing token and acknowledges a higher one in a heartbeat.
func (w *Worker) observeToken(token uint64) {
	if token > w.Token {
		w.Token, w.heartbeatRequested = token, true
	}
}
