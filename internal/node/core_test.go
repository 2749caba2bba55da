package node

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/wire"
)

// Where a node that does not hold the block sends a worker. Cut off from the
// state service it has only its peers' word: sending workers by its own stale
// records kept them from the new holder until their leases were over.
func TestRedirect(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		heard []*peerpb.Holding // from peers, in this order
		want  string
	}{
		{"nothing known", nil, ""},
		{"a peer knows", []*peerpb.Holding{{Baton: 4, Holder: "n1"}}, "n1"},
		{"a newer word counts", []*peerpb.Holding{{Baton: 4, Holder: "n1"}, {Baton: 5, Holder: "n2"}}, "n2"},
		{"an older word does not", []*peerpb.Holding{{Baton: 5, Holder: "n2"}, {Baton: 4, Holder: "n1"}}, "n2"},
		{"given back, not yet given away", []*peerpb.Holding{{Baton: 4, Holder: "n1"}, {Baton: 5}}, ""},
		{"never to itself", []*peerpb.Holding{{Baton: 4, Holder: "n0"}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := facts([]string{"a"}, []config.Team{{Name: "red"}}, 1.5, 10)
			cfg.Member = "n0"
			cfg.Known = []config.Known{{Member: "n1"}, {Member: "n2"}}
			core := NewCore(cfg, 1, nil, rand.New(rand.NewPCG(1, 1)), func() time.Time { return now }, slog.New(slog.NewTextHandler(io.Discard, nil)))
			for _, h := range c.heard {
				core.Pulse(now, &peerpb.PulseMessage{Member: "n1", Holdings: []*peerpb.Holding{h}})
			}
			core.Report(now, &wire.Report{Host: "i-1", Stint: 1, Tally: 1}, func(status int, body any) {
				if r, ok := body.(wire.Redirect); status != 421 || !ok || r.ReportsTo != c.want {
					t.Errorf("answered %d %+v, want 421 to %q", status, body, c.want)
				}
			})
		})
	}
}
