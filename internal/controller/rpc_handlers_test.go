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
	requests := map[string]func() (hasValue bool, err error){
		"heartbeat": func() (bool, error) {
			reply, err := r.HandlePeerHeartbeat(canceled, &peerpb.PeerHeartbeat{})
			return reply != nil, err
		},
		"progress": func() (bool, error) {
			reply, err := r.HandleProgress(canceled, &peerpb.ProgressRequest{})
			return reply != nil, err
		},
		"status": func() (bool, error) {
			reply, err := r.HandleStatus(canceled)
			return reply != nil, err
		},
		"settings": func() (bool, error) {
			reply, err := r.HandleSettings(canceled)
			return reply != nil, err
		},
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			returned := make(chan struct{})
			go func() {
				defer close(returned)
				if hasValue, err := request(); hasValue || !errors.Is(err, context.Canceled) {
					t.Errorf("got value %v, error %v; want no value, context.Canceled", hasValue, err)
				}
			}()
			event := <-r.events
			time.Sleep(10 * time.Millisecond) // let the caller return first
			event(time.Now())
			<-returned
		})
	}
}
