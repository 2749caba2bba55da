package controller

import (
	"time"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/term"
)

// Effects performs the I/O of a controller. Each method returns immediately and delivers its
// result by calling done on the controller's event loop.
type Effects interface {
	term.Effects
	// SendPeerHeartbeat sends a heartbeat to another controller, which replies with its own.
	SendPeerHeartbeat(member string, heartbeat *peerpb.PeerHeartbeat,
		done func(now time.Time, reply *peerpb.PeerHeartbeat, err error))
	// QueryProgress asks another controller for the progress of jobs.
	QueryProgress(member string, request *peerpb.ProgressRequest,
		done func(now time.Time, reply *peerpb.ProgressReply, err error))
}
