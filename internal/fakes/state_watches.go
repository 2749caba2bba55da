package fakes

import (
	"slices"
	"strings"
	"time"

	"juniperchute/internal/store"
)

// watch is a pending watch call.
type watch struct {
	prefix string
	since  uint64 // the latest revision known to the caller
	reply  func(store.Result)
}

// watch replies once a key with the prefix has changed after SinceRevision, or when WatchWaitMs has
// passed.
func (s *StateService) watch(call store.Call, reply func(store.Result)) {
	result, changed := s.eventsSince(call.Prefix, call.SinceRevision)
	if (changed || call.WatchWaitMs == 0) && !s.unavailable {
		reply(result)
		return
	}
	pending := &watch{prefix: call.Prefix, since: call.SinceRevision, reply: reply}
	s.watches = append(s.watches, pending)
	s.clock.Schedule(time.Duration(call.WatchWaitMs)*time.Millisecond, func() { s.endWatch(pending) })
}

// endWatch times out a watch that is still pending. The watch gets no reply during an outage.
func (s *StateService) endWatch(pending *watch) {
	i := slices.Index(s.watches, pending)
	if i < 0 {
		return
	}
	s.watches = slices.Delete(s.watches, i, i+1)
	if !s.unavailable {
		pending.reply(store.Result{Revision: s.Revision})
	}
}

// notifyWatches replies to the watches with new changes, except during an outage.
func (s *StateService) notifyWatches() {
	if s.unavailable {
		return
	}
	var pending []*watch
	for _, w := range s.watches {
		if result, changed := s.eventsSince(w.prefix, w.since); changed {
			w.reply(result)
		} else {
			pending = append(pending, w)
		}
	}
	s.watches = pending
}

// eventsSince returns the changes of keys with a prefix after a revision, and whether there are any.
// The result is store.ErrCompacted if the history no longer covers the revision.
func (s *StateService) eventsSince(prefix string, since uint64) (result store.Result, changed bool) {
	if since < s.compactedRevision {
		return store.Result{Err: store.ErrCompacted}, true
	}
	result = store.Result{Revision: s.Revision}
	for _, event := range s.history {
		if event.Version > since && strings.HasPrefix(event.PutKey+event.DeleteKey, prefix) {
			result.Events = append(result.Events, event)
		}
	}
	return result, len(result.Events) > 0
}
