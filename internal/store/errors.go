package store

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Errors of a call. Match them with errors.Is.
var (
	// ErrNoResponse means that no readable response arrived. The call may have been executed,
	// or may still be executed later.
	ErrNoResponse = errors.New("no response from the state service")
	// ErrInvalid means that the request is malformed, exceeds a size limit, or refers to an
	// expired lease.
	ErrInvalid = errors.New("request rejected by the state service as invalid")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("key or lease not found")
	// ErrConflict means that a compare of the transaction failed and nothing was written. The
	// error is a *ConflictError.
	ErrConflict = errors.New("compare failed")
	// ErrCompacted means that the changes since the requested revision are no longer
	// available. The caller must list the keys again.
	ErrCompacted = errors.New("revision compacted")
	// ErrThrottled means that the call exceeded a rate limit and was not executed.
	ErrThrottled = errors.New("rate limit of the state service exceeded")
	// ErrUnavailable means that the state service has no quorum. The call was not executed.
	ErrUnavailable = errors.New("state service unavailable")
)

// ConflictError reports a transaction that was not executed because compares failed. It wraps
// ErrConflict.
type ConflictError struct {
	// FailedKeys lists the keys whose compares failed.
	FailedKeys []string
}

// Error returns a message that lists the failed keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s", ErrConflict, strings.Join(e.FailedKeys, ", "))
}

// Unwrap returns ErrConflict, for errors.Is.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// noResponse returns an error that wraps ErrNoResponse and its cause.
func noResponse(cause error) error { return fmt.Errorf("%w: %w", ErrNoResponse, cause) }

// statusError maps an HTTP status to an error, and 200 to nil. failedKeys holds the failed
// compares that the response to a transaction lists.
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
