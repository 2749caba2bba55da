package httpapi

import (
	"net/http"
	"strings"
	"time"

	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// requireMethod refuses requests of other methods.
func requireMethod(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.Method != method && !(method == http.MethodGet && req.Method == http.MethodHead) {
			w.Header().Set("Allow", method)
			writeError(w, http.StatusMethodNotAllowed, "method not allowed")
			return
		}
		handle(w, req)
	}
}

// handleHealth does not wait for the owner: a node that is busy is not unhealthy, and the
// load balancer is slow to come back to one that was too late twice.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if s.options.Healthy() {
		writeJSON(w, http.StatusOK, struct{}{}, 0)
		return
	}
	writeResponse(w, submission.UnavailableResponse("cannot take requests"))
}

func (s *Server) handleSubmit(w http.ResponseWriter, req *http.Request) {
	if len(s.options.Requests) == cap(s.options.Requests) {
		writeResponse(w, submission.BusyResponse()) // before the work of reading it
		return
	}
	raw, err := readBody(w, req)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	spec, err := wire.ParseJobSpec(raw)
	if err != nil {
		s.options.Log.Debug("submission refused", "error", err)
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.askOwner(w, req, func(now time.Time, reply func(submission.Response)) {
		s.options.Controller.Submit(now, spec, reply)
	})
}

// handleJob answers queries and cancellations of one job.
func (s *Server) handleJob(w http.ResponseWriter, req *http.Request) {
	job := strings.TrimPrefix(req.URL.Path, "/submissions/")
	if cancelled, ok := strings.CutSuffix(job, "/cancel"); ok && !strings.Contains(cancelled, "/") {
		requireMethod(http.MethodPost, func(w http.ResponseWriter, req *http.Request) {
			s.askOwner(w, req, func(now time.Time, reply func(submission.Response)) {
				s.options.Controller.Cancel(now, cancelled, reply)
			})
		})(w, req)
		return
	}
	if strings.Contains(job, "/") {
		writeError(w, http.StatusNotFound, "no such path")
		return
	}
	requireMethod(http.MethodGet, func(w http.ResponseWriter, req *http.Request) {
		s.askOwner(w, req, func(now time.Time, reply func(submission.Response)) {
			s.options.Controller.Query(now, job, reply)
		})
	})(w, req)
}

// askOwner hands a user's request to the owner and waits for its answer. When the queue is
// full the user is told so at once.
func (s *Server) askOwner(w http.ResponseWriter, req *http.Request,
	ask func(now time.Time, reply func(submission.Response))) {
	start := time.Now()
	answered := make(chan submission.Response, 1)
	reply := func(response submission.Response) { answered <- response }
	if !tryPost(s.options.Requests, func(now time.Time) { ask(now, reply) }) {
		writeResponse(w, submission.BusyResponse())
		return
	}
	select {
	case response := <-answered:
		s.options.ObserveLatency(time.Since(start))
		writeResponse(w, response)
	case <-req.Context().Done():
	}
}

// tryPost puts an event into a queue unless that is full.
func tryPost(queue chan<- func(now time.Time), event func(now time.Time)) bool {
	select {
	case queue <- event:
		return true
	default:
		return false
	}
}

func (s *Server) handleHeartbeat(w http.ResponseWriter, req *http.Request) {
	raw, err := readBody(w, req)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	var heartbeat wire.Heartbeat
	err = wire.ParseHeartbeat(raw, &heartbeat)
	if err != nil || heartbeat.Host == "" || heartbeat.Incarnation == 0 {
		s.options.Log.Debug("heartbeat refused", "from", req.RemoteAddr, "error", err)
		writeError(w, http.StatusBadRequest, "not a report")
		return
	}
	if markWorkerConnection(req) {
		w.Header().Set("Connection", "close")
	}
	answered := make(chan submission.Response, 1)
	received := s.options.Now()
	event := func(now time.Time) {
		s.options.Controller.ObserveQueueDelay(now.Sub(received))
		s.options.Controller.HandleHeartbeat(now, &heartbeat, func(status int, body any) {
			answered <- submission.Response{Status: status, Body: body}
		})
	}
	if !tryPost(s.options.Heartbeats, event) && !s.waitForTurn(w, req, event) {
		return
	}
	select {
	case response := <-answered:
		writeResponse(w, response)
	case <-req.Context().Done():
	}
}

// waitForTurn hands a heartbeat to the owner whose queue is full. A worker has one heartbeat
// in hand, so it waits for its turn: refused, it would go to another node, be sent back and
// ask again, when there is most to do.
func (s *Server) waitForTurn(w http.ResponseWriter, req *http.Request, event func(now time.Time)) bool {
	timeout := time.NewTimer(tuning.HeartbeatQueueTimeout)
	defer timeout.Stop()
	select {
	case s.options.Heartbeats <- event:
		return true
	case <-timeout.C:
		writeResponse(w, submission.UnavailableResponse("too many reports at once"))
	case <-req.Context().Done():
	}
	return false
}
