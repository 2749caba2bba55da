package controller

import (
	"juniperchute/internal/config"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
)

// connectionLimits bounds the concurrent connections of a controller by purpose.
type connectionLimits struct {
	commands int // direct commands; heartbeat requests to workers have a limit of the same size
	clients  int // connections of workers, users and health checks
}

// newConnectionLimits divides the machine's sockets. The limit of commands grows with the number
// of sockets, because a fifth of the workers may hang at once. Clients get the sockets that the
// controller's own calls do not need, but at least tuning.MinClientConnections. A fleet with more
// workers than that shares the connections.
func newConnectionLimits(machine config.MachineLimits, peers int) connectionLimits {
	commands := max(tuning.MinCommandsInFlight, int(float64(machine.Sockets)*tuning.CommandSocketShare))
	internal := 2*commands + stateConnections() + tuning.MaxCloudCallsInFlight + 2*peers + tuning.ReservedSockets
	return connectionLimits{
		commands: commands,
		clients:  max(tuning.MinClientConnections, machine.Sockets-internal),
	}
}

// stateConnections returns the maximum number of connections to the state service.
func stateConnections() int {
	return tuning.MaxStoreReadsInFlight + store.NumPriorities*tuning.MaxStoreWritesInFlight + tuning.StoreExtraInFlight
}
