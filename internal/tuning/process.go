package tuning

import "time"

// The process's share of its machine, used by packages controller and config.
const (
	// RecommendedCPU, in cores, is the smallest share of a processor with which the service was
	// seen to keep up with a fleet, of up to 260 simulated machines (docs/operations.md); with
	// less it warns.
	RecommendedCPU = 0.036
	// RecommendedMemoryMB is the same for memory, in MiB.
	RecommendedMemoryMB = 65
	// RecommendedSockets is the same for open sockets.
	RecommendedSockets = 900
	// GCPercent lets the heap grow several times over what is live before it is collected: what
	// is live is small, and the memory limit bounds the rest.
	GCPercent = 400
	// HeapMemoryShare is the part of the memory limit given to the Go heap; the program's text
	// and the runtime's own memory take the rest.
	HeapMemoryShare = 0.6
	// ReservedSockets are kept for listeners, operators and connections that are being closed.
	ReservedSockets = 60
	// MinClientConnections is how many connections workers and users get, however low the
	// limit of sockets.
	MinClientConnections = 64
)

// Suspension of the machine, used by package clock.
const (
	// MinSuspension is the least difference of two clocks of the machine that counts as a
	// suspension: they are read one after the other.
	MinSuspension = 100 * time.Millisecond
)

// Spans, used by package tracing.
const (
	// TraceQueueSize is how many spans may wait to be written. Further ones are dropped, as
	// nothing waits for them.
	TraceQueueSize = 2048
	// TraceWriteInterval is how often the spans that wait are written.
	TraceWriteInterval = 1 * time.Second
)
