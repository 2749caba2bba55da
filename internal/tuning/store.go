package tuning

import "time"

// Calls of the state service, used by package store and, for lists and retries of their own, by
// packages leader, term and config.
const (
	// StoreTimeout bounds a call: responses usually take under 10 ms.
	StoreTimeout = 1500 * time.Millisecond
	// MaxStoreResponseBytes bounds a response: lists are at most 512 KiB, a watch may return
	// more.
	MaxStoreResponseBytes = 8 << 20
	// ListPageSize is how many keys one call lists, the service's largest page.
	ListPageSize = 1000
	// WatchTimeout is how long one watch waits for events: short, so that one whose connection
	// broke without a sign is soon replaced.
	WatchTimeout = 4 * time.Second
	// WatchCacheBackoff is the pause after a failed list or watch.
	WatchCacheBackoff = 250 * time.Millisecond
	// MinTxnOps is how many writes one transaction must take, whatever the service's limits: a
	// job's end and the deletion of its open record, or a token and the shard that gets it.
	MinTxnOps = 2
)

// The rate limiter of the state service, used by package store.
const (
	// StoreRateShare is the least part of the service's rates that one of several members
	// uses: they rarely need them at the same time.
	StoreRateShare = 0.6
	// RateShareStep is by how much the part grows each RateShareInterval while writes wait and
	// none is rejected, as the owner of a shard writes most.
	RateShareStep = 0.05
	// RateShareInterval is the time between two steps of the part.
	RateShareInterval = 500 * time.Millisecond
	// RateShareCooldown is how long the part does not grow after a rejection.
	RateShareCooldown = 5 * time.Second
	// RateLimitBackoff is the pause, in the client's own queue, before a call for which no rate
	// was left is tried again.
	RateLimitBackoff = 50 * time.Millisecond
	// RateLowerRejections is how many rejections for the rate within RateLowerWindow, or one for
	// a value's size, show that the service has lowered its limits: a few come in bursts, as
	// the members share the rate without coordination.
	RateLowerRejections = 12
	// RateLowerWindow is the time within which rejections for the rate are counted.
	RateLowerWindow = 10 * time.Second
	// RateRaiseInitial is how long a lowered rate is kept before the earlier one is tried again,
	// in case a burst was taken for lower limits. It doubles each time, as a trial costs some
	// rejections.
	RateRaiseInitial = 2 * time.Minute
	// RateRaiseMax bounds the doubling of RateRaiseInitial.
	RateRaiseMax = 30 * time.Minute
	// RateTrialRejections is how many rejections end a trial of the earlier rate.
	RateTrialRejections = 4
)

// WriteReserveShares is, for each priority of calls (leases, terms, users, ends of jobs, completions),
// the part of a full bucket of writes that it leaves to the priorities before it.
var WriteReserveShares = [...]float64{0, 0.1, 0.1, 0.2, 0.4}

// Pages and desired values, used by package store and by those that write records themselves.
const (
	// PageFillShare is the part of a value's limit that the entries of a page may take: the
	// service counts the JSON around them too.
	PageFillShare = 0.85
	// PageRemovalInterval is how long a page from which entries were only removed waits for its
	// next write: what was removed does no harm, and each write takes some of the rate.
	PageRemovalInterval = 10 * time.Second
	// MaxPages bounds the numbers of pages, far above any use.
	MaxPages = 10000
	// MinPageBytes is the size below which a page is not made smaller, whatever the service
	// rejects: its longest entries, names with addresses, take half of it.
	MinPageBytes = 128
	// WriterBackoffInitial is the pause after a failed write of a desired value. It doubles after
	// each rejection for the size of a value that cannot be made smaller.
	WriterBackoffInitial = 300 * time.Millisecond
	// WriterBackoffMax bounds the doubling of WriterBackoffInitial.
	WriterBackoffMax = 20 * time.Second
)

// Connections to the state service, used by package controller.
const (
	// StoreReadsInFlight is how many reads may be in flight.
	StoreReadsInFlight = 8
	// StoreWritesInFlight is how many writes of each priority may be in flight. A write may
	// wait long for its rate: nothing of another priority waits behind it.
	StoreWritesInFlight = 8
	// StoreExtraInFlight is how many renewals and watches may be in flight beside them.
	StoreExtraInFlight = 6
)
