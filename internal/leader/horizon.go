package leader

import "time"

// Horizon is the last moment, on this process's clock, up to which a block's holder
// surely knows every cancellation that any node has told a user. Its own reads of the
// state service move it on, and where it cannot read, its peers' word that they have
// told of none that the holder does not have. That the state service answers nobody
// moves nothing by itself: a cancellation may have been confirmed just before.
type Horizon struct {
	at    time.Time
	peers map[string]*vouch
}

// vouch is what one peer's newest word is worth.
type vouch struct {
	process uint64
	born    time.Time // its process began no later
	until   time.Time // it had told of nothing else by then
}

// NewHorizon makes the horizon of a holder with these peers.
func NewHorizon(peers []string) *Horizon {
	h := &Horizon{peers: map[string]*vouch{}}
	for _, p := range peers {
		h.peers[p] = &vouch{}
	}
	return h
}

// Read notes that all that was written by a moment has been read, and acted upon.
func (h *Horizon) Read(upTo time.Time) {
	if upTo.After(h.at) {
		h.at = upTo
	}
}

// Vouch notes a peer's word, all of which has been acted upon: its process began no
// later than born, and had by until told of no cancellation that was not passed on.
func (h *Horizon) Vouch(peer string, process uint64, born, until time.Time) {
	if v := h.peers[peer]; v != nil && process != 0 && until.After(v.until) {
		*v = vouch{process, born, until}
	}
}

// At is the horizon.
func (h *Horizon) At(now time.Time) time.Time {
	if h.at.IsZero() {
		return h.at
	}
	to := now // without peers, whatever is told is told here
	for _, v := range h.peers {
		// A process that began after the horizon cannot speak for the one it
		// replaced, which may have told of a cancellation between the two.
		if v.process == 0 || v.born.After(h.at) {
			return h.at
		}
		if v.until.Before(to) {
			to = v.until
		}
	}
	h.Read(to)
	return h.at
}
