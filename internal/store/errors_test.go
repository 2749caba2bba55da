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
	want   error // the only matching sentinel error; nil if none matches
}

var statusErrorCases = []statusErrorCase{
	{name: "400 is ErrInvalid", status: http.StatusBadRequest, want: ErrInvalid},
	{name: "404 is ErrNotFound", status: http.StatusNotFound, want: ErrNotFound},
	{name: "409 is ErrConflict", status: http.StatusConflict, want: ErrConflict},
	{name: "410 is ErrCompacted", status: http.StatusGone, want: ErrCompacted},
	{name: "429 is ErrThrottled", status: http.StatusTooManyRequests, want: ErrThrottled},
	{name: "503 is ErrUnavailable", status: http.StatusServiceUnavailable, want: ErrUnavailable},
	{name: "201 is an unexpected status", status: http.StatusCreated},
	{name: "500 is an unexpected status", status: http.StatusInternalServerError},
}

// Each status maps to at most one sentinel error, and only 200 to success.
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
