package fleet

import (
	"log/slog"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
)

// requestState is how far a provisioning request has come.
type requestState int

const (
	requestRecording requestState = iota // its record is being made durable
	requestPending                       // the cloud is being called until it answers
	requestRefused                       // no capacity; a late repeat of the call may still be granted
	requestGranted                       // its machines are known
	requestClosed                        // it has no machines; its record is being deleted
)

func (s requestState) String() string {
	return [...]string{"recording", "requested", "refused", "granted", "closed"}[s]
}

// provisioningRequest is a request for a number of machines of one kind, and what became of it.
type provisioningRequest struct {
	name   string
	record ProvisioningRecord
	state  requestState

	writer        *store.DesiredValue // of the record
	recordDurable bool                // a durable version of the record names the machines
	// unrecording is the deleted machines whose removal from the record is not durable yet.
	pendingRemovals []pendingRemoval

	// intent is the intended provisioning, nil for a request that was granted in an earlier term.
	intent     *intentlog.Intent
	inFlight   bool
	retryAt    time.Time
	answeredAt time.Time // when the last call ended
}

// pendingRemoval is a deleted machine and the first version of the record that does not name it.
type pendingRemoval struct {
	host    string
	version int
}

// pending reports whether the request may still be granted in the normal course of events.
func (r *provisioningRequest) pending() bool {
	return r.state == requestRecording || r.state == requestPending
}

// retryable reports whether a refused request may stand for a new one.
func (r *provisioningRequest) retryable(now time.Time, kind machineKind, maxMachines int, pause time.Duration) bool {
	return r.state == requestRefused && r.record.kind() == kind && r.record.Number <= maxMachines &&
		now.Sub(r.answeredAt) >= pause
}

func (r *provisioningRequest) setState(log *slog.Logger, state requestState, reason string) {
	if r.state != state {
		log.Debug("provisioning request changed", "request", r.name,
			"from", r.state.String(), "to", state.String(), "reason", reason)
	}
	r.state = state
}
