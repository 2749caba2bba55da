package submission

import (
	"errors"
	"net/http"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Reasons that users get in the responses of more than one request.
const (
	reasonNoSuchJob        = "no such job"
	reasonUndecided        = "cannot tell yet"
	reasonStoreUnavailable = "state service does not answer"
)

// Response is the response to a user's request.
type Response struct {
	Status     int // HTTP status
	Body       any // sent as JSON
	RetryAfter int // seconds; 0: the header is left out
}

// ErrorBody is the body of a response that reports an error.
type ErrorBody struct {
	Error string `json:"error"`
}

func errorResponse(status int, reason string, retryAfter int) Response {
	return Response{Status: status, Body: ErrorBody{reason}, RetryAfter: retryAfter}
}

// BusyResponse is the response while too many requests are in flight.
func BusyResponse() Response {
	return errorResponse(http.StatusServiceUnavailable, "too many requests at once", tuning.RetryAfterBusyS)
}

// UnavailableResponse is the response while this controller cannot decide, for the reason given.
func UnavailableResponse(reason string) Response {
	return errorResponse(http.StatusServiceUnavailable, reason, tuning.RetryAfterUnavailableS)
}

func notFoundResponse() Response {
	return errorResponse(http.StatusNotFound, reasonNoSuchJob, 0)
}

// stateResponse is the response to a submission or cancellation of a job that is in the
// state given: repeated requests are idempotent.
func stateResponse(id, state string) Response {
	return Response{Status: http.StatusOK, Body: wire.JobAccepted{ID: id, State: state}}
}

// rejectionResponse is the response to a job that did not pass its checks: final for a
// *rejectionError, otherwise an invitation to try again.
func rejectionResponse(err error) Response {
	var rejection *rejectionError
	if errors.As(err, &rejection) {
		return errorResponse(rejection.status, rejection.reason, 0)
	}
	return UnavailableResponse(reasonUndecided)
}
