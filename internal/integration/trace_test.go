package integration

import (
	"juniperchute/internal/intentlog"
	"juniperchute/internal/tracing"
)

// checkJoined checks that the traces show some return's whole way through a takeover: one
// controller decided and entered it, another took it over and settled it.
func (f *freezes) checkJoined() {
	f.t.Helper()
	spans, err := tracing.Read(f.traces...)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, h := range intentlog.Histories(spans) {
		first, last := h.Steps[0], h.Steps[len(h.Steps)-1]
		if h.Operation == string(intentlog.Deprovision) && h.FailedOver && h.Completed && first.Member != last.Member && first.Token != last.Token {
			for _, s := range h.Steps {
				f.t.Logf("%s: %s under token %s %s", h.Target, s.Member, s.Token, s.Text)
			}
			return
		}
	}
	f.t.Error("no trace shows a return through a takeover")
}
