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
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Keys of the control records, all under Control.
const (
	Control   = "c/"
	keyToken  = "c/baton"
	keyLeader = "c/leader"
	underMem  = "c/m/"
	underBlk  = "c/b/"
)

// MemberRec is a live process, attached to its lease.
type MemberRec struct {
	Member string
	Inc    uint64 // its lease, the process's identity
	Since  int64  // when it joined, ms of the time of day
}

// Rec names the leader.
type Rec struct {
	Member string
	Inc    uint64
}

// BlockRec is a block's tenure. It changes only when the tenure does.
type BlockRec struct {
	Holder string
	Inc    uint64
	Token  uint64 `json:"Baton"`
	// Ended: the previous holder's process had surely ended when this tenure
	// began, so nothing renews its workers any more.
	Ended bool
	// Unreachable: the block was given back by this member because it alone does not
	// hear the workers.
	Unreachable string `json:"Deaf,omitempty"`
}

type tokenRec struct{ Last uint64 }

// Tenure is a block that this process holds.
type Tenure struct {
	Block   int
	Token   uint64
	Version uint64 // version of the block's record; every write of the tenure is conditioned on it
	Ended   bool
}

type memberState int

const (
	memberOut      memberState = iota // no lease
	memberGranting                    // asking for a lease
	memberJoining                     // lease at hand, record not yet written
	memberIn                          // record written
)

func (s memberState) String() string {
	return [...]string{"out", "granting", "joining", "in"}[s]
}

// Slice is this node's part in membership, election and block leases.
type Slice struct {
	self   string
	blocks int
	wall   func() time.Time
	call   store.Caller
	log    *slog.Logger
	mirror *store.Mirror

	state    memberState
	lease    uint64
	deadline time.Time // until then this process may act for its lease
	heard    time.Time
	touching int // renewals under way
	touchDue time.Time
	retry    time.Time
	busy     bool // an election or assignment transaction is under way

	members map[string]item[MemberRec]
	leader  item[Rec]
	recs    map[int]item[BlockRec]
	token   item[tokenRec]
	other   func(now time.Time, key string, it wire.Item, gone bool)
}

type item[T any] struct {
	val     T
	version uint64
}

// New makes the slice. other is told of changes of control keys that are not
// this slice's own.
func New(self string, blocks int, wall func() time.Time, call store.Caller, log *slog.Logger,
	other func(now time.Time, key string, it wire.Item, gone bool)) *Slice {
	s := &Slice{self: self, blocks: blocks, wall: wall, call: call, log: log, other: other,
		members: map[string]item[MemberRec]{}, recs: map[int]item[BlockRec]{}}
	s.mirror = store.NewMirror(Control, call, s.changed)
	return s
}

func blockKey(b int) string { return fmt.Sprintf("%s%d", underBlk, b) }

// BlockKey is the key of a block's record.
func BlockKey(b int) string { return blockKey(b) }

// Synced tells whether the control records have been read.
func (s *Slice) Synced() bool { return s.mirror.Synced() }

// Each calls f for every control record under a prefix.
func (s *Slice) Each(under string, f func(it wire.Item)) {
	s.mirror.Each(func(it wire.Item) {
		if strings.HasPrefix(it.Path, under) {
			f(it)
		}
	})
}

// Version is the version of a control record, 0 when it does not exist.
func (s *Slice) Version(key string) uint64 { return s.mirror.Version(key) }

// Heard is when the state service last answered the control watch or a
// renewal.
func (s *Slice) Heard() time.Time {
	if s.heard.After(s.mirror.Heard()) {
		return s.heard
	}
	return s.mirror.Heard()
}

// Fresh is the moment up to which all changes of the control records are known.
func (s *Slice) Fresh() time.Time { return s.mirror.Fresh() }

// Inc is this process's incarnation, 0 while it has no lease.
func (s *Slice) Inc() uint64 { return s.lease }

// Blocks is the number of blocks.
func (s *Slice) Blocks() int { return s.blocks }

// Entitled tells whether this process's lease surely still stands.
func (s *Slice) Entitled(now time.Time) bool {
	return s.state == memberIn && now.Before(s.deadline)
}

// Deadline is when this process's lease may have ended.
func (s *Slice) Deadline() time.Time { return s.deadline }

// Holder names a block's holder and its token, as far as this node knows.
func (s *Slice) Holder(block int) (member string, token uint64, ok bool) {
	r, ok := s.recs[block]
	if !ok {
		return "", 0, false
	}
	m, live := s.members[r.val.Holder]
	return r.val.Holder, r.val.Token, live && m.val.Inc == r.val.Inc
}

// Tenures lists the blocks that the records give to this process.
func (s *Slice) Tenures() []Tenure {
	var out []Tenure
	if s.lease == 0 {
		return nil
	}
	for b := range s.blocks {
		if r, ok := s.recs[b]; ok && r.val.Holder == s.self && r.val.Inc == s.lease {
			out = append(out, Tenure{Block: b, Token: r.val.Token, Version: r.version, Ended: r.val.Ended})
		}
	}
	return out
}

// IsLeader tells whether the records name this process the leader.
func (s *Slice) IsLeader() bool {
	return s.lease != 0 && s.leader.version != 0 && s.leader.val.Member == s.self && s.leader.val.Inc == s.lease
}

// Members lists the live members by name, and the leader's name.
func (s *Slice) Members() (names []string, leader string) {
	for n := range s.members {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, s.leader.val.Member
}

func decode[T any](log *slog.Logger, it wire.Item) (item[T], bool) {
	out := item[T]{version: it.Version}
	if err := json.Unmarshal(it.Value, &out.val); err != nil {
		log.Error("control record cannot be read", "key", it.Path, "error", err)
		return item[T]{}, false
	}
	return out, true
}

func (s *Slice) changed(now time.Time, key string, it wire.Item, gone bool) {
	var b int
	switch {
	case key == keyToken:
		s.token = item[tokenRec]{}
		if !gone {
			s.token, _ = decode[tokenRec](s.log, it)
		}
	case key == keyLeader:
		s.leader = item[Rec]{}
		if !gone {
			s.leader, _ = decode[Rec](s.log, it)
		}
	case len(key) > len(underMem) && key[:len(underMem)] == underMem:
		name := key[len(underMem):]
		delete(s.members, name)
		if r, ok := decode[MemberRec](s.log, it); ok && !gone {
			s.members[name] = r
		}
	case len(key) > len(underBlk) && key[:len(underBlk)] == underBlk:
		if _, err := fmt.Sscanf(key[len(underBlk):], "%d", &b); err != nil {
			return
		}
		delete(s.recs, b)
		if r, ok := decode[BlockRec](s.log, it); ok && !gone {
			s.recs[b] = r
			s.log.Info("block held", "block", b, "holder", r.val.Holder, "token", r.val.Token)
		}
	default:
		s.other(now, key, it, gone)
	}
}

func (s *Slice) set(state memberState, why string) {
	if state != s.state {
		s.log.Debug("membership", "from", s.state, "to", state, "why", why)
	}
	s.state = state
}

// lapse gives up a lease that has ended.
func (s *Slice) lapse(why string) {
	s.set(memberOut, why)
	s.lease, s.deadline = 0, time.Time{}
}

// Resign gives a block back whose tenure this process has ended although the
// records still give it the block: the leader then assigns it anew.
func (s *Slice) Resign(now time.Time, l Tenure, unreachable bool) {
	if s.busy || now.Before(s.retry) || !s.Entitled(now) {
		return
	}
	s.log.Info("resigning", "block", l.Block, "token", l.Token, "unreachable", unreachable)
	rec := BlockRec{Token: l.Token}
	if unreachable {
		rec.Unreachable = s.self
	}
	s.txn(now, wire.Multi{
		When:   []wire.Cond{store.Is(blockKey(l.Block), l.Version)},
		Writes: []wire.Write{store.Put(blockKey(l.Block), rec, 0)},
	})
}

// Tick starts what is due.
func (s *Slice) Tick(now time.Time) {
	s.mirror.Tick(now)
	switch s.state {
	case memberOut:
		if !now.Before(s.retry) {
			s.grant(now)
		}
	case memberJoining:
		s.touch(now)
		if !now.Before(s.retry) && s.mirror.Synced() {
			s.join(now)
		}
	case memberIn:
		s.touch(now)
		if s.Entitled(now) && s.mirror.Synced() && !s.busy && !now.Before(s.retry) {
			s.campaign(now)
		}
	}
}

// until is how long a lease surely stands after a request sent at t was
// granted: clocks may drift apart, and the holder stops a little early.
func until(t time.Time) time.Time {
	return t.Add(tuning.MemberLease - time.Duration(float64(tuning.MemberLease)*2*tuning.ClockDrift) - tuning.LeaseGuard)
}

func (s *Slice) grant(now time.Time) {
	s.set(memberGranting, "no lease")
	s.call(store.Call{Op: store.OpGrant, Life: tuning.MemberLease}, func(now time.Time, r store.Result) {
		if !r.OK() || r.Lease == 0 {
			s.set(memberOut, "lease refused")
			s.retry = now.Add(tuning.MemberRetry)
			return
		}
		s.lease, s.deadline, s.touching = r.Lease, until(r.Sent), 0
		s.touchDue = r.Sent.Add(tuning.MemberTouch)
		s.set(memberJoining, "lease granted")
		s.Tick(now)
	})
}

// touch renews the lease. The next renewal does not wait for the answer to the one
// before: on a starved machine an answer may take longer than a renewal is due, and
// one that comes late still counts from when it was asked for.
func (s *Slice) touch(now time.Time) {
	if s.touching == tuning.TouchesAtOnce || now.Before(s.touchDue) {
		return
	}
	s.touching++
	s.touchDue = now.Add(tuning.MemberTouch)
	lease := s.lease
	s.call(store.Call{Op: store.OpTouch, Lease: lease}, func(now time.Time, r store.Result) {
		if s.lease != lease {
			return
		}
		s.touching--
		switch {
		case r.OK():
			s.heard = now
			if d := until(r.Sent); d.After(s.deadline) {
				s.deadline = d
			}
		case r.Status == 404:
			s.lapse("lease ended")
		default:
			s.touchDue = now.Add(tuning.MemberRetry)
		}
	})
}

func (s *Slice) join(now time.Time) {
	key := underMem + s.self
	lease := s.lease
	rec := MemberRec{Member: s.self, Inc: lease, Since: s.wall().UnixMilli()}
	s.retry = now.Add(tuning.StateTimeout + tuning.MemberRetry)
	s.call(store.Call{Op: store.OpMulti, Multi: wire.Multi{
		When:   []wire.Cond{store.Is(key, s.mirror.Version(key))},
		Writes: []wire.Write{store.Put(key, rec, lease)},
	}}, func(now time.Time, r store.Result) {
		s.retry = now.Add(tuning.MemberRetry)
		if s.lease != lease || s.state != memberJoining {
			return
		}
		switch {
		case r.OK():
			s.set(memberIn, "record written")
			s.retry = now
			s.Tick(now)
		case r.Status == 400:
			s.lapse("lease ended while joining")
		case r.Status == 0 || r.Status == 409:
			// perhaps written after all: the mirror will tell
			if m, ok := s.members[s.self]; ok && m.val.Inc == lease {
				s.set(memberIn, "record found")
			}
		}
	})
}

// live tells whether the process that a record names is still a member.
func (s *Slice) live(member string, inc uint64) bool {
	m, ok := s.members[member]
	return ok && m.val.Inc == inc
}

// campaign takes the lead when nobody live has it, and as leader assigns
// blocks that nobody live holds.
func (s *Slice) campaign(now time.Time) {
	me, ok := s.members[s.self]
	if !ok || me.val.Inc != s.lease {
		return // our own record has not been read back yet
	}
	if s.leader.version == 0 || !s.live(s.leader.val.Member, s.leader.val.Inc) {
		s.txn(now, wire.Multi{
			When:   []wire.Cond{store.Is(keyLeader, s.leader.version), store.Is(underMem+s.self, me.version)},
			Writes: []wire.Write{store.Put(keyLeader, Rec{Member: s.self, Inc: s.lease}, s.lease)},
		})
		return
	}
	if !s.IsLeader() {
		return
	}
	for b := range s.blocks {
		r := s.recs[b]
		if r.version != 0 && s.live(r.val.Holder, r.val.Inc) {
			continue
		}
		to, toVersion, ok := s.choose(r.val.Holder, r.val.Unreachable)
		if !ok {
			return
		}
		// a member whose record was replaced by a later process of its name
		// has ended; one that is merely absent may only be cut off
		_, back := s.members[r.val.Holder]
		rec := BlockRec{Holder: to.Member, Inc: to.Inc, Token: s.token.val.Last + 1, Ended: r.version == 0 || back || r.val.Holder == ""}
		when := []wire.Cond{
			store.Is(keyLeader, s.leader.version), store.Is(blockKey(b), r.version),
			store.Is(keyToken, s.token.version), store.Is(underMem+to.Member, toVersion),
		}
		s.log.Info("assigning block", "block", b, "to", to.Member, "token", rec.Token, "ended", rec.Ended)
		s.txn(now, wire.Multi{When: when, Writes: []wire.Write{
			store.Put(keyToken, tokenRec{Last: rec.Token}, 0), store.Put(blockKey(b), rec, 0),
		}})
		return
	}
}

// choose picks the member to give a block to: the one with the fewest blocks,
// then one that does not lead, then the one that joined last. When all controllers
// are restarted one after the other, it is the one that has been restarted already:
// the one that has been in longest would be next, and each restart cost a takeover.
// The member whose process has just ended comes after the others, as it may end
// again, and one that does not hear the workers comes last.
func (s *Slice) choose(last, unreachable string) (MemberRec, uint64, bool) {
	held := map[string]int{}
	for _, r := range s.recs {
		if s.live(r.val.Holder, r.val.Inc) {
			held[r.val.Holder]++
		}
	}
	var best item[MemberRec]
	less := func(a, b MemberRec) bool {
		if ad, bd := a.Member == unreachable, b.Member == unreachable; ad != bd {
			return bd
		}
		if al, bl := a.Member == last, b.Member == last; al != bl {
			return bl
		}
		if held[a.Member] != held[b.Member] {
			return held[a.Member] < held[b.Member]
		}
		al, bl := a.Member == s.leader.val.Member, b.Member == s.leader.val.Member
		if al != bl {
			return bl
		}
		if a.Since != b.Since {
			return a.Since > b.Since
		}
		return a.Member < b.Member
	}
	for _, m := range s.members {
		if best.version == 0 || less(m.val, best.val) {
			best = m
		}
	}
	return best.val, best.version, best.version != 0
}

func (s *Slice) txn(now time.Time, m wire.Multi) {
	s.busy = true
	s.call(store.Call{Op: store.OpMulti, Multi: m}, func(now time.Time, r store.Result) {
		s.busy = false
		// what was written, by us or by another, arrives through the mirror
		s.retry = now.Add(tuning.ElectionPause)
	})
}
