package store

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Errors of a call, to be told apart with errors.Is.
var (
	// ErrNoResponse means that no response came that could be read: the call may have
	// been executed, and may still be.
	ErrNoResponse = errors.New("no response from the state service")
	// ErrInvalid means that the request is malformed, exceeds a limit of size, or names a
	// lease that has expired.
	ErrInvalid = errors.New("request rejected by the state service as invalid")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("key or lease not found")
	// ErrConflict means that a compare of the transaction failed, so that nothing was
	// written. The error is a *ConflictError.
	ErrConflict = errors.New("compare failed")
	// ErrCompacted means that the changes since the revision asked for are no longer
	// available: the keys have to be listed again.
	ErrCompacted = errors.New("revision compacted")
	// ErrThrottled means that the call exceeds a rate limit and was not executed.
	ErrThrottled = errors.New("rate limit of the state service exceeded")
	// ErrUnavailable means that the state service has no quorum; the call was not executed.
	ErrUnavailable = errors.New("state service unavailable")
)

// ConflictError is the ErrConflict of a transaction.
type ConflictError struct {
	// FailedKeys are the keys whose compares failed.
	FailedKeys []string
}

// Error names the keys whose compares failed.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s", ErrConflict, strings.Join(e.FailedKeys, ", "))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// noResponse is ErrNoResponse with its cause.
func noResponse(cause error) error { return fmt.Errorf("%w: %w", ErrNoResponse, cause) }

// statusError is the error that an HTTP status stands for, nil for 200. The failed keys
// are those that the response to a transaction names.
func statusError(status int, failedKeys []string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusBadRequest:
		return ErrInvalid
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return &ConflictError{FailedKeys: failedKeys}
	case http.StatusGone:
		return ErrCompacted
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	return fmt.Errorf("unexpected HTTP status %d from the state service", status)
}
