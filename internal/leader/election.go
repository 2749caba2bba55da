package leader

import (
	"slices"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// campaign takes the lead if no live process has it. As leader, it assigns the first shard that
// no live process leases, and otherwise brings the feature gates in force up to date: one
// transaction a call.
func (m *Membership) campaign() {
	own, ok := m.records.members[m.options.Member]
	if !ok || own.value.Incarnation != m.lease.id {
		return // this process's own record has not been read back yet
	}
	leader := m.records.leader
	if leader.version == 0 || !m.records.isLive(leader.value.Member, leader.value.Incarnation) {
		m.takeLead(own.version)
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

func (m *Membership) takeLead(memberVersion uint64) {
	record := LeaderRecord{Member: m.options.Member, Incarnation: m.lease.id}
	m.transact(wire.Transaction{
		Compares: []wire.Compare{
			store.VersionEquals(keyLeader, m.records.leader.version),
			store.VersionEquals(memberPrefix+m.options.Member, memberVersion),
		},
		Writes: []wire.Write{store.Put(keyLeader, record, m.lease.id)},
	})
}

// assignShard starts a new term of a shard, whose last term is the one given.
func (m *Membership) assignShard(shard int, last versioned[ShardRecord]) {
	chosen, ok := m.chooseHolder(last.value.Holder, last.value.Unreachable)
	if !ok {
		return
	}
	record := ShardRecord{
		Holder:           chosen.value.Member,
		Incarnation:      chosen.value.Incarnation,
		Token:            m.records.token.value.Last + 1,
		PredecessorEnded: m.predecessorEnded(last),
		AssignedAtMs:     m.options.WallClock().UnixMilli(),
	}
	m.options.Log.Info("shard lease assigned", "shard", shard, "member", record.Holder, "term", record.Token,
		"predecessor_ended", record.PredecessorEnded)
	m.transact(wire.Transaction{
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

// predecessorEnded reports whether the process of a shard's last term has surely ended: there was
// none, it gave the shard up, or a later process of its name has taken its member record over. A
// process whose record is merely absent may be cut off from the state service and still run.
func (m *Membership) predecessorEnded(last versioned[ShardRecord]) bool {
	_, restarted := m.records.members[last.value.Holder]
	return last.version == 0 || last.value.Holder == "" || restarted
}

// recordFeatures writes down which feature gates are in force: those that every member
// announces. A member of a version that announces nothing ends them all.
func (m *Membership) recordFeatures() {
	inForce := m.commonFeatures()
	recorded := m.records.features
	if slices.Equal(inForce, recorded.value.InForce) {
		return
	}
	m.options.Log.Info("feature gates in force recorded", "from", recorded.value.InForce, "to", inForce)
	m.transact(wire.Transaction{
		Compares: []wire.Compare{
			store.VersionEquals(keyLeader, m.records.leader.version),
			store.VersionEquals(keyFeatures, recorded.version),
		},
		Writes: []wire.Write{store.Put(keyFeatures, FeaturesRecord{InForce: inForce}, 0)},
	})
}

// commonFeatures are the announced feature gates of this process that all members announce.
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
