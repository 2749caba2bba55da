// Package leader keeps this process a member, elects a leader among the members, and lets the
// leader lease shards to live members.
//
// A member is a process: its incarnation is the lease it holds in the state service, so a
// restarted process has no claim to what its predecessor held.
//
// Times are of the process's steady clock (package clock) unless a name or a comment says wall
// clock. Everything here is used by the one goroutine that owns the controller's state.
package leader

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Term is the time in which one process owns a shard, under one fencing token. Its invariants:
//
//   - Only the leader starts a term, in one compare-and-swap that also increments the token's
//     record. So a token belongs to one term, and a later term of any shard has a higher one:
//     workers refuse commands with a token below the highest they know.
//   - Every write of the term is conditioned on Version. So a term that has been superseded
//     changes nothing more, even if its process does not know of it yet.
//   - The lease holder acts only while LeaseValid: its lease ends before the leader can see its
//     member record disappear and start another term.
//   - A term ends when its holder gives it up (Resign) or when the leader assigns the shard
//     anew, which it does only after the holder's incarnation has ceased to be a member.
type Term struct {
	Shard            int
	Token            uint64
	Version          uint64 // of the shard's record
	PredecessorEnded bool   // see ShardRecord
}

// Options are what a Membership needs from its controller.
type Options struct {
	Member    string           // this member's name
	Shards    int              // the number of shards, numbered from 0
	Features  []string         // the feature gates that this process announces
	WallClock func() time.Time // for times that are stored
	StateCall store.Caller
	Log       *slog.Logger
	// OnUnhandledRecord is called with changes of control records that are not of this package.
	OnUnhandledRecord func(now time.Time, key string, item wire.KeyValue, deleted bool)
}

// memberState is how far this process is with becoming a member.
type memberState int

const (
	memberOut      memberState = iota // no lease
	memberGranting                    // a lease has been requested
	memberJoining                     // lease granted, member record not yet written
	memberJoined                      // member record written
)

func (s memberState) String() string {
	return [...]string{"out", "granting", "joining", "joined"}[s]
}

// Membership is this process's part in membership, leader election and shard leases.
type Membership struct {
	options Options
	cache   *store.WatchCache // of all control records
	records controlRecords
	state   memberState
	lease   processLease
	// retryAt is when the next grant, join or election transaction may be sent, and
	// transacting whether a transaction of the latter kind has been sent and not answered.
	retryAt     time.Time
	transacting bool
}

// New makes a Membership that has no lease and has read nothing; Tick starts both.
func New(options Options) *Membership {
	m := &Membership{options: options, records: newControlRecords(options.Log)}
	m.cache = store.NewWatchCache(store.WatchCacheOptions{
		Prefix:    ControlPrefix,
		StateCall: options.StateCall,
		OnChange:  m.applyRecord,
	})
	return m
}

func (m *Membership) applyRecord(now time.Time, key string, item wire.KeyValue, deleted bool) {
	if !m.records.apply(key, item, deleted) {
		m.options.OnUnhandledRecord(now, key, item, deleted)
	}
}

// Tick starts the requests that are due: a grant or renewal of the lease, the member record, an
// election or an assignment. It is called after every event and at regular intervals.
func (m *Membership) Tick(now time.Time) {
	m.cache.Tick(now)
	switch m.state {
	case memberOut:
		if !now.Before(m.retryAt) {
			m.requestLease()
		}
	case memberJoining:
		m.renewLease(now)
		if !now.Before(m.retryAt) && m.cache.Synced() {
			m.join(now)
		}
	case memberJoined:
		m.renewLease(now)
		if m.mayTransact(now) && m.cache.Synced() {
			m.campaign()
		}
	}
}

// mayTransact reports whether an election or assignment transaction may be sent.
func (m *Membership) mayTransact(now time.Time) bool {
	return !m.transacting && !now.Before(m.retryAt) && m.LeaseValid(now)
}

func (m *Membership) transact(transaction wire.Transaction) {
	m.transacting = true
	call := store.Call{Op: store.OpTransaction, Transaction: transaction}
	m.options.StateCall(call, func(now time.Time, _ store.Result) {
		m.transacting = false
		// what was written, by this process or by another, arrives through the cache
		m.retryAt = now.Add(tuning.ElectionPause)
	})
}

func (m *Membership) setState(state memberState, reason string) {
	if state != m.state {
		m.options.Log.Debug("membership changed", "from", m.state, "to", state, "reason", reason)
	}
	m.state = state
}

// Resign gives up a shard whose term this process has ended although the records still name it
// the lease holder: the leader then assigns the shard anew. unreachable means that the reason is
// that the workers cannot reach this member, which then comes last for the shard. Nothing is
// sent while another transaction is under way or the lease is not valid; the caller tries again.
func (m *Membership) ReleaseShard(now time.Time, term Term, unreachable bool) {
	if !m.mayTransact(now) {
		return
	}
	m.options.Log.Info("shard lease given up", "shard", term.Shard, "term", term.Token, "unreachable", unreachable)
	record := ShardRecord{Token: term.Token}
	if unreachable {
		record.Unreachable = m.options.Member
	}
	key := ShardKey(term.Shard)
	m.transact(wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(key, term.Version)},
		Writes:   []wire.Write{store.Put(key, record, 0)},
	})
}

// Synced reports whether the control records have been read.
func (m *Membership) Synced() bool { return m.cache.Synced() }

// Each calls f for every control record whose key has a prefix, in key order.
func (m *Membership) Each(prefix string, f func(item wire.KeyValue)) {
	m.cache.Each(func(item wire.KeyValue) {
		if strings.HasPrefix(item.Key, prefix) {
			f(item)
		}
	})
}

// Version is the version of a control record, 0 if it does not exist.
func (m *Membership) Version(key string) uint64 { return m.cache.Version(key) }

// LastContact is when the state service last answered a watch of the control records or a
// renewal; zero if it never did.
func (m *Membership) LastContact() time.Time {
	if m.lease.lastRenewal.After(m.cache.LastContact()) {
		return m.lease.lastRenewal
	}
	return m.cache.LastContact()
}

// CurrentAsOf is the moment up to which all changes of the control records are known.
func (m *Membership) CurrentAsOf() time.Time { return m.cache.CurrentAsOf() }

// Incarnation is this process's incarnation, 0 while it has no lease.
func (m *Membership) Incarnation() uint64 { return m.lease.id }

// LeaseValid reports whether this process is a member whose lease surely has not expired. Only
// then may it act as leader or as lease holder of a shard.
func (m *Membership) LeaseValid(now time.Time) bool {
	return m.state == memberJoined && now.Before(m.lease.deadline)
}

// LeaseDeadline is when this process's lease may have expired; zero without a lease.
func (m *Membership) LeaseDeadline() time.Time { return m.lease.deadline }

// Holder returns the member that leases a shard and the token of its term, as last read; live
// reports whether that process is still a member.
func (m *Membership) Holder(shard int) (member string, token uint64, live bool) {
	record, ok := m.records.shards[shard]
	if !ok {
		return "", 0, false
	}
	term := record.value
	return term.Holder, term.Token, m.records.isLive(term.Holder, term.Incarnation)
}

// Terms lists the terms that the records give to this process, in order of shards.
func (m *Membership) Terms() []Term {
	if m.lease.id == 0 {
		return nil
	}
	var terms []Term
	for shard := range m.options.Shards {
		record, ok := m.records.shards[shard]
		if !ok || record.value.Holder != m.options.Member || record.value.Incarnation != m.lease.id {
			continue
		}
		terms = append(terms, Term{
			Shard:            shard,
			Token:            record.value.Token,
			Version:          record.version,
			PredecessorEnded: record.value.PredecessorEnded,
		})
	}
	return terms
}

// IsLeader reports whether the records name this process the leader.
func (m *Membership) IsLeader() bool {
	leader := m.records.leader
	return m.lease.id != 0 && leader.version != 0 &&
		leader.value.Member == m.options.Member && leader.value.Incarnation == m.lease.id
}

// ShardAssignedAt is when a shard's term was assigned, by the leader's wall clock; zero if that
// is not known.
func (m *Membership) ShardAssignedAt(shard int) time.Time {
	if at := m.records.shards[shard].value.AssignedAtMs; at != 0 {
		return time.UnixMilli(at)
	}
	return time.Time{}
}

// FeatureInForce reports whether the leader has recorded that every member announced a feature
// gate.
func (m *Membership) FeatureInForce(name string) bool {
	return slices.Contains(m.records.features.value.InForce, name)
}

// Members lists the live members by name, and the leader's name, "" if there is none.
func (m *Membership) Members() (names []string, leader string) {
	for name := range m.records.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, m.records.leader.value.Member
}
