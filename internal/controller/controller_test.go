package controller

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// discardLogger returns a logger that discards its output.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// newTestController returns a controller with a wall clock fixed at now. Nothing calls its Tick.
func newTestController(cfg *config.Config, shards int, effects Effects, now time.Time) *Controller {
	rng := rand.New(rand.NewPCG(1, 1))
	clock := func() time.Time { return now }
	return NewController(cfg, Options{Shards: shards}, Environment{
		Effects: effects, Rand: rng, WallClock: clock, Log: discardLogger(),
	})
}

// redirectCase is a sequence of lease claims from peers and the redirect that must follow.
type redirectCase struct {
	name   string
	claims []*peerpb.LeaseClaim // in the order of arrival
	want   string               // the member in the redirect; empty if none
}

var redirectCases = []redirectCase{
	{
		name: "no claim: redirect names no member",
	},
	{
		name:   "one claim: its holder",
		claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}},
		want:   "n1",
	},
	{
		name:   "higher token arrives last: its holder",
		claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}, {Token: 5, Holder: "n2"}},
		want:   "n2",
	},
	{
		name:   "lower token arrives last: ignored",
		claims: []*peerpb.LeaseClaim{{Token: 5, Holder: "n2"}, {Token: 4, Holder: "n1"}},
		want:   "n2",
	},
	{
		name:   "shard released and unassigned: redirect names no member",
		claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}, {Token: 5}},
	},
	{
		name:   "claim names this controller: redirect names no member",
		claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n0"}},
	},
}

// Guards against redirects by stale control records: a controller that is partitioned from the
// state service must use its peers' claims, so that workers reach the new lease holder.
func TestWorkerRedirectsToLeaseHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range redirectCases {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig(oneZone, steadyTeams, 1.5, 10)
			cfg.Member = "n0"
			cfg.Peers = []config.Peer{{Member: "n1"}, {Member: "n2"}}
			controller := newTestController(cfg, 1, nil, now)
			for _, claim := range c.claims {
				m := &peerpb.PeerHeartbeat{Member: "n1", Claims: []*peerpb.LeaseClaim{claim}}
				controller.HandlePeerHeartbeat(now, m)
			}
			heartbeat := &wire.Heartbeat{Host: "i-1", Incarnation: 1, Sequence: 1}
			controller.HandleHeartbeat(now, heartbeat, func(status int, body any) {
				if r, ok := body.(wire.Redirect); status != 421 || !ok || r.Member != c.want {
					t.Errorf("got status %d, body %+v; want 421 with member %q", status, body, c.want)
				}
			})
		})
	}
}

// capturedProgressQueries is a fake of Effects that captures progress queries and their callbacks.
type capturedProgressQueries struct {
	Effects
	requests []*peerpb.ProgressRequest
	replies  []func(now time.Time, r *peerpb.ProgressReply, err error)
}

func (e *capturedProgressQueries) QueryProgress(
	_ string, m *peerpb.ProgressRequest, then func(now time.Time, r *peerpb.ProgressReply, err error),
) {
	e.requests, e.replies = append(e.requests, m), append(e.replies, then)
}

// Queries that arrive while a call is in flight must go out together in the next call, and each
// must get the reply for its own job.
func TestProgressQueriesAreBatched(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := testConfig(oneZone, steadyTeams, 1.5, 10)
	cfg.Member, cfg.Peers = "n0", []config.Peer{{Member: "n1"}}
	effects := &capturedProgressQueries{}
	controller := newTestController(cfg, 1, effects, now)
	claim := &peerpb.LeaseClaim{Token: 4, Holder: "n1"}
	controller.HandlePeerHeartbeat(now, &peerpb.PeerHeartbeat{Member: "n1", Claims: []*peerpb.LeaseClaim{claim}})
	const queries = 90
	got := map[int]submission.Progress{}
	for i := range queries {
		record := func(_ time.Time, p submission.Progress) { got[i] = p }
		controller.jobProgress(now, 0, fmt.Sprintf("job-%d", i), record)
	}
	for i := 0; i < len(effects.replies); i++ {
		r := &peerpb.ProgressReply{}
		for _, id := range effects.requests[i].Jobs {
			n, _ := strconv.ParseInt(id[len("job-"):], 10, 64)
			r.Jobs = append(r.Jobs, &peerpb.JobProgress{Known: true, Done: n})
		}
		if i == 0 {
			effects.replies[i](now, nil, errUnreachable)
			continue
		}
		effects.replies[i](now, r, nil)
	}
	if len(effects.requests) != 2 || len(got) != queries {
		t.Fatalf("got %d calls and %d replies, want 2 calls and %d replies", len(effects.requests), len(got), queries)
	}
	for i, p := range got {
		if p.Known != (i > 0) || i > 0 && p.CompletedTasks != i {
			t.Errorf("query %d: got progress %+v", i, p)
		}
	}
}
