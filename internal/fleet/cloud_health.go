package fleet

import (
	"errors"
	"log/slog"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/tuning"
)

// cloudHealth tracks since when the cloud executes none of a term's calls, and logs it.
type cloudHealth struct {
	log          *slog.Logger
	failingSince time.Time // zero while calls succeed
	failures     int       // number of failed calls since then
	lastFailure  time.Time
	lastError    error
	nextLogAt    time.Time // earliest time of the next log of a failure
}

// observe records the result of a call. A refusal for lack of capacity or for an invalid request shows
// that the cloud can be reached.
func (h *cloudHealth) observe(now time.Time, call cloud.Call, err error) {
	if err == nil || errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalid) {
		h.markReachable(now)
		return
	}
	if h.failingSince.IsZero() {
		h.failingSince, h.nextLogAt = now, now
	}
	h.failures++
	h.lastFailure, h.lastError = now, err
	if !now.Before(h.nextLogAt) {
		h.nextLogAt = now.Add(tuning.CloudFailureLogInterval)
		h.log.Warn("cloud calls fail", "operation", call.Operation.String(), "error", err,
			"count", h.failures, "duration", now.Sub(h.failingSince))
	}
}

// markReachable ends the period of failures, if there is one, and logs its end.
func (h *cloudHealth) markReachable(now time.Time) {
	if !h.failingSince.IsZero() {
		h.log.Info("cloud calls succeed again", "count", h.failures, "duration", now.Sub(h.failingSince))
	}
	h.forget()
}

// forget discards the failures so far.
func (h *cloudHealth) forget() {
	h.failingSince, h.failures, h.lastFailure, h.lastError = time.Time{}, 0, time.Time{}, nil
}

// failingFor returns the time between the first and the latest failure since the last success.
func (h *cloudHealth) failingFor() time.Duration { return h.lastFailure.Sub(h.failingSince) }
