package leader

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Records that n0, incarnation 7, finds in the state service.
var (
	otherMember      = put("c/m/n1", MemberRecord{Member: "n1", Incarnation: 5}, 20)
	ownLead          = put("c/leader", LeaderRecord{"n0", 7}, 30)
	lastToken        = put("c/baton", tokenRecord{3}, 31)
	otherHolder      = put("c/b/0", ShardRecord{Holder: "n1", Incarnation: 5, Token: 3}, 32)
	replacedHolder   = put("c/b/0", ShardRecord{Holder: "n1", Incarnation: 4, Token: 3}, 32)
	resigned         = put("c/b/0", ShardRecord{Token: 3}, 32)
	otherUnreachable = put("c/b/0", ShardRecord{Token: 3, Unreachable: "n1"}, 32)
)

type campaignCase struct {
	name      string
	items     []wire.KeyValue
	wantKey   string // the key it writes first, "" for none
	wantToken uint64 // of the shard's new term, 0 if it assigns none
	wantEnded bool   // whether the predecessor's process has ended
}

var campaignCases = []campaignCase{
	{
		name:    "nobody leads",
		items:   []wire.KeyValue{otherMember},
		wantKey: "c/leader",
	},
	{
		name:  "another leads",
		items: []wire.KeyValue{otherMember, put("c/leader", LeaderRecord{"n1", 5}, 30)},
	},
	{
		name:    "the leader's process was replaced",
		items:   []wire.KeyValue{otherMember, put("c/leader", LeaderRecord{"n1", 4}, 30)},
		wantKey: "c/leader",
	},
	{
		name:    "the leader is no member any more",
		items:   []wire.KeyValue{put("c/leader", LeaderRecord{"n1", 5}, 30)},
		wantKey: "c/leader",
	},
	{
		name:      "it leads, the shard was never leased",
		items:     []wire.KeyValue{ownLead, lastToken},
		wantKey:   "c/baton",
		wantToken: 4,
		wantEnded: true,
	},
	{
		name:  "it leads, the shard is leased",
		items: []wire.KeyValue{otherMember, ownLead, otherHolder},
	},
	{
		name:      "it leads, the lease holder is no member any more",
		items:     []wire.KeyValue{ownLead, lastToken, otherHolder},
		wantKey:   "c/baton",
		wantToken: 4,
		wantEnded: false,
	},
	{
		name:      "it leads, the lease holder was restarted",
		items:     []wire.KeyValue{otherMember, ownLead, lastToken, replacedHolder},
		wantKey:   "c/baton",
		wantToken: 4,
		wantEnded: true,
	},
	{
		name:      "it leads, the lease holder resigned",
		items:     []wire.KeyValue{otherMember, ownLead, lastToken, resigned},
		wantKey:   "c/baton",
		wantToken: 4,
		wantEnded: true,
	},
	{
		name:      "it leads, the lease holder resigned as the workers cannot reach it",
		items:     []wire.KeyValue{otherMember, ownLead, lastToken, otherUnreachable},
		wantKey:   "c/baton",
		wantToken: 4,
		wantEnded: true,
	},
}

// What a member does about the records it finds.
func TestCampaign(t *testing.T) {
	for _, c := range campaignCases {
		t.Run(c.name, func(t *testing.T) {
			e := newEnvironment()
			e.join(t, c.items...)
			sent := e.lastTransaction()
			key := ""
			if len(sent.Writes) > 0 {
				key = sent.Writes[0].Put
			}
			if key != c.wantKey {
				t.Fatalf("writes %q, want %q", key, c.wantKey)
			}
			if c.wantToken != 0 {
				c.checkAssignment(t, sent)
			}
		})
	}
}

// lastTransaction is the transaction sent last and not answered, empty if there is none.
func (e *environment) lastTransaction() wire.Transaction {
	var last wire.Transaction
	for _, call := range e.calls {
		if call.Op == store.OpTransaction {
			last = call.Transaction
		}
	}
	return last
}

func (c campaignCase) checkAssignment(t *testing.T, sent wire.Transaction) {
	t.Helper()
	var assigned ShardRecord
	err := json.Unmarshal(sent.Writes[1].Value, &assigned)
	if err != nil || assigned.Token != c.wantToken || assigned.PredecessorEnded != c.wantEnded {
		t.Errorf("shard record %+v, want token %d, predecessor ended %t", assigned, c.wantToken, c.wantEnded)
	}
	var previous ShardRecord
	if last := c.items[len(c.items)-1]; json.Unmarshal(last.Value, &previous) == nil &&
		previous.Unreachable != "" && assigned.Holder == previous.Unreachable {
		t.Errorf("assigned to %s, which the workers cannot reach", assigned.Holder)
	}
	if len(sent.Compares) != 4 {
		t.Errorf("assigned on conditions %v, want leader, shard, token and member", sent.Compares)
	}
}

var (
	joinedEarly = MemberRecord{Member: "n1", Incarnation: 1, JoinedAtMs: 10}
	joinedLate  = MemberRecord{Member: "n2", Incarnation: 2, JoinedAtMs: 90}
	joinedNext  = MemberRecord{Member: "n3", Incarnation: 3, JoinedAtMs: 11}
)

var chooseCases = []struct {
	name                            string
	members                         []MemberRecord
	leader, lastHolder, unreachable string
	want                            string
}{
	{
		name:       "the one restarted already, not the one that is next",
		members:    []MemberRecord{joinedEarly, joinedLate, joinedNext},
		lastHolder: "n0",
		want:       "n2",
	},
	{
		name:       "one that does not lead",
		members:    []MemberRecord{joinedEarly, joinedLate},
		leader:     "n2",
		lastHolder: "n0",
		want:       "n1",
	},
	{
		name:       "not the one that ended a moment ago",
		members:    []MemberRecord{joinedEarly, joinedLate},
		leader:     "n1",
		lastHolder: "n2",
		want:       "n1",
	},
	{
		name:        "not the one that the workers cannot reach",
		members:     []MemberRecord{joinedEarly, joinedLate},
		leader:      "n1",
		unreachable: "n2",
		want:        "n1",
	},
	{
		name:        "the one that ended rather than one that the workers cannot reach",
		members:     []MemberRecord{joinedEarly, joinedLate},
		lastHolder:  "n1",
		unreachable: "n2",
		want:        "n1",
	},
	{
		name:        "the only member",
		members:     []MemberRecord{joinedLate},
		leader:      "n2",
		lastHolder:  "n2",
		unreachable: "n2",
		want:        "n2",
	},
}

// Who gets a shard that nobody leases.
func TestChooseHolder(t *testing.T) {
	for _, c := range chooseCases {
		t.Run(c.name, func(t *testing.T) {
			e := newEnvironment()
			records := &e.membership.records
			records.leader.value.Member = c.leader
			for _, member := range c.members {
				records.members[member.Member] = versioned[MemberRecord]{member, member.Incarnation}
			}
			got, ok := e.membership.chooseHolder(c.lastHolder, c.unreachable)
			if !ok || got.value.Member != c.want {
				t.Errorf("chose %q, want %q", got.value.Member, c.want)
			}
		})
	}
}

// The leader records as in force what all members announce, and no longer what a member of an
// earlier version does not.
func TestFeaturesInForce(t *testing.T) {
	with, without := []string{"duties"}, []string(nil)
	for _, c := range []struct {
		name      string
		announced [][]string // by each member; the first is the leader
		inForce   []string
		wantWrite bool
		want      []string
	}{
		{
			name:      "all announce it",
			announced: [][]string{with, with, with},
			wantWrite: true,
			want:      with,
		},
		{
			name:      "one does not",
			announced: [][]string{with, with, without},
		},
		{
			name:      "in force already",
			announced: [][]string{with, with},
			inForce:   with,
		},
		{
			name:      "an earlier version joins",
			announced: [][]string{with, without},
			inForce:   with,
			wantWrite: true,
		},
		{
			name:      "the leader does not",
			announced: [][]string{without, with},
		},
		{
			name:      "the leader is of a version with it off",
			announced: [][]string{without, with},
			inForce:   with,
			wantWrite: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEnvironment()
			e.announceFeatures(c.announced)
			e.membership.records.features = versioned[FeaturesRecord]{FeaturesRecord{c.inForce}, 9}
			e.membership.recordFeatures()
			if wrote := len(e.calls) == 1; wrote != c.wantWrite {
				t.Fatalf("%d calls", len(e.calls))
			}
			if c.wantWrite {
				e.checkFeatures(t, c.want)
			}
		})
	}
}

// announceFeatures makes members that announce these feature gates; the first is this process.
func (e *environment) announceFeatures(announced [][]string) {
	e.membership.options.Features = announced[0]
	for i, features := range announced {
		name, incarnation := fmt.Sprintf("n%d", i), uint64(i+1)
		record := MemberRecord{Member: name, Incarnation: incarnation, Features: features}
		e.membership.records.members[name] = versioned[MemberRecord]{record, incarnation}
	}
}

func (e *environment) checkFeatures(t *testing.T, want []string) {
	t.Helper()
	sent := e.calls[0].Transaction
	var recorded FeaturesRecord
	err := json.Unmarshal(sent.Writes[0].Value, &recorded)
	if err != nil || !slices.Equal(recorded.InForce, want) {
		t.Errorf("in force: %v, %v; want %v", recorded.InForce, err, want)
	}
	for _, compare := range []wire.Compare{
		store.VersionEquals(keyFeatures, 9),
		store.VersionEquals(keyLeader, e.membership.records.leader.version),
	} {
		if !slices.Contains(sent.Compares, compare) {
			t.Errorf("conditions %+v lack %+v", sent.Compares, compare)
		}
	}
}
