package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// server is the HTTP server for users, workers and health checks.
func (r *Runtime) server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", requireMethod(http.MethodGet, r.handleHealth))
	mux.HandleFunc("/submissions", requireMethod(http.MethodPost, r.handleSubmit))
	mux.HandleFunc("/submissions/", r.handleJob)
	mux.HandleFunc("/checkin", requireMethod(http.MethodPost, r.handleHeartbeat))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusNotFound, submission.ErrorBody{Error: "no such path"}, 0)
	})
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		ReadTimeout:       tuning.HeaderTimeout,
		IdleTimeout:       idleTimeout(r.config.Platform.Workers),
		MaxHeaderBytes:    16 << 10,
	}
}

func requireMethod(method string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.Method != method && !(method == http.MethodGet && req.Method == http.MethodHead) {
			w.Header().Set("Allow", method)
			writeJSON(w, http.StatusMethodNotAllowed, submission.ErrorBody{Error: "method not allowed"}, 0)
			return
		}
		h(w, req)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any, retryAfter int) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw) // a client that has gone away is no concern of ours
}

func writeResponse(w http.ResponseWriter, resp submission.Response) {
	writeJSON(w, resp.Status, resp.Body, resp.RetryAfter)
}

// readBody reads a request body of at most the protocol's size. One that says that it is
// larger is refused unread, and a small one that says its size is read into just that;
// what a client only claims to send takes no memory.
func readBody(w http.ResponseWriter, req *http.Request) ([]byte, bool) {
	if req.ContentLength <= tuning.MaxBodyBytes {
		in := http.MaxBytesReader(w, req.Body, tuning.MaxBodyBytes)
		var raw []byte
		var err error
		if n := req.ContentLength; n >= 0 && n <= tuning.BodyPreallocateBytes {
			raw = make([]byte, n)
			_, err = io.ReadFull(in, raw)
		} else {
			raw, err = io.ReadAll(in)
		}
		if err == nil {
			return raw, true
		}
		var big *http.MaxBytesError
		if !errors.As(err, &big) {
			writeJSON(w, http.StatusBadRequest, submission.ErrorBody{Error: "body cannot be read"}, 0)
			return nil, false
		}
	}
	writeJSON(w, http.StatusBadRequest, submission.ErrorBody{Error: "body is too large"}, 0)
	return nil, false
}

// askOwner hands a user's request to the owner and waits for its answer. When the
// buffer is full the user is told so at once.
func (r *Runtime) askOwner(w http.ResponseWriter, req *http.Request, f func(now time.Time, reply func(submission.Response))) {
	start := time.Now()
	ch := make(chan submission.Response, 1)
	if !tryPost(r.requests, func(now time.Time) { f(now, func(s submission.Response) { ch <- s }) }) {
		writeResponse(w, submission.BusyResponse())
		return
	}
	select {
	case s := <-ch:
		r.latencies.record(latencyUser, time.Since(start))
		writeResponse(w, s)
	case <-req.Context().Done():
	}
}

// handleHealth does not wait for the owner: a node that is busy is not unhealthy, and
// the load balancer is slow to come back to one that was too late twice.
func (r *Runtime) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if r.healthy.Load() {
		writeJSON(w, http.StatusOK, struct{}{}, 0)
		return
	}
	writeResponse(w, submission.UnavailableResponse("cannot take requests"))
}

func (r *Runtime) handleSubmit(w http.ResponseWriter, req *http.Request) {
	if len(r.requests) == cap(r.requests) {
		writeResponse(w, submission.BusyResponse()) // before the work of reading it
		return
	}
	raw, ok := readBody(w, req)
	if !ok {
		return
	}
	spec, err := wire.ParseJobSpec(raw)
	if err != nil {
		r.log.Debug("submission refused", "error", err)
		writeJSON(w, http.StatusBadRequest, submission.ErrorBody{Error: err.Error()}, 0)
		return
	}
	r.askOwner(w, req, func(now time.Time, reply func(submission.Response)) {
		r.controller.submissions.Submit(now, spec, reply)
	})
}

func (r *Runtime) handleJob(w http.ResponseWriter, req *http.Request) {
	id := strings.TrimPrefix(req.URL.Path, "/submissions/")
	if cancelled, ok := strings.CutSuffix(id, "/cancel"); ok && !strings.Contains(cancelled, "/") {
		requireMethod(http.MethodPost, func(w http.ResponseWriter, req *http.Request) {
			r.askOwner(w, req, func(now time.Time, reply func(submission.Response)) {
				r.controller.submissions.Cancel(now, cancelled, reply)
			})
		})(w, req)
		return
	}
	if strings.Contains(id, "/") {
		writeJSON(w, http.StatusNotFound, submission.ErrorBody{Error: "no such path"}, 0)
		return
	}
	requireMethod(http.MethodGet, func(w http.ResponseWriter, req *http.Request) {
		r.askOwner(w, req, func(now time.Time, reply func(submission.Response)) { r.controller.submissions.Query(now, id, reply) })
	})(w, req)
}

func (r *Runtime) handleHeartbeat(w http.ResponseWriter, req *http.Request) {
	raw, ok := readBody(w, req)
	if !ok {
		return
	}
	var rep wire.Heartbeat
	if err := wire.ParseHeartbeat(raw, &rep); err != nil || rep.Host == "" || rep.Incarnation == 0 {
		r.log.Debug("report refused", "from", req.RemoteAddr, "error", err)
		writeJSON(w, http.StatusBadRequest, submission.ErrorBody{Error: "not a report"}, 0)
		return
	}
	if markWorkerConnection(req) {
		w.Header().Set("Connection", "close")
	}
	ch := make(chan submission.Response, 1)
	came := r.clock.Now()
	report := func(now time.Time) {
		r.controller.ObserveQueueDelay(now.Sub(came))
		r.controller.HandleHeartbeat(now, &rep, func(status int, body any) { ch <- submission.Response{Status: status, Body: body} })
	}
	if !tryPost(r.heartbeats, report) && !r.waitForTurn(w, req, report) {
		return
	}
	select {
	case s := <-ch:
		writeResponse(w, s)
	case <-req.Context().Done():
	}
}

// waitForTurn hands a report to the owner whose buffer is full. A worker has one report in
// hand, so it waits for its turn: refused, it would go to another node, be sent back
// and ask again, when there is most to do.
func (r *Runtime) waitForTurn(w http.ResponseWriter, req *http.Request, report func(now time.Time)) bool {
	late := time.NewTimer(tuning.HeartbeatQueueTimeout)
	defer late.Stop()
	select {
	case r.heartbeats <- report:
		return true
	case <-late.C:
		writeResponse(w, submission.UnavailableResponse("too many reports at once"))
	case <-req.Context().Done():
	}
	return false
}

// probeWorker tells whether a worker answers.
func probeWorker(ctx context.Context, client *http.Client, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/show", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, tuning.MaxWorkerResponseBytes))
	return err == nil && resp.StatusCode == http.StatusOK
}

// sendDirect sends a command straight to a worker.
func sendDirect(ctx context.Context, client *http.Client, addr string, d wire.DirectCommands) (int, *wire.Heartbeat) {
	raw, err := json.Marshal(d)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var rep wire.Heartbeat
	if err := json.NewDecoder(io.LimitReader(resp.Body, tuning.MaxWorkerResponseBytes)).Decode(&rep); err != nil {
		return 0, nil
	}
	return resp.StatusCode, &rep
}
