package httpapi

import (
	"net/http"
	"strings"
	"time"

	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// requireMethod wraps a handler and rejects requests that use another method with status 405. A
// handler for GET also accepts HEAD.
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

// handleHealth responds without the event loop. A controller whose event loop is busy is not
// unhealthy. A load balancer that has removed a controller takes long to add it again.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if s.options.Healthy() {
		writeJSON(w, http.StatusOK, struct{}{}, 0)
		return
	}
	writeResponse(w, submission.UnavailableResponse("cannot take requests"))
}

func (s *Server) handleSubmit(w http.ResponseWriter, req *http.Request) {
	if len(s.options.Requests) == cap(s.options.Requests) {
		writeResponse(w, submission.BusyResponse()) // avoids the cost of parsing the body
		return
	}
	raw, err := readBody(w, req)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	spec, err := wire.ParseJobSpec(raw)
	if err != nil {
		s.options.Log.Debug("submission rejected", "error", err)
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.callController(w, req, func(now time.Time, reply func(submission.Response)) {
		s.options.Controller.Submit(now, spec, reply)
	})
}

// handleJob handles queries and cancellations of one job.
func (s *Server) handleJob(w http.ResponseWriter, req *http.Request) {
	jobID := strings.TrimPrefix(req.URL.Path, "/submissions/")
	if cancelledID, ok := strings.CutSuffix(jobID, "/cancel"); ok && !strings.Contains(cancelledID, "/") {
		requireMethod(http.MethodPost, func(w http.ResponseWriter, req *http.Request) {
			s.callController(w, req, func(now time.Time, reply func(submission.Response)) {
				s.options.Controller.Cancel(now, cancelledID, reply)
			})
		})(w, req)
		return
	}
	if strings.Contains(jobID, "/") {
		writeError(w, http.StatusNotFound, "no such path")
		return
	}
	requireMethod(http.MethodGet, func(w http.ResponseWriter, req *http.Request) {
		s.callController(w, req, func(now time.Time, reply func(submission.Response)) {
			s.options.Controller.Query(now, jobID, reply)
		})
	})(w, req)
}

// callController runs call on the event loop and writes the response that call passes to reply. If
// the queue is full, it responds with status 503 immediately.
func (s *Server) callController(w http.ResponseWriter, req *http.Request,
	call func(now time.Time, reply func(submission.Response))) {
	start := time.Now()
	responses := make(chan submission.Response, 1)
	reply := func(response submission.Response) { responses <- response }
	if !tryEnqueue(s.options.Requests, func(now time.Time) { call(now, reply) }) {
		writeResponse(w, submission.BusyResponse())
		return
	}
	select {
	case response := <-responses:
		s.options.ObserveLatency(time.Since(start))
		writeResponse(w, response)
	case <-req.Context().Done():
	}
}

// tryEnqueue adds an event to a queue. It returns false if the queue is full.
func tryEnqueue(queue chan<- func(now time.Time), event func(now time.Time)) bool {
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
		s.options.Log.Debug("heartbeat rejected", "from", req.RemoteAddr, "error", err)
		writeError(w, http.StatusBadRequest, "not a report")
		return
	}
	if markWorkerConnection(req) {
		w.Header().Set("Connection", "close")
	}
	responses := make(chan submission.Response, 1)
	received := s.options.Now()
	event := func(now time.Time) {
		s.options.Controller.ObserveQueueDelay(now.Sub(received))
		s.options.Controller.HandleHeartbeat(now, &heartbeat, func(status int, body any) {
			responses <- submission.Response{Status: status, Body: body}
		})
	}
	if !tryEnqueue(s.options.Heartbeats, event) && !s.enqueueWithTimeout(w, req, event) {
		return
	}
	select {
	case response := <-responses:
		writeResponse(w, response)
	case <-req.Context().Done():
	}
}

// enqueueWithTimeout waits until a full queue accepts a heartbeat. If the wait times out, it responds
// with status 503 and returns false. Rejecting heartbeats immediately would amplify the overload:
// workers would retry at other controllers and be redirected back. A worker has at most one
// heartbeat in flight, which bounds the number of waiting requests.
func (s *Server) enqueueWithTimeout(w http.ResponseWriter, req *http.Request, event func(now time.Time)) bool {
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
