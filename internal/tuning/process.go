package tuning

import "time"

// Resources of the controller process, used by packages controller and config.
const (
	// RecommendedCPU is the CPU share, in cores, below which package config warns. It is the smallest
	// share seen to keep up with a fleet (docs/operations.md).
	RecommendedCPU = 0.036
	// RecommendedMemoryMB is the memory, in MiB, below which package config warns.
	RecommendedMemoryMB = 65
	// RecommendedSockets is the number of open sockets below which package config warns.
	RecommendedSockets = 900
	// GCPercent is the GOGC value of the process. The live heap is small, and the memory limit
	// bounds its growth.
	GCPercent = 400
	// HeapMemoryShare is the share of the memory limit for the Go heap. The program text and the
	// runtime use the rest.
	HeapMemoryShare = 0.6
	// ReservedSockets is the number of sockets reserved for listeners, operators and connections
	// that are being closed.
	ReservedSockets = 60
	// MinClientConnections is the lower bound of the connections for workers and users, whatever
	// the socket limit.
	MinClientConnections = 64
)

// Suspension of the machine, used by package clock.
const (
	// MinSuspension is the smallest difference between the two system clocks that counts as a
	// suspension. The clocks are not read at the same instant.
	MinSuspension = 100 * time.Millisecond
)

// Trace spans, used by package tracing.
const (
	// TraceQueueSize is the capacity of the queue of spans to be written. Spans are dropped while
	// the queue is full.
	TraceQueueSize = 2048
	// TraceWriteInterval is the time between two writes of queued spans.
	TraceWriteInterval = 1 * time.Second
)
