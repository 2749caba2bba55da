package node

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
	mux.HandleFunc("/healthz", only(http.MethodGet, r.health))
	mux.HandleFunc("/submissions", only(http.MethodPost, r.submit))
	mux.HandleFunc("/submissions/", r.job)
	mux.HandleFunc("/checkin", only(http.MethodPost, r.checkin))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusNotFound, submission.ErrorBody{Error: "no such path"}, 0)
	})
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		ReadTimeout:       tuning.HeaderTimeout,
		IdleTimeout:       idleTimeout(r.cfg.Facts.Workers),
		MaxHeaderBytes:    16 << 10,
	}
}

func only(method string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.Method != method && !(method == http.MethodGet && req.Method == http.MethodHead) {
			w.Header().Set("Allow", method)
			answer(w, http.StatusMethodNotAllowed, submission.ErrorBody{Error: "method not allowed"}, 0)
			return
		}
		h(w, req)
	}
}

func answer(w http.ResponseWriter, status int, body any, retryAfter int) {
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

func respond(w http.ResponseWriter, resp submission.Response) {
	answer(w, resp.Status, resp.Body, resp.RetryAfter)
}

// body reads a request body of at most the protocol's size. One that says that it is
// larger is refused unread, and a small one that says its size is read into just that;
// what a client only claims to send takes no memory.
func body(w http.ResponseWriter, req *http.Request) ([]byte, bool) {
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
			answer(w, http.StatusBadRequest, submission.ErrorBody{Error: "body cannot be read"}, 0)
			return nil, false
		}
	}
	answer(w, http.StatusBadRequest, submission.ErrorBody{Error: "body is too large"}, 0)
	return nil, false
}

// ask hands a user's request to the owner and waits for its answer. When the
// buffer is full the user is told so at once.
func (r *Runtime) ask(w http.ResponseWriter, req *http.Request, f func(now time.Time, reply func(submission.Response))) {
	start := time.Now()
	ch := make(chan submission.Response, 1)
	if !offer(r.users, func(now time.Time) { f(now, func(s submission.Response) { ch <- s }) }) {
		respond(w, submission.BusyResponse())
		return
	}
	select {
	case s := <-ch:
		r.lat.note(latUser, time.Since(start))
		respond(w, s)
	case <-req.Context().Done():
	}
}

// health does not wait for the owner: a node that is busy is not unhealthy, and
// the load balancer is slow to come back to one that was too late twice.
func (r *Runtime) health(w http.ResponseWriter, _ *http.Request) {
	if r.healthy.Load() {
		answer(w, http.StatusOK, struct{}{}, 0)
		return
	}
	respond(w, submission.UnavailableResponse("cannot take requests"))
}

func (r *Runtime) submit(w http.ResponseWriter, req *http.Request) {
	if len(r.users) == cap(r.users) {
		respond(w, submission.BusyResponse()) // before the work of reading it
		return
	}
	raw, ok := body(w, req)
	if !ok {
		return
	}
	spec, err := wire.ParseSubmission(raw)
	if err != nil {
		r.log.Debug("submission refused", "error", err)
		answer(w, http.StatusBadRequest, submission.ErrorBody{Error: err.Error()}, 0)
		return
	}
	r.ask(w, req, func(now time.Time, reply func(submission.Response)) { r.core.users.Submit(now, spec, reply) })
}

func (r *Runtime) job(w http.ResponseWriter, req *http.Request) {
	id := strings.TrimPrefix(req.URL.Path, "/submissions/")
	if cancelled, ok := strings.CutSuffix(id, "/cancel"); ok && !strings.Contains(cancelled, "/") {
		only(http.MethodPost, func(w http.ResponseWriter, req *http.Request) {
			r.ask(w, req, func(now time.Time, reply func(submission.Response)) { r.core.users.Cancel(now, cancelled, reply) })
		})(w, req)
		return
	}
	if strings.Contains(id, "/") {
		answer(w, http.StatusNotFound, submission.ErrorBody{Error: "no such path"}, 0)
		return
	}
	only(http.MethodGet, func(w http.ResponseWriter, req *http.Request) {
		r.ask(w, req, func(now time.Time, reply func(submission.Response)) { r.core.users.Query(now, id, reply) })
	})(w, req)
}

func (r *Runtime) checkin(w http.ResponseWriter, req *http.Request) {
	raw, ok := body(w, req)
	if !ok {
		return
	}
	var rep wire.Report
	if err := wire.ParseReport(raw, &rep); err != nil || rep.Host == "" || rep.Session == 0 {
		r.log.Debug("report refused", "from", req.RemoteAddr, "error", err)
		answer(w, http.StatusBadRequest, submission.ErrorBody{Error: "not a report"}, 0)
		return
	}
	if noteWorker(req) {
		w.Header().Set("Connection", "close")
	}
	ch := make(chan submission.Response, 1)
	came := r.clock.Now()
	report := func(now time.Time) {
		r.core.Waited(now.Sub(came))
		r.core.Report(now, &rep, func(status int, body any) { ch <- submission.Response{Status: status, Body: body} })
	}
	if !offer(r.reports, report) && !r.wait(w, req, report) {
		return
	}
	select {
	case s := <-ch:
		respond(w, s)
	case <-req.Context().Done():
	}
}

// wait hands a report to the owner whose buffer is full. A worker has one report in
// hand, so it waits for its turn: refused, it would go to another node, be sent back
// and ask again, when there is most to do.
func (r *Runtime) wait(w http.ResponseWriter, req *http.Request, report func(now time.Time)) bool {
	late := time.NewTimer(tuning.HeartbeatQueueTimeout)
	defer late.Stop()
	select {
	case r.reports <- report:
		return true
	case <-late.C:
		respond(w, submission.UnavailableResponse("too many reports at once"))
	case <-req.Context().Done():
	}
	return false
}

// show tells whether a worker answers.
func show(ctx context.Context, client *http.Client, addr string) bool {
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

// direct sends a command straight to a worker.
func direct(ctx context.Context, client *http.Client, addr string, d wire.Do) (int, *wire.Report) {
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
	var rep wire.Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, tuning.MaxWorkerResponseBytes)).Decode(&rep); err != nil {
		return 0, nil
	}
	return resp.StatusCode, &rep
}
