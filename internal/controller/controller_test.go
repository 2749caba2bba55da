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

// Where a node that does not hold the block sends a worker. Cut off from the
// state service it has only its peers' word: sending workers by its own stale
// records kept them from the new holder until their leases were over.
func TestRedirect(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		heard []*peerpb.LeaseClaim // from peers, in this order
		want  string
	}{
		{"nothing known", nil, ""},
		{"a peer knows", []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}}, "n1"},
		{"a newer word counts", []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}, {Token: 5, Holder: "n2"}}, "n2"},
		{"an older word does not", []*peerpb.LeaseClaim{{Token: 5, Holder: "n2"}, {Token: 4, Holder: "n1"}}, "n2"},
		{"given back, not yet given away", []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}, {Token: 5}}, ""},
		{"never to itself", []*peerpb.LeaseClaim{{Token: 4, Holder: "n0"}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := facts([]string{"a"}, []config.Team{{Name: "red"}}, 1.5, 10)
			cfg.Member = "n0"
			cfg.Peers = []config.Peer{{Member: "n1"}, {Member: "n2"}}
			core := NewController(cfg, Options{Shards: 1}, nil, rand.New(rand.NewPCG(1, 1)), func() time.Time { return now }, slog.New(slog.NewTextHandler(io.Discard, nil)))
			for _, h := range c.heard {
				core.HandlePeerHeartbeat(now, &peerpb.PeerHeartbeat{Member: "n1", Claims: []*peerpb.LeaseClaim{h}})
			}
			core.HandleHeartbeat(now, &wire.Heartbeat{Host: "i-1", Incarnation: 1, Sequence: 1}, func(status int, body any) {
				if r, ok := body.(wire.Redirect); status != 421 || !ok || r.Member != c.want {
					t.Errorf("answered %d %+v, want 421 to %q", status, body, c.want)
				}
			})
		})
	}
}

// heldCalls is an Effects that keeps the calls for progress.
type heldCalls struct {
	Effects
	asked []*peerpb.ProgressRequest
	then  []func(now time.Time, r *peerpb.ProgressReply, err error)
}

func (e *heldCalls) AskProgress(_ string, m *peerpb.ProgressRequest, then func(now time.Time, r *peerpb.ProgressReply, err error)) {
	e.asked, e.then = append(e.asked, m), append(e.then, then)
}

// A holder answers about thousands of jobs every few seconds: all that is asked
// while one call is under way goes with the next, and each gets its own answer.
func TestProgressTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := facts([]string{"a"}, []config.Team{{Name: "red"}}, 1.5, 10)
	cfg.Member, cfg.Peers = "n0", []config.Peer{{Member: "n1"}}
	env := &heldCalls{}
	core := NewController(cfg, Options{Shards: 1}, env, rand.New(rand.NewPCG(1, 1)), func() time.Time { return now }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	core.HandlePeerHeartbeat(now, &peerpb.PeerHeartbeat{Member: "n1", Claims: []*peerpb.LeaseClaim{{Token: 4, Holder: "n1"}}})
	const questions = 90
	got := map[int]submission.Progress{}
	for i := range questions {
		core.jobProgress(now, 0, fmt.Sprintf("job-%d", i), func(_ time.Time, p submission.Progress) { got[i] = p })
	}
	for i := 0; i < len(env.then); i++ {
		r := &peerpb.ProgressReply{}
		for _, id := range env.asked[i].Jobs {
			n, _ := strconv.ParseInt(id[len("job-"):], 10, 64)
			r.Jobs = append(r.Jobs, &peerpb.JobProgress{Known: true, Done: n})
		}
		if i == 0 {
			env.then[i](now, nil, errUnreachable)
			continue
		}
		env.then[i](now, r, nil)
	}
	if len(env.asked) != 2 || len(got) != questions {
		t.Fatalf("%d calls, %d of %d answered", len(env.asked), len(got), questions)
	}
	for i, p := range got {
		if p.Known != (i > 0) || i > 0 && p.Done != i {
			t.Errorf("question %d got %+v", i, p)
		}
	}
}
