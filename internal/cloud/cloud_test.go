package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A wrong error for a status or a malformed body would make the autoscaler assume a wrong outcome.
func TestClientErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{
			name:   "200 with hosts succeeds",
			status: http.StatusOK, body: `{"Hosts":["i-1"]}`,
			want: nil,
		},
		{
			name:   "200 with a truncated body is ErrNoResponse",
			status: http.StatusOK, body: `{"Hosts":`,
			want: ErrNoResponse,
		},
		{
			name:   "400 is ErrInvalid",
			status: http.StatusBadRequest, body: `{"error":"bad Build"}`,
			want: ErrInvalid,
		},
		{
			name:   "429 is ErrThrottled",
			status: http.StatusTooManyRequests, body: `{}`,
			want: ErrThrottled,
		},
		{
			name:   "503 without capacity is ErrNoCapacity",
			status: http.StatusServiceUnavailable, body: `{"error":"no capacity"}`,
			want: ErrNoCapacity,
		},
		{
			name:   "503 with another error is ErrUnavailable",
			status: http.StatusServiceUnavailable, body: `{"error":"trouble"}`,
			want: ErrUnavailable,
		},
		{
			name:   "503 from a proxy is ErrUnavailable",
			status: http.StatusServiceUnavailable, body: `<html>`,
			want: ErrUnavailable,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				fmt.Fprint(w, test.body)
			}))
			defer server.Close()
			client := NewClient(server.Listener.Addr().String(), http.DefaultTransport)
			result := client.Do(t.Context(), Call{Operation: CreateMachines})
			if err := result.Err(); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

// A Result that was never set must not count as success.
func TestZeroResultIsNoResponse(t *testing.T) {
	if _, err := (Result{}).Response(); !errors.Is(err, ErrNoResponse) {
		t.Errorf("error %v, want %v", err, ErrNoResponse)
	}
}
