package controller

import (
	"time"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/term"
)

// Effects are what a controller asks of the outside. Each returns at once; its result comes
// back later, on the goroutine that owns the controller.
type Effects interface {
	term.Effects
	// SendHeartbeat exchanges heartbeats with another controller.
	SendHeartbeat(member string, heartbeat *peerpb.PeerHeartbeat,
		then func(now time.Time, answer *peerpb.PeerHeartbeat, err error))
	// QueryProgress asks another controller for the progress of jobs.
	QueryProgress(member string, request *peerpb.ProgressRequest,
		then func(now time.Time, reply *peerpb.ProgressReply, err error))
}
