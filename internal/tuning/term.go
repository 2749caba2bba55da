package tuning

import "time"

// Records that a lease holder writes, used by packages term and fleet.
const (
	// CompletionWriteInterval is the time for which task completions are batched into one write.
	CompletionWriteInterval = 1500 * time.Millisecond
	// MaxJobEndsInFlight bounds concurrent writes of job ends. Further ones wait in order of
	// priority.
	MaxJobEndsInFlight = 8
	// CompletionBitsPerByte is the number of bits of a completion bitmap per byte of a value's size
	// limit. It allows for base64 and for bitmaps of several jobs in a page.
	CompletionBitsPerByte = 2
	// CompletionNameBytes is the size of a bitmap's name and its JSON in a page.
	CompletionNameBytes = 64
	// StartMarkerInterval is the time for which start markers are batched into one write. It is short,
	// as a gang waits for its marker.
	StartMarkerInterval = 100 * time.Millisecond
	// RegistrationInterval is the time for which machines that sent their first heartbeat are batched
	// into one write. Hundreds of machines boot within seconds, and each waits for its record.
	RegistrationInterval = 250 * time.Millisecond
	// CounterLogInterval is the time between two log lines with the task counters.
	CounterLogInterval = 60 * time.Second
)

// Lease holders without contact to the state service, used by package term.
const (
	// CancellationRenewMargin is added to the duration of a worker lease when a lease holder checks
	// that a renewal does not let the tasks of a cancelled job outlive their time limit.
	CancellationRenewMargin = 5 * time.Second
	// MinRenewalPastWatermark is the lower bound of the period in which a lease holder continues to
	// renew worker leases although its cancellation watermark does not advance. It exceeds
	// WatchTimeout, as a watch without events advances the watermark only when it ends. It matters only
	// where a worker lease is nearly as long as the time within which cancelled tasks must end.
	MinRenewalPastWatermark = 6 * time.Second
)

// Lease holders that may be isolated from their workers, used by package term.
const (
	// IsolationMinMachines is the number of machines with unexpired worker leases below which the
	// lack of heartbeats does not indicate isolation.
	IsolationMinMachines = 3
	// IsolationHeartbeats is the time, in heartbeat intervals, without any heartbeat after which a
	// lease holder suspects its own isolation. It exceeds the jitter of heartbeats, a quarter of the interval.
	IsolationHeartbeats = 1.25
	// CloudIsolationTimeout is the time without a successful cloud call after which a lease holder
	// suspects its own isolation from the cloud. It allows for several timeouts and retries.
	CloudIsolationTimeout = 15 * time.Second
	// CloudProbeInterval is the time between two probes of the cloud through peers.
	CloudProbeInterval = 5 * time.Second
	// ReconcileInterval is the time between two queries of a machine that is unreconciled or left a command
	// unanswered.
	ReconcileInterval = 1 * time.Second
)
