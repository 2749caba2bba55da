package leader

import "time"

// CancellationWatermark is the last moment, on this process's clock, up to which a shard's lease
// holder surely knows every cancellation that any controller has confirmed to a user. The holder
// may renew a worker's lease only so far past the watermark that the tasks of a cancellation it
// does not know of still stop in time.
//
// The watermark advances in two ways: the holder has read everything that was written to the
// state service up to a moment; or, where it cannot read, every peer has acknowledged that up to
// a moment it confirmed no cancellation that the holder does not have. That the state service
// answers nobody does not advance it: a cancellation may have been confirmed just before. The
// watermark never goes back.
type CancellationWatermark struct {
	known time.Time // zero until something has been read
	peers map[string]acknowledgement
}

// acknowledgement is the newest statement of a peer. It covers the confirmations of one process
// only; process is 0 if the peer has acknowledged nothing.
type acknowledgement struct {
	process   uint64
	startedAt time.Time // the process started at this time or earlier
	until     time.Time // it had confirmed nothing unknown to the holder by then
}

// NewCancellationWatermark makes the watermark of a lease holder with these peers, by member
// name.
func NewCancellationWatermark(peers []string) *CancellationWatermark {
	w := &CancellationWatermark{peers: map[string]acknowledgement{}}
	for _, peer := range peers {
		w.peers[peer] = acknowledgement{}
	}
	return w
}

// AdvanceTo notes that everything written by a moment has been read and acted upon.
func (w *CancellationWatermark) AdvanceTo(moment time.Time) {
	if moment.After(w.known) {
		w.known = moment
	}
}

// Acknowledge notes what a peer's process stated, after everything it passed on has been acted
// upon: the process started at startedAt or earlier, and had by until confirmed no cancellation
// that it has not passed on. Statements of members that are not peers, and of versions that give
// no process (0), do not count.
func (w *CancellationWatermark) Acknowledge(peer string, process uint64, startedAt, until time.Time) {
	last, known := w.peers[peer]
	if known && process != 0 && until.After(last.until) {
		w.peers[peer] = acknowledgement{process: process, startedAt: startedAt, until: until}
	}
}

// At advances the watermark as far as the peers' acknowledgements allow, and returns it; zero if
// nothing has been read yet.
func (w *CancellationWatermark) At(now time.Time) time.Time {
	if w.known.IsZero() {
		return w.known
	}
	acknowledged := now // without peers, every cancellation is confirmed by this process
	for _, peer := range w.peers {
		// A process that started after the watermark cannot speak for the one it replaced,
		// which may have confirmed a cancellation between the two.
		if peer.process == 0 || peer.startedAt.After(w.known) {
			return w.known
		}
		if peer.until.Before(acknowledged) {
			acknowledged = peer.until
		}
	}
	w.AdvanceTo(acknowledged)
	return w.known
}
