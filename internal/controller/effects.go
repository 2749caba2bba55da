package controller

import (
	"errors"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Effects are what a controller asks of the outside. Each returns at once; its result comes
// back later, on the goroutine that owns the controller.
type Effects interface {
	// CallState sends a call to the state service.
	CallState(call store.Call, then func(now time.Time, result store.Result))
	// CallCloud sends a call to the cloud.
	CallCloud(call cloud.Call, then func(now time.Time, result cloud.Result))
	// SendCommands sends commands straight to a worker, unless that is only possible after
	// the deadline (ErrDeadlinePassed): a process that was frozen must not act on what it
	// believed before. On success it brings the worker's state after the commands, whether
	// the worker has executed them or rejected them; after any other error they may have been
	// executed, or may be executed later.
	SendCommands(address string, commands wire.DirectCommands, deadline time.Time,
		then func(now time.Time, heartbeat *wire.Heartbeat, err error))
	// SendHeartbeat exchanges heartbeats with another controller.
	SendHeartbeat(member string, heartbeat *peerpb.PeerHeartbeat,
		then func(now time.Time, answer *peerpb.PeerHeartbeat, err error))
	// AskProgress asks another controller for the progress of jobs.
	AskProgress(member string, request *peerpb.ProgressRequest,
		then func(now time.Time, reply *peerpb.ProgressReply, err error))
	// ProbeWorkers has another controller ask workers whether they answer.
	ProbeWorkers(member string, request *peerpb.ProbeRequest,
		then func(now time.Time, reply *peerpb.ProbeReply, err error))
}

// Errors of SendCommands.
var (
	// ErrDeadlinePassed tells that the commands were not sent, and never will be.
	ErrDeadlinePassed = errors.New("commands not sent: deadline passed")
	// ErrNoReply tells that no answer came.
	ErrNoReply = errors.New("no reply")
)
