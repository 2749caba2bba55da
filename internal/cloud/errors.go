package cloud

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// Errors of a call. Match them with errors.Is. The call was not executed, except after ErrNoResponse
// and after the error of an unexpected HTTP status, which is none of these: then it may have been.
var (
	// ErrNoResponse means that no readable response arrived. The call may have been executed, or
	// may still be executed later.
	ErrNoResponse = errors.New("no response from the cloud")
	// ErrNoCapacity means that the cloud currently has no machine of the requested type, zone
	// and price class.
	ErrNoCapacity = errors.New("the cloud has no capacity")
	// ErrUnavailable means that the cloud API has an outage.
	ErrUnavailable = errors.New("cloud unavailable")
	// ErrThrottled means that the call exceeded the cloud's rate limit.
	ErrThrottled = errors.New("rate limit of the cloud exceeded")
	// ErrInvalid means that the cloud rejected the request as malformed.
	ErrInvalid = errors.New("request rejected by the cloud as invalid")
)

// noCapacity is the error text that distinguishes a lack of capacity from an outage, since both
// have status 503.
const noCapacity = "no capacity"

// statusError maps an HTTP status other than 200, and the body of the response, to an error. The error
// of an unexpected status does not tell whether the call was executed.
func statusError(status int, body []byte) error {
	var failure struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(body, &failure) // the body may come from a proxy and not be JSON
	switch {
	case status == http.StatusServiceUnavailable && failure.Error == noCapacity:
		return ErrNoCapacity
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status == http.StatusBadRequest:
		return ErrInvalid
	}
	return fmt.Errorf("unexpected HTTP status %d from the cloud: %q", status, failure.Error)
}
