package leader

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// Records in the state service when n0, incarnation 7, joins.
var (
	memberN1            = keyValue("c/m/n1", MemberRecord{Member: "n1", Incarnation: 5}, 20)
	leaderN0            = keyValue("c/leader", LeaderRecord{"n0", 7}, 30)
	tokenThree          = keyValue("c/baton", tokenRecord{3}, 31)
	heldByN1            = keyValue("c/b/0", ShardRecord{Holder: "n1", Incarnation: 5, Token: 3}, 32)
	releasedUnreachable = keyValue("c/b/0",
		ShardRecord{Token: 3, EarlierTermsEnded: true, UnreachableMember: "n1"}, 32)
	earlierTermsThree = keyValue("c/e/0", EarlierTermsRecord{Token: 3}, 33)
	earlierTermsTwo   = keyValue("c/e/0", EarlierTermsRecord{Token: 2}, 33)
)

// heldByReplacedN1 returns the record of a term whose lease holder has restarted.
func heldByReplacedN1(earlierTermsEnded bool) wire.KeyValue {
	record := ShardRecord{Holder: "n1", Incarnation: 4, Token: 3, EarlierTermsEnded: earlierTermsEnded}
	return keyValue("c/b/0", record, 32)
}

// released returns the record of a term whose lease holder has released the shard.
func released(earlierTermsEnded bool) wire.KeyValue {
	return keyValue("c/b/0", ShardRecord{Token: 3, EarlierTermsEnded: earlierTermsEnded}, 32)
}

type campaignCase struct {
	name                  string
	items                 []wire.KeyValue
	wantKey               string // key of the first write; "": no transaction
	wantToken             uint64 // token of the assigned term; 0: no assignment
	wantEarlierTermsEnded bool   // EarlierTermsEnded of the assigned term
}

var campaignCases = []campaignCase{
	{
		name:    "no leader: becomes leader",
		items:   []wire.KeyValue{memberN1},
		wantKey: "c/leader",
	},
	{
		name:  "another member is leader: does nothing",
		items: []wire.KeyValue{memberN1, keyValue("c/leader", LeaderRecord{"n1", 5}, 30)},
	},
	{
		name:    "leader restarted: becomes leader",
		items:   []wire.KeyValue{memberN1, keyValue("c/leader", LeaderRecord{"n1", 4}, 30)},
		wantKey: "c/leader",
	},
	{
		name:    "leader is no longer a member: becomes leader",
		items:   []wire.KeyValue{keyValue("c/leader", LeaderRecord{"n1", 5}, 30)},
		wantKey: "c/leader",
	},
	{
		name:                  "is leader, shard never leased: assigns it",
		items:                 []wire.KeyValue{leaderN0, tokenThree},
		wantKey:               "c/baton",
		wantToken:             4,
		wantEarlierTermsEnded: true,
	},
	{
		name:  "is leader, shard leased: does nothing",
		items: []wire.KeyValue{memberN1, leaderN0, heldByN1},
	},
	{
		name:                  "is leader, lease holder is no longer a member: assigns the shard, predecessor may run",
		items:                 []wire.KeyValue{leaderN0, tokenThree, heldByN1},
		wantKey:               "c/baton",
		wantToken:             4,
		wantEarlierTermsEnded: false,
	},
	{
		name:                  "is leader, lease holder restarted: assigns the shard",
		items:                 []wire.KeyValue{memberN1, leaderN0, tokenThree, heldByReplacedN1(true)},
		wantKey:               "c/baton",
		wantToken:             4,
		wantEarlierTermsEnded: true,
	},
	{
		name:                  "is leader, shard released: assigns it",
		items:                 []wire.KeyValue{memberN1, leaderN0, tokenThree, released(true)},
		wantKey:               "c/baton",
		wantToken:             4,
		wantEarlierTermsEnded: true,
	},
	{
		name:      "lease holder restarted, a holder before it may run: earlier terms may run",
		items:     []wire.KeyValue{memberN1, leaderN0, tokenThree, heldByReplacedN1(false)},
		wantKey:   "c/baton",
		wantToken: 4,
	},
	{
		name:      "shard released, a holder before the last one may run: earlier terms may run",
		items:     []wire.KeyValue{memberN1, leaderN0, tokenThree, released(false)},
		wantKey:   "c/baton",
		wantToken: 4,
	},
	{
		name: "lease holder restarted and has recorded the end of earlier terms",
		items: []wire.KeyValue{
			memberN1, leaderN0, tokenThree, earlierTermsThree, heldByReplacedN1(false),
		},
		wantKey:               "c/baton",
		wantToken:             4,
		wantEarlierTermsEnded: true,
	},
	{
		name:      "the end of earlier terms was recorded by an earlier term than the latest",
		items:     []wire.KeyValue{memberN1, leaderN0, tokenThree, earlierTermsTwo, heldByReplacedN1(false)},
		wantKey:   "c/baton",
		wantToken: 4,
	},
	{
		name:      "end of earlier terms recorded, lease holder is no longer a member: it may run",
		items:     []wire.KeyValue{leaderN0, tokenThree, earlierTermsThree, heldByN1},
		wantKey:   "c/baton",
		wantToken: 4,
	},
	{
		name:                  "is leader, shard released as unreachable: assigns it to another member",
		items:                 []wire.KeyValue{memberN1, leaderN0, tokenThree, releasedUnreachable},
		wantKey:               "c/baton",
		wantToken:             4,
		wantEarlierTermsEnded: true,
	},
}

// Guards against two leaders, unassigned shards, reused fencing tokens, and terms that do not wait for an
// earlier lease holder that may still renew workers' leases.
func TestCampaign(t *testing.T) {
	for _, c := range campaignCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.join(t, c.items...)
			sent := h.lastTransaction()
			key := ""
			if len(sent.Writes) > 0 {
				key = sent.Writes[0].PutKey
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

// lastTransaction returns the latest transaction in flight, or an empty one if there is none.
func (h *harness) lastTransaction() wire.Transaction {
	var last wire.Transaction
	for _, call := range h.calls {
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
	ended := c.wantEarlierTermsEnded
	if err != nil || assigned.Token != c.wantToken ||
		assigned.EarlierTermsEnded != ended || assigned.PredecessorEnded != ended {
		t.Errorf("shard record %+v, want token %d, earlier terms ended %t", assigned, c.wantToken, ended)
	}
	var previous ShardRecord
	if last := c.items[len(c.items)-1]; json.Unmarshal(last.Value, &previous) == nil &&
		previous.UnreachableMember != "" && assigned.Holder == previous.UnreachableMember {
		t.Errorf("assigned to %s, which the workers cannot reach", assigned.Holder)
	}
	if len(sent.Compares) != 4 {
		t.Errorf("assigned with compares %v, want leader, shard, token and member", sent.Compares)
	}
}

var (
	joinedEarly = MemberRecord{Member: "n1", Incarnation: 1, JoinedAtMs: 10}
	joinedLate  = MemberRecord{Member: "n2", Incarnation: 2, JoinedAtMs: 90}
	joinedNext  = MemberRecord{Member: "n3", Incarnation: 3, JoinedAtMs: 11}
)

var chooseHolderCases = []struct {
	name                            string
	members                         []MemberRecord
	leader, lastHolder, unreachable string
	want                            string
}{
	{
		name:       "rolling restart: member that joined last",
		members:    []MemberRecord{joinedEarly, joinedLate, joinedNext},
		lastHolder: "n0",
		want:       "n2",
	},
	{
		name:       "member that is not leader",
		members:    []MemberRecord{joinedEarly, joinedLate},
		leader:     "n2",
		lastHolder: "n0",
		want:       "n1",
	},
	{
		name:       "not the last lease holder, although the other is leader",
		members:    []MemberRecord{joinedEarly, joinedLate},
		leader:     "n1",
		lastHolder: "n2",
		want:       "n1",
	},
	{
		name:        "not the unreachable member, although the other is leader",
		members:     []MemberRecord{joinedEarly, joinedLate},
		leader:      "n1",
		unreachable: "n2",
		want:        "n1",
	},
	{
		name:        "last lease holder before unreachable member",
		members:     []MemberRecord{joinedEarly, joinedLate},
		lastHolder:  "n1",
		unreachable: "n2",
		want:        "n1",
	},
	{
		name:        "only member, despite every criterion",
		members:     []MemberRecord{joinedLate},
		leader:      "n2",
		lastHolder:  "n2",
		unreachable: "n2",
		want:        "n2",
	},
}

// Guards against assigning a shard to a member that would soon lose it.
func TestChooseHolder(t *testing.T) {
	for _, c := range chooseHolderCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			records := &h.membership.records
			records.leader.value.Member = c.leader
			for _, member := range c.members {
				records.members[member.Member] = versioned[MemberRecord]{member, member.Incarnation}
			}
			got, ok := h.membership.chooseHolder(c.lastHolder, c.unreachable)
			if !ok || got.value.Member != c.want {
				t.Errorf("chose %q, want %q", got.value.Member, c.want)
			}
		})
	}
}

// Guards against a feature gate in force while some member does not announce it.
func TestFeaturesInForce(t *testing.T) {
	with, without := []string{"duties"}, []string(nil)
	for _, c := range []struct {
		name      string
		announced [][]string // by member; the first is the leader
		inForce   []string
		wantWrite bool
		want      []string
	}{
		{
			name:      "all members announce it: in force",
			announced: [][]string{with, with, with},
			wantWrite: true,
			want:      with,
		},
		{
			name:      "one member does not: not in force",
			announced: [][]string{with, with, without},
		},
		{
			name:      "in force already: no write",
			announced: [][]string{with, with},
			inForce:   with,
		},
		{
			name:      "member of an earlier version joins: no longer in force",
			announced: [][]string{with, without},
			inForce:   with,
			wantWrite: true,
		},
		{
			name:      "leader does not announce it: not in force",
			announced: [][]string{without, with},
		},
		{
			name:      "leader has it disabled: no longer in force",
			announced: [][]string{without, with},
			inForce:   with,
			wantWrite: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			h.announceFeatures(c.announced)
			h.membership.records.features = versioned[FeaturesRecord]{FeaturesRecord{c.inForce}, 9}
			h.membership.recordFeatures()
			if wrote := len(h.calls) == 1; wrote != c.wantWrite {
				t.Fatalf("%d calls", len(h.calls))
			}
			if c.wantWrite {
				h.checkFeatures(t, c.want)
			}
		})
	}
}

// announceFeatures adds members with the given feature gates. The first one is this process.
func (h *harness) announceFeatures(announced [][]string) {
	h.membership.options.Features = announced[0]
	for i, features := range announced {
		name, incarnation := fmt.Sprintf("n%d", i), uint64(i+1)
		record := MemberRecord{Member: name, Incarnation: incarnation, Features: features}
		h.membership.records.members[name] = versioned[MemberRecord]{record, incarnation}
	}
}

func (h *harness) checkFeatures(t *testing.T, want []string) {
	t.Helper()
	sent := h.calls[0].Transaction
	var recorded FeaturesRecord
	err := json.Unmarshal(sent.Writes[0].Value, &recorded)
	if err != nil || !slices.Equal(recorded.InForce, want) {
		t.Errorf("in force: %v, %v; want %v", recorded.InForce, err, want)
	}
	for _, compare := range []wire.Compare{
		store.VersionEquals(keyFeatures, 9),
		store.VersionEquals(keyLeader, h.membership.records.leader.version),
	} {
		if !slices.Contains(sent.Compares, compare) {
			t.Errorf("compares %+v lack %+v", sent.Compares, compare)
		}
	}
}
