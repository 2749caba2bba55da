package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"juniperchute/internal/peer/peerpb"
)

// A canceled caller must get an error and no value, and must share no memory with the event loop,
// which handles the request later. The race detector reports a violation.
func TestCanceledRequestsReturnError(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	r := newTestRuntime(t, unreachableAddress)
	requests := map[string]func() (answered bool, err error){
		"heartbeat": func() (bool, error) {
			answer, err := r.HandleHeartbeat(canceled, &peerpb.PeerHeartbeat{})
			return answer != nil, err
		},
		"progress": func() (bool, error) {
			answer, err := r.HandleProgress(canceled, &peerpb.ProgressRequest{})
			return answer != nil, err
		},
		"status": func() (bool, error) {
			answer, err := r.HandleStatus(canceled)
			return answer != nil, err
		},
		"settings": func() (bool, error) {
			answer, err := r.HandleSettings(canceled)
			return answer != nil, err
		},
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			returned := make(chan struct{})
			go func() {
				defer close(returned)
				if answered, err := request(); answered || !errors.Is(err, context.Canceled) {
					t.Errorf("got answer %v, error %v; want no answer, context.Canceled", answered, err)
				}
			}()
			event := <-r.events
			time.Sleep(10 * time.Millisecond) // let the caller return first
			event(time.Now())
			<-returned
		})
	}
}
