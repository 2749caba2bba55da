package leader

import "time"

// CancellationWatermark is the latest time, on this process's clock, up to which a shard's lease holder
// is guaranteed to know every cancellation that any controller has confirmed to a user. Renewals of
// worker leases are limited to a bounded time past the watermark, so that tasks of an unknown
// cancellation still stop within the cancellation deadline.
//
// The watermark advances to a time once the lease holder has read every write to the state service up to
// that time, or once every peer has acknowledged that it confirmed no cancellation unknown to the lease
// holder up to that time. An outage of the state service does not advance the watermark by itself: a
// controller may have confirmed a cancellation just before the outage. The watermark never moves
// backwards.
type CancellationWatermark struct {
	watermark time.Time // zero before the first read
	peers     map[string]acknowledgement
}

// acknowledgement is the latest acknowledgement of a peer. It covers the confirmations of one process
// only. process is 0 if the peer has acknowledged nothing.
type acknowledgement struct {
	process   uint64
	startedAt time.Time // upper bound of the process's start time
	until     time.Time // time up to which it confirmed nothing unknown to the lease holder
}

// NewCancellationWatermark returns the watermark of a lease holder whose peers have the given member
// names.
func NewCancellationWatermark(peers []string) *CancellationWatermark {
	w := &CancellationWatermark{peers: map[string]acknowledgement{}}
	for _, peer := range peers {
		w.peers[peer] = acknowledgement{}
	}
	return w
}

// AdvanceTo advances the watermark to a time, and does nothing if the watermark is later. The caller
// must have read and applied every write to the state service up to that time.
func (w *CancellationWatermark) AdvanceTo(until time.Time) {
	if until.After(w.watermark) {
		w.watermark = until
	}
}

// Acknowledge records that a peer's process, started no later than startedAt, has forwarded every
// cancellation that it confirmed up to until. The caller must have applied the forwarded cancellations.
// Acknowledgements of members that are not peers are ignored, as are those of versions that send no
// process ID (0).
func (w *CancellationWatermark) Acknowledge(peer string, process uint64, startedAt, until time.Time) {
	last, known := w.peers[peer]
	if known && process != 0 && until.After(last.until) {
		w.peers[peer] = acknowledgement{process: process, startedAt: startedAt, until: until}
	}
}

// Advance advances the watermark to the earliest acknowledgement of the peers and returns it. Without
// peers it advances to now. The watermark is zero before the first read.
func (w *CancellationWatermark) Advance(now time.Time) time.Time {
	if w.watermark.IsZero() {
		return w.watermark
	}
	acknowledged := now // without peers, only this process confirms cancellations
	for _, peer := range w.peers {
		// The acknowledgement of a process that started after the watermark does not cover the
		// process that it replaced, which may have confirmed a cancellation since the watermark.
		if peer.process == 0 || peer.startedAt.After(w.watermark) {
			return w.watermark
		}
		if peer.until.Before(acknowledged) {
			acknowledged = peer.until
		}
	}
	w.AdvanceTo(acknowledged)
	return w.watermark
}
