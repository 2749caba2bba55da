// Package submission answers the users: it checks and accepts jobs, tells
// their state and cancels them. Any node does so, from the state service.
package submission

import (
	"juniperchute/internal/tuning"
)

// Response is an answer to a user.
type Response struct {
	Status     int
	Body       any
	RetryAfter int // seconds; 0: none
}

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error string `json:"error"`
}

func errorResponse(status int, reason string, retryAfter int) Response {
	return Response{Status: status, Body: ErrorBody{reason}, RetryAfter: retryAfter}
}

// BusyResponse is the answer when a stage is full.
func BusyResponse() Response {
	return errorResponse(503, "too many requests at once", tuning.RetryAfterBusyS)
}

// UnavailableResponse is the answer while a node cannot decide.
func UnavailableResponse(reason string) Response {
	return errorResponse(503, reason, tuning.RetryAfterUnavailableS)
}
