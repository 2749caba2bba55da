package fleet

import (
	"log/slog"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
)

// requestState is a state in the lifecycle of a provisioning request.
type requestState int

const (
	requestRecording requestState = iota // the record is being made durable
	requestPending                       // the call is retried until the outcome is known
	requestRefused                       // no capacity; a delayed copy of the call may still be granted
	requestGranted                       // the machines are known
	requestClosed                        // without machines; the record is being deleted
)

func (s requestState) String() string {
	return [...]string{"recording", "requested", "refused", "granted", "closed"}[s]
}

// provisioningRequest is a request for a number of machines of one kind.
type provisioningRequest struct {
	name   string
	record ProvisioningRecord
	state  requestState

	writer        *store.DesiredValue // of the record
	recordDurable bool                // a durable version of the record names the machines
	// pendingRemovals are the deleted machines whose removal from the record is not durable yet.
	pendingRemovals []pendingRemoval

	// intent is nil for a request granted in an earlier term, adopted or split off another one.
	intent     *intentlog.Intent
	inFlight   bool
	openedAt   time.Time // when this term created or recovered the request
	retryAt    time.Time
	finishedAt time.Time // when the last call returned or timed out
}

// pendingRemoval is a deleted machine and the first version of the record that does not name it.
type pendingRemoval struct {
	host    string
	version int
}

// pending reports whether the cloud has yet to grant or refuse the request.
func (r *provisioningRequest) pending() bool {
	return r.state == requestRecording || r.state == requestPending
}

// retryable reports whether a refused request can be retried in place of a new one.
func (r *provisioningRequest) retryable(now time.Time, kind machineKind, maxMachines int, backoff time.Duration) bool {
	return r.state == requestRefused && r.record.kind() == kind && r.record.Number <= maxMachines &&
		now.Sub(r.finishedAt) >= backoff
}

func (r *provisioningRequest) setState(log *slog.Logger, state requestState, reason string) {
	if r.state != state {
		log.Debug("provisioning request state changed", "request", r.name,
			"from", r.state.String(), "to", state.String(), "reason", reason)
	}
	r.state = state
}
