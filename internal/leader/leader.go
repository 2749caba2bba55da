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
	Control   = "c/"
	keyToken  = "c/baton"
	keyLeader = "c/leader"
	underMem  = "c/m/"
	underBlk  = "c/b/"
	// keySwitches is one that versions before 0.3 do not list.
	keySwitches = "c/switches"
)

// MemberRec is a live process, attached to its lease.
type MemberRec struct {
	Member string
	Inc    uint64 // its lease, the process's identity
	Since  int64  // when it joined, ms of the time of day
	// Switches are what it announces that it can do; versions before 0.3 announce nothing.
	Switches []string `json:",omitempty"`
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
	// Since is when the tenure was assigned, ms of the leader's time of day; 0: by a
	// version that does not tell.
	Since int64 `json:",omitempty"`
}

// SwitchesRec tells what is in force: what every member announced when the leader looked.
type SwitchesRec struct {
	InForce []string
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
	// announced is what this process can do, by its switches.
	announced []string
	wall      func() time.Time
	call      store.Caller
	log       *slog.Logger
	mirror    *store.Mirror

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
	inForce item[SwitchesRec]
	other   func(now time.Time, key string, it wire.KeyValue, gone bool)
}

type item[T any] struct {
	val     T
	version uint64
}

// New makes the slice of a member that announces some switches. other is told of changes
// of control keys that are not this slice's own.
func New(self string, blocks int, announced []string, wall func() time.Time, call store.Caller, log *slog.Logger,
	other func(now time.Time, key string, it wire.KeyValue, gone bool)) *Slice {
	s := &Slice{self: self, blocks: blocks, announced: announced, wall: wall, call: call, log: log, other: other,
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
func (s *Slice) Each(under string, f func(it wire.KeyValue)) {
	s.mirror.Each(func(it wire.KeyValue) {
		if strings.HasPrefix(it.Key, under) {
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

// BlockSince is when a block's tenure was assigned, by the leader's time of day; zero: not
// told.
func (s *Slice) BlockSince(block int) time.Time {
	if at := s.recs[block].val.Since; at != 0 {
		return time.UnixMilli(at)
	}
	return time.Time{}
}

// InForce tells whether the leader has written down that every member announced a switch.
func (s *Slice) InForce(name string) bool { return slices.Contains(s.inForce.val.InForce, name) }

// Members lists the live members by name, and the leader's name.
func (s *Slice) Members() (names []string, leader string) {
	for n := range s.members {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, s.leader.val.Member
}

func decode[T any](log *slog.Logger, it wire.KeyValue) (item[T], bool) {
	out := item[T]{version: it.Version}
	if err := json.Unmarshal(it.Value, &out.val); err != nil {
		log.Error("control record cannot be read", "key", it.Key, "error", err)
		return item[T]{}, false
	}
	return out, true
}

func (s *Slice) changed(now time.Time, key string, it wire.KeyValue, gone bool) {
	var b int
	switch {
	case key == keyToken:
		s.token = item[tokenRec]{}
		if !gone {
			s.token, _ = decode[tokenRec](s.log, it)
		}
	case key == keySwitches:
		s.inForce = item[SwitchesRec]{}
		if !gone {
			s.inForce, _ = decode[SwitchesRec](s.log, it)
			s.log.Info("switches in force", "switches", s.inForce.val.InForce)
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
	s.txn(now, wire.Transaction{
		Compares: []wire.Compare{store.Is(blockKey(l.Block), l.Version)},
		Writes:   []wire.Write{store.Put(blockKey(l.Block), rec, 0)},
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
