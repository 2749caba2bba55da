package store

import (
	"errors"
	"net/http"
	"testing"
)

var sentinelErrors = []error{
	ErrNoResponse, ErrInvalid, ErrNotFound, ErrConflict, ErrCompacted, ErrThrottled, ErrUnavailable,
}

type statusErrorCase struct {
	name   string
	status int
	want   error // of the sentinel errors; nil: none of them
}

var statusErrorCases = []statusErrorCase{
	{name: "invalid", status: http.StatusBadRequest, want: ErrInvalid},
	{name: "not found", status: http.StatusNotFound, want: ErrNotFound},
	{name: "conflict", status: http.StatusConflict, want: ErrConflict},
	{name: "compacted", status: http.StatusGone, want: ErrCompacted},
	{name: "throttled", status: http.StatusTooManyRequests, want: ErrThrottled},
	{name: "unavailable", status: http.StatusServiceUnavailable, want: ErrUnavailable},
	{name: "created is not a success", status: http.StatusCreated},
	{name: "unknown", status: http.StatusInternalServerError},
}

// Each status stands for exactly one error, and 200 alone for success.
func TestStatusError(t *testing.T) {
	if err := statusError(http.StatusOK, nil); err != nil {
		t.Errorf("200: %v", err)
	}
	for _, c := range statusErrorCases {
		t.Run(c.name, func(t *testing.T) {
			err := statusError(c.status, []string{"a"})
			if err == nil {
				t.Fatal("no error")
			}
			for _, sentinel := range sentinelErrors {
				if got, want := errors.Is(err, sentinel), sentinel == c.want; got != want {
					t.Errorf("%v is %v: %t, want %t", err, sentinel, got, want)
				}
			}
			result := Result{Err: err}
			if result.OK() || result.ConflictsOn("a") != (c.want == ErrConflict) || result.ConflictsOn("b") {
				t.Errorf("result of %v: OK %t, conflicts on a %t, on b %t",
					err, result.OK(), result.ConflictsOn("a"), result.ConflictsOn("b"))
			}
		})
	}
}
