package integration

import (
	"juniperchute/internal/intentlog"
	"juniperchute/internal/tracing"
)

// checkTraces checks that the traces show some deprovisioning's whole way through a failover: one
// controller decided and recorded it, another took it over and completed it.
func (s *stallTest) checkTraces() {
	s.t.Helper()
	spans, err := tracing.Read(s.traces...)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, history := range intentlog.Histories(spans) {
		first, last := history.Steps[0], history.Steps[len(history.Steps)-1]
		changedHands := history.FailedOver && first.Member != last.Member && first.Token != last.Token
		if history.Operation != string(intentlog.Deprovision) || !history.Completed || !changedHands {
			continue
		}
		for _, step := range history.Steps {
			s.t.Logf("%s: %s under token %s %s", history.Target, step.Member, step.Token, step.Text)
		}
		return
	}
	s.t.Error("no trace shows a deprovisioning through a failover")
}
