package controller

import (
	"juniperchute/internal/config"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
)

// connectionLimits are how many of a controller's own connections may be under way at once,
// by what they are for, within the machine's limit of sockets.
type connectionLimits struct {
	commands int // direct commands, and as many again that only ask for an account
	clients  int // connections of workers, users and health checks
}

// newConnectionLimits divides the sockets. Commands get a part that grows with the limit, as
// a fifth of the machines may hang at once; clients get whatever the controller itself
// does not need. Where that is fewer than the machines, workers take turns.
func newConnectionLimits(l config.MachineLimits, peers int) connectionLimits {
	p := connectionLimits{commands: max(tuning.CommandsInFlight, int(float64(l.Sockets)*tuning.CommandSocketShare))}
	own := 2*p.commands + stateConnections() + tuning.CloudCallsInFlight + 2*peers + tuning.ReservedSockets
	p.clients = max(tuning.MinClientConnections, l.Sockets-own)
	return p
}

// stateConnections is how many connections to the state service there may be.
func stateConnections() int {
	return tuning.StoreReadsInFlight + store.Priorities*tuning.StoreWritesInFlight + tuning.StoreExtraInFlight
}
