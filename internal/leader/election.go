package leader

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// isLive tells whether the process that a record names is still a member.
func (s *Membership) isLive(member string, inc uint64) bool {
	m, ok := s.members[member]
	return ok && m.value.Incarnation == inc
}

// campaign takes the lead when nobody live has it, and as leader assigns
// blocks that nobody live holds.
func (s *Membership) campaign(now time.Time) {
	me, ok := s.members[s.self]
	if !ok || me.value.Incarnation != s.lease {
		return // our own record has not been read back yet
	}
	if s.leader.version == 0 || !s.isLive(s.leader.value.Member, s.leader.value.Incarnation) {
		s.transact(now, wire.Transaction{
			Compares: []wire.Compare{store.VersionEquals(keyLeader, s.leader.version), store.VersionEquals(memberPrefix+s.self, me.version)},
			Writes:   []wire.Write{store.Put(keyLeader, LeaderRecord{Member: s.self, Incarnation: s.lease}, s.lease)},
		})
		return
	}
	if !s.IsLeader() {
		return
	}
	for b := range s.shards {
		r := s.shardRecords[b]
		if r.version != 0 && s.isLive(r.value.Holder, r.value.Incarnation) {
			continue
		}
		to, toVersion, ok := s.chooseHolder(r.value.Holder, r.value.Unreachable)
		if !ok {
			return
		}
		// a member whose record was replaced by a later process of its name
		// has ended; one that is merely absent may only be cut off
		_, back := s.members[r.value.Holder]
		rec := ShardRecord{Holder: to.Member, Incarnation: to.Incarnation, Token: s.token.value.Last + 1, PredecessorEnded: r.version == 0 || back || r.value.Holder == "", AssignedAtMs: s.wallClock().UnixMilli()}
		when := []wire.Compare{
			store.VersionEquals(keyLeader, s.leader.version), store.VersionEquals(shardKey(b), r.version),
			store.VersionEquals(keyToken, s.token.version), store.VersionEquals(memberPrefix+to.Member, toVersion),
		}
		s.log.Info("assigning block", "block", b, "to", to.Member, "token", rec.Token, "ended", rec.PredecessorEnded)
		s.transact(now, wire.Transaction{Compares: when, Writes: []wire.Write{
			store.Put(keyToken, tokenRecord{Last: rec.Token}, 0), store.Put(shardKey(b), rec, 0),
		}})
		return
	}
	s.recordFeatures(now)
}

// recordFeatures writes down which switches are in force: those that every member announces. A
// member of a version that announces nothing ends them.
func (s *Membership) recordFeatures(now time.Time) {
	var common []string
	for _, name := range s.announcedFeatures {
		if !slices.ContainsFunc(slices.Collect(maps.Values(s.members)), func(m versioned[MemberRecord]) bool { return !slices.Contains(m.value.Features, name) }) {
			common = append(common, name)
		}
	}
	if slices.Equal(common, s.featuresInForce.value.InForce) {
		return
	}
	s.log.Info("changing the switches in force", "from", s.featuresInForce.value.InForce, "to", common)
	s.transact(now, wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(keyLeader, s.leader.version), store.VersionEquals(keyFeatures, s.featuresInForce.version)},
		Writes:   []wire.Write{store.Put(keyFeatures, FeaturesRecord{InForce: common}, 0)},
	})
}

// chooseHolder picks the member to give a block to: the one with the fewest blocks,
// then one that does not lead, then the one that joined last. When all controllers
// are restarted one after the other, it is the one that has been restarted already:
// the one that has been in longest would be next, and each restart cost a takeover.
// The member whose process has just ended comes after the others, as it may end
// again, and one that does not hear the workers comes last.
func (s *Membership) chooseHolder(last, unreachable string) (MemberRecord, uint64, bool) {
	held := map[string]int{}
	for _, r := range s.shardRecords {
		if s.isLive(r.value.Holder, r.value.Incarnation) {
			held[r.value.Holder]++
		}
	}
	var best versioned[MemberRecord]
	less := func(a, b MemberRecord) bool {
		if ad, bd := a.Member == unreachable, b.Member == unreachable; ad != bd {
			return bd
		}
		if al, bl := a.Member == last, b.Member == last; al != bl {
			return bl
		}
		if held[a.Member] != held[b.Member] {
			return held[a.Member] < held[b.Member]
		}
		al, bl := a.Member == s.leader.value.Member, b.Member == s.leader.value.Member
		if al != bl {
			return bl
		}
		if a.JoinedAtMs != b.JoinedAtMs {
			return a.JoinedAtMs > b.JoinedAtMs
		}
		return a.Member < b.Member
	}
	for _, m := range s.members {
		if best.version == 0 || less(m.value, best.value) {
			best = m
		}
	}
	return best.value, best.version, best.version != 0
}

func (s *Membership) transact(now time.Time, m wire.Transaction) {
	s.transacting = true
	s.stateCall(store.Call{Op: store.OpTransaction, Transaction: m}, func(now time.Time, r store.Result) {
		s.transacting = false
		// what was written, by us or by another, arrives through the mirror
		s.retryAt = now.Add(tuning.ElectionPause)
	})
}
