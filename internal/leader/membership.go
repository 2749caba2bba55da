// Package leader keeps this node a member, elects a leader among the members,
// and lets the leader lease machine blocks to live members.
//
// A member is a process: its incarnation is the lease it holds in the state
// service, so a restarted process has no claim to what its predecessor held.
package leader

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Keys of the control records, all under Control.
const (
	ControlPrefix = "c/"
	keyToken      = "c/baton"
	keyLeader     = "c/leader"
	memberPrefix  = "c/m/"
	shardPrefix   = "c/b/"
	// keyFeatures is one that versions before 0.3 do not list.
	keyFeatures = "c/switches"
)

// MemberRecord is a live process, attached to its lease.
type MemberRecord struct {
	Member      string
	Incarnation uint64 `json:"Inc"`   // its lease, the process's identity
	JoinedAtMs  int64  `json:"Since"` // when it joined, ms of the time of day
	// Features are what it announces that it can do; versions before 0.3 announce nothing.
	Features []string `json:"Switches,omitempty"`
}

// LeaderRecord names the leader.
type LeaderRecord struct {
	Member      string
	Incarnation uint64 `json:"Inc"`
}

// ShardRecord is a block's tenure. It changes only when the tenure does.
type ShardRecord struct {
	Holder      string
	Incarnation uint64 `json:"Inc"`
	Token       uint64 `json:"Baton"`
	// PredecessorEnded: the previous holder's process had surely ended when this tenure
	// began, so nothing renews its workers any more.
	PredecessorEnded bool `json:"Ended"`
	// Unreachable: the block was given back by this member because it alone does not
	// hear the workers.
	Unreachable string `json:"Deaf,omitempty"`
	// AssignedAtMs is when the tenure was assigned, ms of the leader's time of day; 0: by a
	// version that does not tell.
	AssignedAtMs int64 `json:"Since,omitempty"`
}

// FeaturesRecord tells what is in force: what every member announced when the leader looked.
type FeaturesRecord struct {
	InForce []string
}

type tokenRecord struct{ Last uint64 }

// Term is a block that this process holds.
type Term struct {
	Shard            int
	Token            uint64
	Version          uint64 // version of the block's record; every write of the tenure is conditioned on it
	PredecessorEnded bool
}

type memberState int

const (
	memberOut      memberState = iota // no lease
	memberGranting                    // asking for a lease
	memberJoining                     // lease at hand, record not yet written
	memberJoined                      // record written
)

func (s memberState) String() string {
	return [...]string{"out", "granting", "joining", "in"}[s]
}

// Membership is this node's part in membership, election and block leases.
type Membership struct {
	self   string
	shards int
	// announcedFeatures is what this process can do, by its switches.
	announcedFeatures []string
	wallClock         func() time.Time
	stateCall         store.Caller
	log               *slog.Logger
	cache             *store.WatchCache

	state            memberState
	lease            uint64
	leaseDeadline    time.Time // until then this process may act for its lease
	lastRenewal      time.Time
	renewalsInFlight int // renewals under way
	renewAt          time.Time
	retryAt          time.Time
	transacting      bool // an election or assignment transaction is under way

	members         map[string]versioned[MemberRecord]
	leader          versioned[LeaderRecord]
	shardRecords    map[int]versioned[ShardRecord]
	token           versioned[tokenRecord]
	featuresInForce versioned[FeaturesRecord]
	onOtherRecord   func(now time.Time, key string, it wire.KeyValue, gone bool)
}

type versioned[T any] struct {
	value   T
	version uint64
}

// New makes the slice of a member that announces some switches. other is told of changes
// of control keys that are not this slice's own.
func New(self string, blocks int, announced []string, wall func() time.Time, call store.Caller, log *slog.Logger,
	other func(now time.Time, key string, it wire.KeyValue, gone bool)) *Membership {
	s := &Membership{self: self, shards: blocks, announcedFeatures: announced, wallClock: wall, stateCall: call, log: log, onOtherRecord: other,
		members: map[string]versioned[MemberRecord]{}, shardRecords: map[int]versioned[ShardRecord]{}}
	s.cache = store.NewWatchCache(store.WatchCacheOptions{Prefix: ControlPrefix, StateCall: call, OnChange: s.applyRecord})
	return s
}

func shardKey(b int) string { return fmt.Sprintf("%s%d", shardPrefix, b) }

// ShardKey is the key of a block's record.
func ShardKey(b int) string { return shardKey(b) }

// Synced tells whether the control records have been read.
func (s *Membership) Synced() bool { return s.cache.Synced() }

// Each calls f for every control record under a prefix.
func (s *Membership) Each(under string, f func(it wire.KeyValue)) {
	s.cache.Each(func(it wire.KeyValue) {
		if strings.HasPrefix(it.Key, under) {
			f(it)
		}
	})
}

// Version is the version of a control record, 0 when it does not exist.
func (s *Membership) Version(key string) uint64 { return s.cache.Version(key) }

// LastContact is when the state service last answered the control watch or a
// renewal.
func (s *Membership) LastContact() time.Time {
	if s.lastRenewal.After(s.cache.LastContact()) {
		return s.lastRenewal
	}
	return s.cache.LastContact()
}

// CurrentAsOf is the moment up to which all changes of the control records are known.
func (s *Membership) CurrentAsOf() time.Time { return s.cache.CurrentAsOf() }

// Incarnation is this process's incarnation, 0 while it has no lease.
func (s *Membership) Incarnation() uint64 { return s.lease }

// Shards is the number of blocks.
func (s *Membership) Shards() int { return s.shards }

// LeaseValid tells whether this process's lease surely still stands.
func (s *Membership) LeaseValid(now time.Time) bool {
	return s.state == memberJoined && now.Before(s.leaseDeadline)
}

// LeaseDeadline is when this process's lease may have ended.
func (s *Membership) LeaseDeadline() time.Time { return s.leaseDeadline }

// Holder names a block's holder and its token, as far as this node knows.
func (s *Membership) Holder(block int) (member string, token uint64, ok bool) {
	r, ok := s.shardRecords[block]
	if !ok {
		return "", 0, false
	}
	m, live := s.members[r.value.Holder]
	return r.value.Holder, r.value.Token, live && m.value.Incarnation == r.value.Incarnation
}

// Terms lists the blocks that the records give to this process.
func (s *Membership) Terms() []Term {
	var out []Term
	if s.lease == 0 {
		return nil
	}
	for b := range s.shards {
		if r, ok := s.shardRecords[b]; ok && r.value.Holder == s.self && r.value.Incarnation == s.lease {
			out = append(out, Term{Shard: b, Token: r.value.Token, Version: r.version, PredecessorEnded: r.value.PredecessorEnded})
		}
	}
	return out
}

// IsLeader tells whether the records name this process the leader.
func (s *Membership) IsLeader() bool {
	return s.lease != 0 && s.leader.version != 0 && s.leader.value.Member == s.self && s.leader.value.Incarnation == s.lease
}

// ShardAssignedAt is when a block's tenure was assigned, by the leader's time of day; zero: not
// told.
func (s *Membership) ShardAssignedAt(block int) time.Time {
	if at := s.shardRecords[block].value.AssignedAtMs; at != 0 {
		return time.UnixMilli(at)
	}
	return time.Time{}
}

// FeatureInForce tells whether the leader has written down that every member announced a switch.
func (s *Membership) FeatureInForce(name string) bool {
	return slices.Contains(s.featuresInForce.value.InForce, name)
}

// Members lists the live members by name, and the leader's name.
func (s *Membership) Members() (names []string, leader string) {
	for n := range s.members {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, s.leader.value.Member
}

func decode[T any](log *slog.Logger, it wire.KeyValue) (versioned[T], bool) {
	out := versioned[T]{version: it.Version}
	if err := json.Unmarshal(it.Value, &out.value); err != nil {
		log.Error("control record cannot be read", "key", it.Key, "error", err)
		return versioned[T]{}, false
	}
	return out, true
}

func (s *Membership) applyRecord(now time.Time, key string, it wire.KeyValue, gone bool) {
	var b int
	switch {
	case key == keyToken:
		s.token = versioned[tokenRecord]{}
		if !gone {
			s.token, _ = decode[tokenRecord](s.log, it)
		}
	case key == keyFeatures:
		s.featuresInForce = versioned[FeaturesRecord]{}
		if !gone {
			s.featuresInForce, _ = decode[FeaturesRecord](s.log, it)
			s.log.Info("switches in force", "switches", s.featuresInForce.value.InForce)
		}
	case key == keyLeader:
		s.leader = versioned[LeaderRecord]{}
		if !gone {
			s.leader, _ = decode[LeaderRecord](s.log, it)
		}
	case len(key) > len(memberPrefix) && key[:len(memberPrefix)] == memberPrefix:
		name := key[len(memberPrefix):]
		delete(s.members, name)
		if r, ok := decode[MemberRecord](s.log, it); ok && !gone {
			s.members[name] = r
		}
	case len(key) > len(shardPrefix) && key[:len(shardPrefix)] == shardPrefix:
		if _, err := fmt.Sscanf(key[len(shardPrefix):], "%d", &b); err != nil {
			return
		}
		delete(s.shardRecords, b)
		if r, ok := decode[ShardRecord](s.log, it); ok && !gone {
			s.shardRecords[b] = r
			s.log.Info("block held", "block", b, "holder", r.value.Holder, "token", r.value.Token)
		}
	default:
		s.onOtherRecord(now, key, it, gone)
	}
}

func (s *Membership) setState(state memberState, why string) {
	if state != s.state {
		s.log.Debug("membership", "from", s.state, "to", state, "why", why)
	}
	s.state = state
}

// Resign gives a block back whose tenure this process has ended although the
// records still give it the block: the leader then assigns it anew.
func (s *Membership) Resign(now time.Time, l Term, unreachable bool) {
	if s.transacting || now.Before(s.retryAt) || !s.LeaseValid(now) {
		return
	}
	s.log.Info("resigning", "block", l.Shard, "token", l.Token, "unreachable", unreachable)
	rec := ShardRecord{Token: l.Token}
	if unreachable {
		rec.Unreachable = s.self
	}
	s.transact(now, wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(shardKey(l.Shard), l.Version)},
		Writes:   []wire.Write{store.Put(shardKey(l.Shard), rec, 0)},
	})
}

// Tick starts what is due.
func (s *Membership) Tick(now time.Time) {
	s.cache.Tick(now)
	switch s.state {
	case memberOut:
		if !now.Before(s.retryAt) {
			s.requestLease(now)
		}
	case memberJoining:
		s.renewLease(now)
		if !now.Before(s.retryAt) && s.cache.Synced() {
			s.join(now)
		}
	case memberJoined:
		s.renewLease(now)
		if s.LeaseValid(now) && s.cache.Synced() && !s.transacting && !now.Before(s.retryAt) {
			s.campaign(now)
		}
	}
}
