package submission

import (
	"errors"
	"net/http"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Error reasons that more than one kind of request returns to users.
const (
	reasonNoSuchJob        = "no such job"
	reasonUndecided        = "cannot tell yet"
	reasonStoreUnavailable = "state service does not answer"
	reasonProgressUnknown  = "whether the job runs is not known"
)

// Response is an HTTP response to a user's request.
type Response struct {
	Status     int // HTTP status
	Body       any // sent as JSON
	RetryAfter int // value of the Retry-After header in seconds; 0 omits the header
}

// ErrorBody is the body of a response that reports an error.
type ErrorBody struct {
	Error string `json:"error"`
}

func errorResponse(status int, reason string, retryAfter int) Response {
	return Response{Status: status, Body: ErrorBody{reason}, RetryAfter: retryAfter}
}

// BusyResponse returns the retryable response to a request that exceeds the limit of requests in flight.
func BusyResponse() Response {
	return errorResponse(http.StatusServiceUnavailable, "too many requests at once", tuning.RetryAfterBusyS)
}

// UnavailableResponse returns the retryable response of a controller that cannot decide on a request for
// the given reason.
func UnavailableResponse(reason string) Response {
	return errorResponse(http.StatusServiceUnavailable, reason, tuning.RetryAfterUnavailableS)
}

func notFoundResponse() Response {
	return errorResponse(http.StatusNotFound, reasonNoSuchJob, 0)
}

// acceptedResponse returns the response to the submission that creates a job.
func acceptedResponse(id string) Response {
	return Response{Status: http.StatusCreated, Body: wire.JobAccepted{ID: id, State: wire.JobPending}}
}

// stateResponse returns the response to an idempotent submission or cancellation of a job that already is
// in the given state.
func stateResponse(id, state string) Response {
	return Response{Status: http.StatusOK, Body: wire.JobAccepted{ID: id, State: state}}
}

// rejectionResponse returns the response to a submission that failed validation: a permanent error for a
// *rejectionError, a retryable one otherwise.
func rejectionResponse(err error) Response {
	var rejection *rejectionError
	if errors.As(err, &rejection) {
		return errorResponse(rejection.status, rejection.reason, 0)
	}
	return UnavailableResponse(reasonUndecided)
}
