package leader

import (
	"cmp"
	"slices"
)

// candidate is a live member with what counts when a shard is assigned.
type candidate struct {
	member      versioned[MemberRecord]
	unreachable bool // gave this shard up because the workers could not reach it
	lastHolder  bool // held the shard's last term
	shards      int  // how many shards it leases
	leads       bool
}

// compareCandidates orders the candidates, the best first, by these criteria:
//
//  1. A member that the workers cannot reach comes last.
//  2. The last lease holder comes after the others: its process has just ended and may again.
//  3. Fewer shards come first.
//  4. The leader comes after the others.
//  5. Later joined comes first. When all controllers are restarted one after the other, that is
//     one that has been restarted already; the longest running member would be the next to be
//     restarted, and each restart would cost a failover.
//  6. The name makes the order total.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareFalseFirst(a.unreachable, b.unreachable),
		compareFalseFirst(a.lastHolder, b.lastHolder),
		cmp.Compare(a.shards, b.shards),
		compareFalseFirst(a.leads, b.leads),
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

// chooseHolder picks the member to lease a shard to, given the member that held its last term
// and the one that gave it up as unreachable, each "" if there is none. It returns false if
// there are no members.
func (m *Membership) chooseHolder(lastHolder, unreachable string) (versioned[MemberRecord], bool) {
	leased := m.leasedShards()
	var candidates []candidate
	for name, member := range m.records.members {
		candidates = append(candidates, candidate{
			member:      member,
			unreachable: name == unreachable,
			lastHolder:  name == lastHolder,
			shards:      leased[name],
			leads:       name == m.records.leader.value.Member,
		})
	}
	if len(candidates) == 0 {
		return versioned[MemberRecord]{}, false
	}
	return slices.MinFunc(candidates, compareCandidates).member, true
}

// leasedShards counts the shards that each live member leases.
func (m *Membership) leasedShards() map[string]int {
	leased := map[string]int{}
	for _, record := range m.records.shards {
		if m.records.isLive(record.value.Holder, record.value.Incarnation) {
			leased[record.value.Holder]++
		}
	}
	return leased
}
