package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"juniperchute/internal/peer/peerpb"
)

// A caller that has given up gets an error and no value, and shares nothing with the owner,
// who comes to the request later: the race detector would tell.
func TestAbandonedRequests(t *testing.T) {
	abandoned, cancel := context.WithCancel(t.Context())
	cancel()
	r := newTestRuntime(t, unreachableAddress)
	requests := map[string]func() (answered bool, err error){
		"heartbeat": func() (bool, error) {
			answer, err := r.HandleHeartbeat(abandoned, &peerpb.PeerHeartbeat{})
			return answer != nil, err
		},
		"progress": func() (bool, error) {
			answer, err := r.HandleProgress(abandoned, &peerpb.ProgressRequest{})
			return answer != nil, err
		},
		"status": func() (bool, error) {
			answer, err := r.HandleStatus(abandoned)
			return answer != nil, err
		},
		"settings": func() (bool, error) {
			answer, err := r.HandleSettings(abandoned)
			return answer != nil, err
		},
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			gaveUp := make(chan struct{})
			go func() {
				defer close(gaveUp)
				if answered, err := request(); answered || !errors.Is(err, context.Canceled) {
					t.Errorf("an answer: %v, error %v", answered, err)
				}
			}()
			event := <-r.events
			time.Sleep(10 * time.Millisecond) // the caller gives up meanwhile
			event(time.Now())
			<-gaveUp
		})
	}
}
