// Package leader implements cluster membership, leader election and shard leases on top of the
// state service (package store).
//
// A member is one process, identified by its incarnation: the ID of its lease in the state service.
// A restarted process is a new incarnation and does not inherit the shards of the previous one.
//
// Times are read from the process's monotonic clock (package clock) unless a name or a comment says
// wall clock. The package is not safe for concurrent use: only the goroutine that owns the
// controller's state may call it.
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

// Assignment assigns a shard to a process for one term, the period in which the process holds the
// shard's lease under one fencing token. Invariants:
//
//   - Only the leader starts a term, in a compare-and-swap that also increments the token record.
//     A token therefore belongs to one term, and a later term of any shard has a higher token.
//     Workers reject commands whose token is lower than the highest token that they have seen.
//   - Every write of a term is conditional on Version. A superseded term can therefore write nothing,
//     even if its process has not observed the change yet.
//   - The lease holder acts only while LeaseValid returns true. Its lease deadline passes before the
//     leader can observe the expiry of its member record and start another term.
//   - A term ends when its lease holder releases the shard (ReleaseShard) or when the leader assigns
//     the shard again, which requires that the holder's incarnation is no longer a member.
type Assignment struct {
	Shard             int
	Token             uint64
	Version           uint64 // version of the shard record
	EarlierTermsEnded bool   // see ShardRecord
}

// Options configures a Membership.
type Options struct {
	Member    string           // this member's name
	Shards    int              // number of shards; they are numbered from 0
	Features  []string         // feature gates that this process announces
	WallClock func() time.Time // source of stored timestamps
	StateCall store.Caller
	Log       *slog.Logger
	// OnUnhandledRecord receives changes of control records that belong to other packages.
	OnUnhandledRecord func(now time.Time, key string, item wire.KeyValue, deleted bool)
}

// memberState is the progress of this process in joining the cluster.
type memberState int

const (
	memberWithoutLease memberState = iota // no lease
	memberGranting                        // lease requested
	memberJoining                         // lease granted, member record not yet written
	memberJoined                          // member record written
)

func (s memberState) String() string {
	return [...]string{"out", "granting", "joining", "joined"}[s]
}

// Membership maintains this process's lease and member record, and takes part in leader election.
type Membership struct {
	options Options
	cache   *store.WatchCache // of all control records
	records controlRecords
	state   memberState
	lease   processLease
	// stateSince is the time of the latest change of state, zero before the first.
	stateSince time.Time
	retryAt    time.Time // earliest time of the next grant, join or transaction of sendTransaction
	// transacting reports whether a transaction of sendTransaction is in flight.
	transacting bool
}

// New returns a Membership without a lease or any records. Tick requests the lease and reads the records.
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

// Tick sends the requests that are due: a grant or renewal of the lease, the write of the member record,
// or a transaction of campaign. The controller calls it periodically.
func (m *Membership) Tick(now time.Time) {
	m.cache.Tick(now)
	switch m.state {
	case memberWithoutLease:
		if !now.Before(m.retryAt) {
			m.requestLease(now)
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

// mayTransact reports whether sendTransaction may be called.
func (m *Membership) mayTransact(now time.Time) bool {
	return !m.transacting && !now.Before(m.retryAt) && m.LeaseValid(now)
}

// sendTransaction sends a transaction that elects a leader, assigns or releases a shard, or records
// feature gates. mayTransact returns false until tuning.ElectionCooldown after the response.
func (m *Membership) sendTransaction(transaction wire.Transaction) {
	m.transacting = true
	call := store.Call{Op: store.OpTransaction, Transaction: transaction}
	m.options.StateCall(call, func(now time.Time, _ store.Result) {
		m.transacting = false
		// The outcome, written by this process or another, arrives through the watch cache.
		m.retryAt = now.Add(tuning.ElectionCooldown)
	})
}

func (m *Membership) setState(now time.Time, state memberState, reason string) {
	if state != m.state {
		m.options.Log.Debug("membership state changed", "from", m.state, "to", state, "reason", reason)
		m.stateSince = now
	}
	m.state = state
}

// State returns the name of this process's state in joining the cluster and the time since which it is in
// that state, which is zero before the first change.
func (m *Membership) State() (name string, since time.Time) { return m.state.String(), m.stateSince }

// ReleaseShard releases a shard whose term has ended on this process while its record still names this
// process as lease holder. The leader then assigns the shard again. unreachable means that the workers
// cannot reach this member, which makes it the least preferred candidate for the shard. ReleaseShard
// sends nothing while another transaction is in flight or the lease is not valid; the caller must retry.
func (m *Membership) ReleaseShard(now time.Time, assignment Assignment, unreachable bool) {
	if !m.mayTransact(now) {
		return
	}
	m.options.Log.Info("releasing shard lease", "shard", assignment.Shard,
		"term", assignment.Token, "unreachable", unreachable)
	record := ShardRecord{Token: assignment.Token, EarlierTermsEnded: assignment.EarlierTermsEnded}
	if unreachable {
		record.UnreachableMember = m.options.Member
	}
	key := ShardKey(assignment.Shard)
	m.sendTransaction(wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(key, assignment.Version)},
		Writes:   []wire.Write{store.Put(key, record, 0)},
	})
}

// Synced reports whether the watch cache has loaded the control records.
func (m *Membership) Synced() bool { return m.cache.Synced() }

// Each calls f for every control record whose key starts with prefix, in key order.
func (m *Membership) Each(prefix string, f func(item wire.KeyValue)) {
	m.cache.Each(func(item wire.KeyValue) {
		if strings.HasPrefix(item.Key, prefix) {
			f(item)
		}
	})
}

// Version returns the version of a control record, or 0 if it does not exist.
func (m *Membership) Version(key string) uint64 { return m.cache.Version(key) }

// LastContact returns the time of the latest response of the state service to a watch of the control
// records or to a lease renewal. It is zero if there was none.
func (m *Membership) LastContact() time.Time {
	if m.lease.lastRenewal.After(m.cache.LastContact()) {
		return m.lease.lastRenewal
	}
	return m.cache.LastContact()
}

// CurrentAsOf returns the time up to which every change of the control records has been read.
func (m *Membership) CurrentAsOf() time.Time { return m.cache.CurrentAsOf() }

// Incarnation returns the incarnation of this process, or 0 while it has no lease.
func (m *Membership) Incarnation() uint64 { return m.lease.id }

// LeaseValid reports whether this process is a member and its lease is guaranteed not to have expired.
// Only then may the process act as leader or as lease holder of a shard.
func (m *Membership) LeaseValid(now time.Time) bool {
	return m.state == memberJoined && now.Before(m.lease.deadline)
}

// LeaseDeadline returns the time from which this process's lease may have expired, or zero without a lease.
func (m *Membership) LeaseDeadline() time.Time { return m.lease.deadline }

// Holder returns the lease holder of a shard and the fencing token of its term, as last read. live
// reports whether the lease holder's incarnation is still a member.
func (m *Membership) Holder(shard int) (member string, token uint64, live bool) {
	record, ok := m.records.shards[shard]
	if !ok {
		return "", 0, false
	}
	current := record.value
	return current.Holder, current.Token, m.records.isLive(current.Holder, current.Incarnation)
}

// Assignments returns the shards that the shard records assign to this process, ordered by shard.
func (m *Membership) Assignments() []Assignment {
	if m.lease.id == 0 {
		return nil
	}
	var assignments []Assignment
	for shard := range m.options.Shards {
		record, ok := m.records.shards[shard]
		if !ok || record.value.Holder != m.options.Member || record.value.Incarnation != m.lease.id {
			continue
		}
		assignments = append(assignments, Assignment{
			Shard:             shard,
			Token:             record.value.Token,
			Version:           record.version,
			EarlierTermsEnded: record.value.EarlierTermsEnded,
		})
	}
	return assignments
}

// IsLeader reports whether the leader record names this incarnation, as last read.
func (m *Membership) IsLeader() bool {
	leader := m.records.leader
	return m.lease.id != 0 && leader.version != 0 &&
		leader.value.Member == m.options.Member && leader.value.Incarnation == m.lease.id
}

// ShardAssignedAt returns the time at which a shard's current term was assigned, by the leader's wall
// clock, or zero if the shard record does not contain it.
func (m *Membership) ShardAssignedAt(shard int) time.Time {
	if at := m.records.shards[shard].value.AssignedAtMs; at != 0 {
		return time.UnixMilli(at)
	}
	return time.Time{}
}

// FeatureInForce reports whether the leader has recorded a feature gate as announced by every member.
func (m *Membership) FeatureInForce(name string) bool {
	return slices.Contains(m.records.features.value.InForce, name)
}

// Members returns the names of the live members in sorted order, and the name of the leader, which is
// "" if there is none.
func (m *Membership) Members() (names []string, leader string) {
	for name := range m.records.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, m.records.leader.value.Member
}
