package leader

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

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
		s.txn(now, wire.Transaction{
			Compares: []wire.Compare{store.Is(keyLeader, s.leader.version), store.Is(underMem+s.self, me.version)},
			Writes:   []wire.Write{store.Put(keyLeader, Rec{Member: s.self, Inc: s.lease}, s.lease)},
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
		rec := BlockRec{Holder: to.Member, Inc: to.Inc, Token: s.token.val.Last + 1, Ended: r.version == 0 || back || r.val.Holder == "", Since: s.wall().UnixMilli()}
		when := []wire.Compare{
			store.Is(keyLeader, s.leader.version), store.Is(blockKey(b), r.version),
			store.Is(keyToken, s.token.version), store.Is(underMem+to.Member, toVersion),
		}
		s.log.Info("assigning block", "block", b, "to", to.Member, "token", rec.Token, "ended", rec.Ended)
		s.txn(now, wire.Transaction{Compares: when, Writes: []wire.Write{
			store.Put(keyToken, tokenRec{Last: rec.Token}, 0), store.Put(blockKey(b), rec, 0),
		}})
		return
	}
	s.enforce(now)
}

// enforce writes down which switches are in force: those that every member announces. A
// member of a version that announces nothing ends them.
func (s *Slice) enforce(now time.Time) {
	var common []string
	for _, name := range s.announced {
		if !slices.ContainsFunc(slices.Collect(maps.Values(s.members)), func(m item[MemberRec]) bool { return !slices.Contains(m.val.Switches, name) }) {
			common = append(common, name)
		}
	}
	if slices.Equal(common, s.inForce.val.InForce) {
		return
	}
	s.log.Info("changing the switches in force", "from", s.inForce.val.InForce, "to", common)
	s.txn(now, wire.Transaction{
		Compares: []wire.Compare{store.Is(keyLeader, s.leader.version), store.Is(keySwitches, s.inForce.version)},
		Writes:   []wire.Write{store.Put(keySwitches, SwitchesRec{InForce: common}, 0)},
	})
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

func (s *Slice) txn(now time.Time, m wire.Transaction) {
	s.busy = true
	s.call(store.Call{Op: store.OpMulti, Multi: m}, func(now time.Time, r store.Result) {
		s.busy = false
		// what was written, by us or by another, arrives through the mirror
		s.retry = now.Add(tuning.ElectionPause)
	})
}
