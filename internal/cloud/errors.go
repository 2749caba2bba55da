package cloud

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// Errors of a call, to be told apart with errors.Is. After all but ErrNoResponse the call was
// not executed.
var (
	// ErrNoResponse means that no response came that could be read: the call may have been
	// executed, and may still be.
	ErrNoResponse = errors.New("no response from the cloud")
	// ErrNoCapacity means that the cloud has no machine of the kind asked for at present.
	ErrNoCapacity = errors.New("the cloud has no capacity")
	// ErrUnavailable means that the cloud's interface has an outage.
	ErrUnavailable = errors.New("cloud unavailable")
	// ErrThrottled means that the call exceeds the cloud's rate limit.
	ErrThrottled = errors.New("rate limit of the cloud exceeded")
	// ErrInvalid means that the cloud rejects the request as malformed.
	ErrInvalid = errors.New("request rejected by the cloud as invalid")
)

// noCapacity is the error text by which the cloud tells a lack of capacity from an outage.
const noCapacity = "no capacity"

// statusError is the error that an HTTP status other than 200 stands for, with the response's body.
func statusError(status int, body []byte) error {
	var failure struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(body, &failure) // proxies send other bodies: then the status has to do
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
