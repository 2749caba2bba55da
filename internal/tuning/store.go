package tuning

import "time"

// The state service.
const (
	// StoreTimeout bounds a call: answers usually take under 10 ms.
	StoreTimeout = 1500 * time.Millisecond
	// MaxStoreResponseBytes bounds a response: lists are at most 512 KiB, a watch may
	// return more.
	MaxStoreResponseBytes = 8 << 20
	// StoreRateShare is one member's least part of the service's rates when there are
	// several: they rarely need it at the same time. It grows by RateShareStep each
	// RateShareInterval while writes wait and nothing is rejected, as a lease holder writes
	// most; a rejection ends that, for RateSharePause at least.
	StoreRateShare    = 0.6
	RateShareStep     = 0.05
	RateShareInterval = 500 * time.Millisecond
	RateSharePause    = 5 * time.Second
	// RateLimitRetry is the pause before a call that found no rate left tries
	// again, in the client's own queue.
	RateLimitRetry = 50 * time.Millisecond
	// ListPageSize is how many keys one call lists, the service's largest page.
	ListPageSize = 1000
	// WatchTimeout is how long one watch waits: short, so that one whose
	// connection died in silence is soon replaced.
	WatchTimeout = 4 * time.Second
	// WatchCacheRetry is the pause after a failed list or watch.
	WatchCacheRetry = 250 * time.Millisecond
	// PageFillShare is the part of a value's limit that a page's entries may take:
	// the service counts the JSON around them too.
	PageFillShare = 0.85
	// MinTxnOps is how many puts and deletes one transaction needs: a job's end and
	// its entry, a token and the shard that gets it.
	MinTxnOps = 2
	// RateLowerRefusals is how many rejections for the rate within RateLowerWindow, or one
	// for a value's size, show that the service has lowered its limits: a few come in
	// bursts, as the members share the rate without asking each other.
	RateLowerRefusals = 12
	RateLowerWindow   = 10 * time.Second
	// RateRaiseInitial is how long a lowered rate is kept before the current one is tried
	// again, in case a burst was taken for a change. It doubles each time, up to
	// RateRaiseMax: a trial costs a few rejections. RateTrialRefusals of them end it.
	RateRaiseInitial  = 2 * time.Minute
	RateRaiseMax      = 30 * time.Minute
	RateTrialRefusals = 4
	// PageRemovalInterval is how long a page from which entries were only removed waits for
	// its next write: what is removed does no harm, and each write takes some of the rate.
	PageRemovalInterval = 10 * time.Second
	// MaxPages bounds the numbers of pages, far above any use.
	MaxPages = 10000
	// WriterRetryInitial is the pause after a failed write of a record. After a rejection for
	// the size of one that cannot be made smaller it doubles up to WriterRetryMax.
	WriterRetryInitial = 300 * time.Millisecond
	WriterRetryMax     = 20 * time.Second
	// MinPageBytes is the size, in bytes, below which a page is not made smaller, whatever
	// the service rejects: its longest entries, names with addresses, take half of it.
	MinPageBytes = 128
	// StoreReadsInFlight is how many reads of the state service may be in flight at once,
	// StoreWritesInFlight how many writes of each priority, StoreExtraInFlight how many
	// leases and watches beside them. A write may wait long for its rate: nothing else
	// waits behind it.
	StoreReadsInFlight  = 8
	StoreWritesInFlight = 8
	StoreExtraInFlight  = 6
)

// WriteReserve is the part of a full write bucket that each priority of calls, in order
// leases, terms, users, ends of jobs, completions, leaves for the ones before it.
var WriteReserve = [...]float64{0, 0.1, 0.1, 0.2, 0.4}
