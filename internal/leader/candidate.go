package leader

import (
	"cmp"
	"slices"
)

// candidate is a live member with the attributes that rank it when a shard is assigned.
type candidate struct {
	member      versioned[MemberRecord]
	unreachable bool // released this shard because the workers could not reach it
	lastHolder  bool // held the shard's latest term
	shards      int  // number of shards that the member leases
	isLeader    bool
}

// compareCandidates orders candidates by preference, the preferred one first:
//
//  1. Members that the workers can reach precede a member that they cannot reach.
//  2. Other members precede the last lease holder, whose process may be crash looping.
//  3. Members with fewer shards precede members with more.
//  4. Other members precede the leader.
//  5. Members that joined later precede members that joined earlier. A rolling restart has already
//     restarted the newest member, whereas a shard on the oldest one would soon fail over again.
//  6. The member name breaks ties.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareFalseFirst(a.unreachable, b.unreachable),
		compareFalseFirst(a.lastHolder, b.lastHolder),
		cmp.Compare(a.shards, b.shards),
		compareFalseFirst(a.isLeader, b.isLeader),
		cmp.Compare(b.member.value.JoinedAtMs, a.member.value.JoinedAtMs),
		cmp.Compare(a.member.value.Member, b.member.value.Member),
	)
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// chooseHolder selects the member to which a shard is leased. lastHolder is the member that held
// the latest term, and unreachable the member that released the shard because the workers could not
// reach it; each is "" if there is none. chooseHolder returns false if there are no members.
func (m *Membership) chooseHolder(lastHolder, unreachable string) (versioned[MemberRecord], bool) {
	leased := m.leasedShards()
	var candidates []candidate
	for name, member := range m.records.members {
		candidates = append(candidates, candidate{
			member:      member,
			unreachable: name == unreachable,
			lastHolder:  name == lastHolder,
			shards:      leased[name],
			isLeader:    name == m.records.leader.value.Member,
		})
	}
	if len(candidates) == 0 {
		return versioned[MemberRecord]{}, false
	}
	return slices.MinFunc(candidates, compareCandidates).member, true
}

// leasedShards returns the number of shards that each live member leases.
func (m *Membership) leasedShards() map[string]int {
	leased := map[string]int{}
	for _, record := range m.records.shards {
		if m.records.isLive(record.value.Holder, record.value.Incarnation) {
			leased[record.value.Holder]++
		}
	}
	return leased
}
