package controller

import (
	"testing"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// Every worker keeps a connection to the shard's lease holder: the machines of a
// fleet half as large again as the settings' must fit beside users and the
// controller's own calls.
func TestConnectionLimits(t *testing.T) {
	for _, c := range []struct {
		name     string
		sockets  int
		peers    int
		machines int
		users    int
	}{
		{
			name:     "one of three, 1,350 machines",
			sockets:  2991,
			peers:    2,
			machines: 1350,
			users:    200,
		},
		{
			name:     "one of seven, 1,850 machines",
			sockets:  2179,
			peers:    6,
			machines: 1850,
			users:    50,
		},
		{
			name:     "one of three, 48 machines",
			sockets:  900,
			peers:    2,
			machines: 48,
			users:    500,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := newConnectionLimits(config.MachineLimits{Sockets: c.sockets}, c.peers)
			if limits.clients < c.machines+c.users {
				t.Errorf("%d connections for %d workers and %d users", limits.clients, c.machines, c.users)
			}
			own := 2*limits.commands + stateConnections() + tuning.CloudCallsInFlight + 2*c.peers
			if limits.clients+own > c.sockets {
				t.Errorf("%d and %d of its own are more than %d sockets", limits.clients, own, c.sockets)
			}
		})
	}
}
