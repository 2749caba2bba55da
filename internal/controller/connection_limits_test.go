package controller

import (
	"testing"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// Every worker keeps a connection to the block's one holder: the machines of a
// fleet half as large again as the settings' must fit beside users and the
// controller's own calls.
func TestConnectionLimits(t *testing.T) {
	for _, c := range []struct {
		name              string
		sockets, peers    int
		machines, clients int
	}{
		{"one of three, 1,350 machines", 2991, 2, 1350, 200},
		{"one of seven, 1,850 machines", 2179, 6, 1850, 50},
		{"one of three, 48 machines", 900, 2, 48, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newConnectionLimits(config.MachineLimits{Sockets: c.sockets}, c.peers)
			if p.clients < c.machines+c.clients {
				t.Errorf("%d connections for %d workers and %d users", p.clients, c.machines, c.clients)
			}
			own := 2*p.commands + stateConnections() + tuning.CloudCallsInFlight + 2*c.peers
			if p.clients+own > c.sockets {
				t.Errorf("%d and %d of its own are more than %d sockets", p.clients, own, c.sockets)
			}
		})
	}
}
