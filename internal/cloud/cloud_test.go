package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Every status of the protocol has its error; a response that cannot be read is as good as none.
func TestClientErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{
			name:   "created",
			status: http.StatusOK, body: `{"Hosts":["i-1"]}`,
			want: nil,
		},
		{
			name:   "unreadable",
			status: http.StatusOK, body: `{"Hosts":`,
			want: ErrNoResponse,
		},
		{
			name:   "malformed",
			status: http.StatusBadRequest, body: `{"error":"bad Build"}`,
			want: ErrInvalid,
		},
		{
			name:   "too many calls",
			status: http.StatusTooManyRequests, body: `{}`,
			want: ErrThrottled,
		},
		{
			name:   "no capacity",
			status: http.StatusServiceUnavailable, body: `{"error":"no capacity"}`,
			want: ErrNoCapacity,
		},
		{
			name:   "outage",
			status: http.StatusServiceUnavailable, body: `{"error":"trouble"}`,
			want: ErrUnavailable,
		},
		{
			name:   "outage behind a proxy",
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

// A fake that forgets to say what came of a call does not claim success.
func TestZeroResultIsNoResponse(t *testing.T) {
	if _, err := (Result{}).Response(); !errors.Is(err, ErrNoResponse) {
		t.Errorf("error %v, want %v", err, ErrNoResponse)
	}
}
