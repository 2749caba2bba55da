package controller

import (
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/clock"
	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// front is a controller whose outside services cannot be reached.
func front(tb testing.TB, owner bool) *Runtime {
	cfg := facts([]string{"a"}, []config.Team{{Name: "red"}}, 1.5, 10)
	cfg.External = config.External{Cloud: "127.0.0.1:1", State: "127.0.0.1:1"}
	r := NewRuntime(cfg, Options{Shards: tuning.Shards}, clock.New(nil), slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 1)))
	r.effects.ctx = tb.Context()
	if owner {
		go func() {
			for {
				select {
				case f := <-r.events:
					f(time.Now())
				case f := <-r.heartbeats:
					f(time.Now())
				case f := <-r.requests:
					f(time.Now())
				case <-tb.Context().Done():
					return
				}
			}
		}()
	} else {
		for range cap(r.requests) { // the owner is far behind
			r.requests <- func(time.Time) {}
			r.heartbeats <- func(time.Time) {}
		}
	}
	return r
}

// web is a controller's HTTP side.
func web(t *testing.T, owner bool) *httptest.Server {
	srv := httptest.NewServer(front(t, owner).api.Handler())
	t.Cleanup(srv.Close)
	return srv
}

func TestHTTP(t *testing.T) {
	srv := web(t, true)
	busy := web(t, false)
	report := `{"Host":"i-1","Address":"1.2.3.4:5","Build":"g","Yard":"a","Loaners":false,"Stint":1,"Tally":1,"Baton":0,"RecallS":null,"Pieces":[],"New":{}}`
	for _, c := range []struct {
		name, method, path, body string
		to                       *httptest.Server
		status                   int
		header, value            string
	}{
		{"unknown path", "GET", "/nothing", "", srv, 404, "", ""},
		{"path below a job", "GET", "/submissions/job-1/x", "", srv, 404, "", ""},
		{"wrong method", "PUT", "/submissions", "{}", srv, 405, "Allow", "POST"},
		{"wrong method on a job", "DELETE", "/submissions/job-1", "", srv, 405, "Allow", "GET"},
		{"get on cancel", "GET", "/submissions/job-1/cancel", "", srv, 405, "Allow", "POST"},
		{"not JSON", "POST", "/submissions", "hello", srv, 400, "", ""},
		{"not an object", "POST", "/submissions", "[1]", srv, 400, "", ""},
		{"oversized", "POST", "/submissions", `{"Id":"` + strings.Repeat("x", tuning.MaxBodyBytes) + `"}`, srv, 400, "", ""},
		{"an id that cannot be", "GET", "/submissions/bad%20id", "", srv, 404, "", ""},
		{"cancel of an id that cannot be", "POST", "/submissions/bad/cancel", "", srv, 404, "", ""},
		{"health before anything is known", "GET", "/healthz", "", srv, 503, "Retry-After", "2"},
		{"a report while nobody holds the block", "POST", "/checkin", report, srv, 421, "", ""},
		{"a broken report", "POST", "/checkin", report[:50], srv, 400, "", ""},
		{"a report of nobody", "POST", "/checkin", "{}", srv, 400, "", ""},
		{"state service out of reach", "GET", "/submissions/job-1", "", srv, 503, "Retry-After", "2"},
		{"a full owner", "GET", "/submissions/job-1", "", busy, 503, "Retry-After", "1"},
		{"a full owner, to a worker: not before it has waited", "POST", "/checkin", report, busy, 503, "Retry-After", "2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequest(c.method, c.to.URL+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var body map[string]any
			if resp.StatusCode != c.status || resp.Header.Get(c.header) != c.value {
				t.Errorf("%d, %s %q; want %d, %q", resp.StatusCode, c.header, resp.Header.Get(c.header), c.status, c.value)
			}
			if json.NewDecoder(resp.Body).Decode(&body) != nil {
				t.Error("the body is not a JSON object")
			}
		})
	}
}
