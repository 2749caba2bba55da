package fleet

import (
	"fmt"
	"time"
)

// Wait is something that an autoscaler waits for before it can act.
type Wait struct {
	Reason string
	Since  time.Time
}

// CloudFailingFor returns the time between the first and the latest failed call to the cloud since the last
// successful one. It is 0 after a success.
func (a *Autoscaler) CloudFailingFor() time.Duration { return a.health.failingFor() }

// ForgetCloudFailures discards the failures so far. It must be called while no calls may be made, which
// counts as a failure of calls that were already on their way.
func (a *Autoscaler) ForgetCloudFailures() { a.health.forget() }

// Waits returns what the autoscaler waits for. It is empty if nothing keeps it from acting.
func (a *Autoscaler) Waits() (waits []Wait) {
	if health := a.health; !health.failingSince.IsZero() {
		reason := fmt.Sprintf("the cloud: %d calls have failed in a row, the last with: %v",
			health.failures, health.lastError)
		waits = append(waits, Wait{Reason: reason, Since: health.failingSince})
	}
	if len(a.types.byName) == 0 {
		waits = append(waits, Wait{Reason: "the cloud's machine types", Since: a.demand.termStartedAt})
	}
	if count, oldest := a.provisioner.unanswered(); count > 0 {
		reason := fmt.Sprintf("the outcome of %d provisioning requests", count)
		waits = append(waits, Wait{Reason: reason, Since: oldest})
	}
	return waits
}
