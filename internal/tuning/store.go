package tuning

import "time"

// Calls of the state service, used by package store and, for their own lists and retries, by
// packages leader, term and config.
const (
	// StoreTimeout bounds a call. A renewal has RenewTimeout instead, and a watch its waiting time in
	// addition.
	StoreTimeout = 1500 * time.Millisecond
	// MaxStoreResponseBytes bounds a response body. A list page has at most 512 KiB; a watch
	// may return more.
	MaxStoreResponseBytes = 8 << 20
	// ListPageSize is the number of keys per list page, the largest that the service allows.
	ListPageSize = 1000
	// WatchTimeout bounds the time for which a watch waits for events. It is short, so that a watch
	// on a broken connection is replaced soon.
	WatchTimeout = 4 * time.Second
	// WatchCacheBackoff is the backoff after a failed list or watch.
	WatchCacheBackoff = 250 * time.Millisecond
	// MinTxnOps is the smallest limit on the writes of a transaction with which a controller can
	// run: a job's end and the deletion of its open record are one transaction.
	MinTxnOps = 2
)

// Rate limiter of the state service, used by package store.
const (
	// MinStoreRateShare is the lower bound of a member's share of the service's rate limits in a
	// deployment of several members. The shares may add up to more than 1, as members rarely peak
	// together.
	MinStoreRateShare = 0.6
	// RateShareStep is added to the share after each RateShareInterval in which writes waited for
	// tokens of the rate limiter and none was rejected.
	RateShareStep = 0.05
	// RateShareInterval is the time between two updates of the share.
	RateShareInterval = 500 * time.Millisecond
	// RateShareCooldown is the time after a rejection in which the share does not grow.
	RateShareCooldown = 5 * time.Second
	// RateLimitBackoff is the backoff of a queued call for which the rate limiter lacks tokens.
	RateLimitBackoff = 50 * time.Millisecond
	// LimitRejectionThreshold is the number of rate rejections within LimitRejectionWindow at which the
	// rate limiter switches to the upcoming limits. One rejection for a value's size suffices. Members
	// share the rate without coordination, so a few rate rejections are normal.
	LimitRejectionThreshold = 12
	// LimitRejectionWindow is the window in which rate rejections are counted. A trial of the current
	// limits takes as long.
	LimitRejectionWindow = 10 * time.Second
	// LoweredLimitsInitialDuration is the time for which the upcoming limits are enforced before the
	// rate limiter tries the current limits again. It doubles with each switch to the upcoming limits.
	// The trial is for a burst that was taken for lower limits; it costs some rejections, hence the
	// doubling.
	LoweredLimitsInitialDuration = 2 * time.Minute
	// LoweredLimitsMaxDuration bounds the doubling of LoweredLimitsInitialDuration.
	LoweredLimitsMaxDuration = 30 * time.Minute
	// TrialRejectionThreshold is the number of rejections at which a trial of the current limits ends
	// with a switch to the upcoming limits.
	TrialRejectionThreshold = 4
)

// WriteReserveShares lists, for each store.Priority, the share of the write bucket that calls of
// this priority leave to more urgent calls.
var WriteReserveShares = [...]float64{0, 0.1, 0.1, 0.2, 0.4}

// Stored pages, which hold many entries in one value, and desired values. Used by package store and by
// the packages that write records.
const (
	// PageFillShare is the share of a value's size limit that the entries of a page may fill. The
	// JSON around the entries counts towards the limit.
	PageFillShare = 0.85
	// PageRemovalInterval is the delay of a write that only removes entries of a page. Stale entries
	// are harmless, and batching saves writes.
	PageRemovalInterval = 10 * time.Second
	// MaxPages bounds the numbers of stored pages.
	MaxPages = 10000
	// MinPageBytes is the lower bound to which a page shrinks when the service rejects its size. The
	// longest entry takes half of it. Such an entry is a machine's name with its address.
	MinPageBytes = 128
	// WriterBackoffInitial is the backoff after a failed write of a desired value. It doubles after
	// each size rejection of a value that cannot be split.
	WriterBackoffInitial = 300 * time.Millisecond
	// WriterBackoffMax bounds the doubling of WriterBackoffInitial.
	WriterBackoffMax = 20 * time.Second
)

// Connections to the state service, used by package controller.
const (
	// MaxStoreReadsInFlight bounds concurrent reads.
	MaxStoreReadsInFlight = 8
	// MaxStoreWritesInFlight bounds concurrent writes of each priority. The bounds are separate, so
	// that writes that wait for tokens of the rate limiter do not block another priority.
	MaxStoreWritesInFlight = 8
	// StoreExtraInFlight is the number of connections beyond those of these reads and writes, for
	// renewals and watches.
	StoreExtraInFlight = 6
)
