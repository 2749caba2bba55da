package controller

import (
	"testing"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// Guards against socket exhaustion: each worker keeps a connection to the lease holder, and a fleet
// 1.5 times the configured size must fit beside users and the controller's own calls.
func TestConnectionLimitsFitWorkersAndUsers(t *testing.T) {
	for _, c := range []struct {
		name     string
		sockets  int
		peers    int
		machines int
		users    int
	}{
		{
			name:     "three controllers, 1,350 machines",
			sockets:  2991,
			peers:    2,
			machines: 1350,
			users:    200,
		},
		{
			name:     "seven controllers, 1,850 machines",
			sockets:  2179,
			peers:    6,
			machines: 1850,
			users:    50,
		},
		{
			name:     "three controllers, 48 machines",
			sockets:  900,
			peers:    2,
			machines: 48,
			users:    500,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := newConnectionLimits(config.MachineLimits{Sockets: c.sockets}, c.peers)
			if limits.clients < c.machines+c.users {
				t.Errorf("client connections: got %d, want at least %d for workers and %d for users",
					limits.clients, c.machines, c.users)
			}
			internal := 2*limits.commands + stateConnections() + tuning.MaxCloudCallsInFlight + 2*c.peers
			if limits.clients+internal > c.sockets {
				t.Errorf("%d client and %d internal connections exceed the limit of %d sockets",
					limits.clients, internal, c.sockets)
			}
		})
	}
}
