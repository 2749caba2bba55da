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

// Problem is the body of a refusal.
type Problem struct {
	Error string `json:"error"`
}

func refuse(status int, why string, retry int) Response {
	return Response{Status: status, Body: Problem{why}, RetryAfter: retry}
}

// Busy is the answer when a stage is full.
func Busy() Response { return refuse(503, "too many requests at once", tuning.RetryAfterBusy) }

// Unable is the answer while a node cannot decide.
func Unable(why string) Response { return refuse(503, why, tuning.RetryAfterUnable) }
