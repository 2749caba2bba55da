package leader

import "time"

// CancellationWatermark is the last moment, on this process's clock, up to which a block's holder
// surely knows every cancellation that any node has told a user. Its own reads of the
// state service move it on, and where it cannot read, its peers' word that they have
// told of none that the holder does not have. That the state service answers nobody
// moves nothing by itself: a cancellation may have been confirmed just before.
type CancellationWatermark struct {
	known time.Time
	peers map[string]*acknowledgement
}

// acknowledgement is what one peer's newest word is worth.
type acknowledgement struct {
	process   uint64
	startedAt time.Time // its process began no later
	until     time.Time // it had told of nothing else by then
}

// NewCancellationWatermark makes the horizon of a holder with these peers.
func NewCancellationWatermark(peers []string) *CancellationWatermark {
	h := &CancellationWatermark{peers: map[string]*acknowledgement{}}
	for _, p := range peers {
		h.peers[p] = &acknowledgement{}
	}
	return h
}

// AdvanceTo notes that all that was written by a moment has been read, and acted upon.
func (h *CancellationWatermark) AdvanceTo(upTo time.Time) {
	if upTo.After(h.known) {
		h.known = upTo
	}
}

// Acknowledge notes a peer's word, all of which has been acted upon: its process began no
// later than born, and had by until told of no cancellation that was not passed on.
func (h *CancellationWatermark) Acknowledge(peer string, process uint64, born, until time.Time) {
	if v := h.peers[peer]; v != nil && process != 0 && until.After(v.until) {
		*v = acknowledgement{process, born, until}
	}
}

// At is the horizon.
func (h *CancellationWatermark) At(now time.Time) time.Time {
	if h.known.IsZero() {
		return h.known
	}
	to := now // without peers, whatever is told is told here
	for _, v := range h.peers {
		// A process that began after the horizon cannot speak for the one it
		// replaced, which may have told of a cancellation between the two.
		if v.process == 0 || v.startedAt.After(h.known) {
			return h.known
		}
		if v.until.Before(to) {
			to = v.until
		}
	}
	h.AdvanceTo(to)
	return h.known
}
