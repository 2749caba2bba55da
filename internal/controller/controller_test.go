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

// discardLogger logs to nowhere.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// newTestController is a controller without timers, whose clock stands still.
func newTestController(cfg *config.Config, shards int, effects Effects, now time.Time) *Controller {
	rng := rand.New(rand.NewPCG(1, 1))
	clock := func() time.Time { return now }
	return NewController(cfg, Options{Shards: shards}, Environment{
		Effects: effects, Rand: rng, WallClock: clock, Log: discardLogger(),
	})
}

// redirectCase is what a controller knows of the lease holder from its peers.
type redirectCase struct {
	name   string
	claims []*peerpb.LeaseClaim // from peers, in this order
	want   string               // the member that workers are sent to; "": none
}

var redirectCases = []redirectCase{
	{
		name: "nothing known",
	},
	{
		name:   "a peer knows",
		claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}},
		want:   "n1",
	},
	{
		name:   "a newer claim counts",
		claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}, {Token: 5, Holder: "n2"}},
		want:   "n2",
	},
	{
		name:   "an older claim does not",
		claims: []*peerpb.LeaseClaim{{Token: 5, Holder: "n2"}, {Token: 4, Holder: "n1"}},
		want:   "n2",
	},
	{
		name:   "given back, not yet given away",
		claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}, {Token: 5}},
	},
	{
		name:   "never to itself",
		claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n0"}},
	},
}

// Where a controller that does not hold the shard's lease sends a worker. Cut off from the
// state service it has only its peers' claims: sending workers by its own stale records
// kept them from the new lease holder until their leases were over.
func TestRedirect(t *testing.T) {
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
					t.Errorf("answered %d %+v, want 421 to %q", status, body, c.want)
				}
			})
		})
	}
}

// heldProgressRequests is a double of Effects that keeps the calls for progress.
type heldProgressRequests struct {
	Effects
	asked []*peerpb.ProgressRequest
	then  []func(now time.Time, r *peerpb.ProgressReply, err error)
}

func (e *heldProgressRequests) QueryProgress(
	_ string, m *peerpb.ProgressRequest, then func(now time.Time, r *peerpb.ProgressReply, err error),
) {
	e.asked, e.then = append(e.asked, m), append(e.then, then)
}

// A lease holder answers about thousands of jobs every few seconds: all that is asked
// while one call is under way goes with the next, and each gets its own answer.
func TestProgressTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := testConfig(oneZone, steadyTeams, 1.5, 10)
	cfg.Member, cfg.Peers = "n0", []config.Peer{{Member: "n1"}}
	held := &heldProgressRequests{}
	controller := newTestController(cfg, 1, held, now)
	claim := &peerpb.LeaseClaim{Token: 4, Holder: "n1"}
	controller.HandlePeerHeartbeat(now, &peerpb.PeerHeartbeat{Member: "n1", Claims: []*peerpb.LeaseClaim{claim}})
	const queries = 90
	got := map[int]submission.Progress{}
	for i := range queries {
		record := func(_ time.Time, p submission.Progress) { got[i] = p }
		controller.jobProgress(now, 0, fmt.Sprintf("job-%d", i), record)
	}
	for i := 0; i < len(held.then); i++ {
		r := &peerpb.ProgressReply{}
		for _, id := range held.asked[i].Jobs {
			n, _ := strconv.ParseInt(id[len("job-"):], 10, 64)
			r.Jobs = append(r.Jobs, &peerpb.JobProgress{Known: true, Done: n})
		}
		if i == 0 {
			held.then[i](now, nil, errUnreachable)
			continue
		}
		held.then[i](now, r, nil)
	}
	if len(held.asked) != 2 || len(got) != queries {
		t.Fatalf("%d calls, %d of %d answered", len(held.asked), len(got), queries)
	}
	for i, p := range got {
		if p.Known != (i > 0) || i > 0 && p.Done != i {
			t.Errorf("query %d got %+v", i, p)
		}
	}
}
