package leader

import (
	"slices"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// campaign makes this process the leader if no live process is. On the leader it assigns the first
// shard without a live lease holder; if every shard has one, it updates the record of the feature
// gates in force. campaign sends at most one transaction.
func (m *Membership) campaign() {
	own, ok := m.records.members[m.options.Member]
	if !ok || own.value.Incarnation != m.lease.id {
		return // the watch has not delivered this process's member record yet
	}
	leader := m.records.leader
	if leader.version == 0 || !m.records.isLive(leader.value.Member, leader.value.Incarnation) {
		m.becomeLeader(own.version)
		return
	}
	if !m.IsLeader() {
		return
	}
	for shard := range m.options.Shards {
		current := m.records.shards[shard]
		if current.version == 0 || !m.records.isLive(current.value.Holder, current.value.Incarnation) {
			m.assignShard(shard, current)
			return
		}
	}
	m.recordFeatures()
}

// becomeLeader writes the leader record, provided that neither it nor this process's member record
// has changed.
func (m *Membership) becomeLeader(memberVersion uint64) {
	record := LeaderRecord{Member: m.options.Member, Incarnation: m.lease.id}
	m.sendTransaction(wire.Transaction{
		Compares: []wire.Compare{
			store.VersionEquals(keyLeader, m.records.leader.version),
			store.VersionEquals(memberPrefix+m.options.Member, memberVersion),
		},
		Writes: []wire.Write{store.Put(keyLeader, record, m.lease.id)},
	})
}

// assignShard leases a shard to the preferred member under a new fencing token. last is the record of
// the shard's latest term.
func (m *Membership) assignShard(shard int, last versioned[ShardRecord]) {
	chosen, ok := m.chooseHolder(last.value.Holder, last.value.UnreachableMember)
	if !ok {
		return
	}
	earlierTermsEnded := m.earlierTermsEnded(shard, last)
	record := ShardRecord{
		Holder:            chosen.value.Member,
		Incarnation:       chosen.value.Incarnation,
		Token:             m.records.token.value.Last + 1,
		PredecessorEnded:  earlierTermsEnded,
		EarlierTermsEnded: earlierTermsEnded,
		AssignedAtMs:      m.options.WallClock().UnixMilli(),
	}
	m.options.Log.Info("assigning shard lease", "shard", shard, "member", record.Holder, "term", record.Token,
		"earlier_terms_ended", earlierTermsEnded)
	m.sendTransaction(wire.Transaction{
		Compares: []wire.Compare{
			store.VersionEquals(keyLeader, m.records.leader.version),
			store.VersionEquals(ShardKey(shard), last.version),
			store.VersionEquals(keyToken, m.records.token.version),
			store.VersionEquals(memberPrefix+record.Holder, chosen.version),
		},
		Writes: []wire.Write{
			store.Put(keyToken, tokenRecord{Last: record.Token}, 0),
			store.Put(ShardKey(shard), record, 0),
		},
	})
}

// recordFeatures stores the feature gates in force, which are those that every member announces. A
// member of a version that announces none disables all of them.
func (m *Membership) recordFeatures() {
	inForce := m.commonFeatures()
	recorded := m.records.features
	if slices.Equal(inForce, recorded.value.InForce) {
		return
	}
	m.options.Log.Info("recording feature gates in force", "from", recorded.value.InForce, "to", inForce)
	m.sendTransaction(wire.Transaction{
		Compares: []wire.Compare{
			store.VersionEquals(keyLeader, m.records.leader.version),
			store.VersionEquals(keyFeatures, recorded.version),
		},
		Writes: []wire.Write{store.Put(keyFeatures, FeaturesRecord{InForce: inForce}, 0)},
	})
}

// commonFeatures returns the feature gates of this process that all members announce.
func (m *Membership) commonFeatures() []string {
	var common []string
	for _, name := range m.options.Features {
		if m.announcedByAll(name) {
			common = append(common, name)
		}
	}
	return common
}

func (m *Membership) announcedByAll(feature string) bool {
	for _, member := range m.records.members {
		if !slices.Contains(member.value.Features, feature) {
			return false
		}
	}
	return true
}
