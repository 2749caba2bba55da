package tuning

import "time"

// Records that the owner of a shard writes, used by packages term and fleet.
const (
	// CompletionWriteInterval is for how long completions of tasks are collected before they
	// are written.
	CompletionWriteInterval = 1500 * time.Millisecond
	// MaxJobEndsInFlight is how many writes of jobs' ends may be in flight: the rest waits in
	// the order of priority, and not in that of the requests.
	MaxJobEndsInFlight = 8
	// CompletionBitsPerByte is how many bits of a completion bitmap are stored for each byte of
	// a value's limit: base64 takes its part, and a page should hold the bitmaps of several jobs.
	CompletionBitsPerByte = 2
	// CompletionNameBytes is what the name of a bitmap and the JSON around it take of a page.
	CompletionNameBytes = 64
	// StartMarkerInterval is how often start markers are written: a gang waits for its marker.
	StartMarkerInterval = 100 * time.Millisecond
	// RegistrationInterval is how often machines that sent their first heartbeat are recorded:
	// hundreds boot within seconds, and each waits for its record.
	RegistrationInterval = 250 * time.Millisecond
	// CounterLogInterval is how often the counters of copies of tasks are logged.
	CounterLogInterval = 60 * time.Second
)

// A shard's owner that cannot reach the state service, used by package term.
const (
	// CancellationRenewMargin is the part of the time for a cancellation that the owner keeps
	// in reserve when it goes on renewing workers' leases.
	CancellationRenewMargin = 5 * time.Second
	// MinRenewBeyondWatermark is how long past its cancellation watermark the owner answers
	// heartbeats at least: a watch without events and the wait for the next one take so long.
	// It only matters where a lease is nearly as long as the time for a cancellation.
	MinRenewBeyondWatermark = 6 * time.Second
)

// A shard's owner that may be isolated from its workers, used by package term.
const (
	// IsolationMinMachines is how many machines must have sent a heartbeat lately for the owner
	// to conclude anything from their silence.
	IsolationMinMachines = 3
	// IsolationHeartbeats is for how many heartbeat intervals none of them may have sent one for
	// the owner to suspect that it is isolated itself: heartbeats vary by a quarter.
	IsolationHeartbeats = 1.25
	// ReconcileInterval is the pause before an unreconciled machine is asked again.
	ReconcileInterval = 1 * time.Second
)
