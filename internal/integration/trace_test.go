package integration

import (
	"juniperchute/internal/intentlog"
	"juniperchute/internal/tracing"
)

// checkTraces checks that the traces cover at least one deprovisioning across a failover: one
// controller recorded it, and another one recovered and completed it.
func (s *stallTest) checkTraces() {
	s.t.Helper()
	spans, err := tracing.Read(s.traces...)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, history := range intentlog.Histories(spans) {
		first, last := history.Steps[0], history.Steps[len(history.Steps)-1]
		changedHolder := history.FailedOver && first.Member != last.Member && first.Token != last.Token
		if history.Operation != string(intentlog.Deprovision) || !history.Completed || !changedHolder {
			continue
		}
		for _, step := range history.Steps {
			s.t.Logf("%s: %s under token %s %s", history.Target, step.Member, step.Token, step.Text)
		}
		return
	}
	s.t.Error("the traces show no deprovisioning that was completed after a failover")
}
