package main

import (
	"strings"
	"testing"

	"juniperchute/internal/peer/peerpb"
)

// failoverReply returns a reply during a failover, in which a new lease holder recovers a
// deprovisioning operation.
func failoverReply() *peerpb.IntentsReply {
	return &peerpb.IntentsReply{
		Member:  "node-0",
		InForce: true,
		Shards: []*peerpb.ShardIntents{{
			Holder: "node-1", Token: 2, AssignedAtMs: 1796207677000, Live: true,
			Operations: []*peerpb.OperationStatus{
				{Operation: "rent"},
				{Operation: "return", Pending: 1, Intents: []*peerpb.IntentStatus{
					{Target: "i-000010", Token: 1, State: "entered", AgeMs: 3400},
				}},
				{Operation: "reclaim"},
				{Operation: "clean-up"},
			},
		}},
	}
}

// wantIntentTables is a format that scripts parse, documented in docs/intent-log-operation.md.
const wantIntentTables = `
asked          node-0
log of duties  in force
holders as of  0s ago
entries as of  0s ago

block 0   held by node-1
since     2026-12-02 10:34:37 UTC
token     2
duty      holder    not settled  oldest
rent      node-1    0            -
return    node-1    1            3.4s
reclaim   node-1    0            -
clean-up  node-1    0            -
return    i-000010  entered      entered under token 1, 3.4s ago
`

const wantIntentSummary = "Controller node-0 answers. " +
	"Its view of the lease holders is 0s old, that of the intent logs 0s old.\n" +
	"The intent log is in force: each cloud operation is recorded before its call is sent.\n" +
	"Shard 0: node-1 holds the lease under token 2, since 2026-12-02 10:34:37 UTC.\n" +
	"  deprovisioning machines (return): 1 operation not completed; " +
	"the oldest is for i-000010, was decided 3.4s ago " +
	"and is recorded; only the lease holder knows whether its call is in flight; " +
	"an earlier lease holder recorded it under token 1.\n"

func TestPrintIntents(t *testing.T) {
	var out strings.Builder
	printIntents(&out, failoverReply())
	if want := wantIntentSummary + wantIntentTables; out.String() != want {
		t.Errorf("printed\n%s\nwant\n%s", out.String(), want)
	}
}

// printIntentsCase is a modification of failoverReply and the output that it causes.
type printIntentsCase struct {
	name         string
	change       func(reply *peerpb.IntentsReply, shard *peerpb.ShardIntents)
	wantSentence string
	wantRow      string // cells separated by one space
}

var printIntentsCases = []printIntentsCase{
	{
		name: "intent log not in force",
		change: func(reply *peerpb.IntentsReply, _ *peerpb.ShardIntents) {
			reply.InForce = false
		},
		wantSentence: "The intent log is not in force: calls are sent to the cloud without being recorded first.",
		wantRow:      "log of duties not in force: actions are not entered before they are sent",
	},
	{
		name: "state service never contacted",
		change: func(reply *peerpb.IntentsReply, _ *peerpb.ShardIntents) {
			reply.HoldersAgeMs, reply.IntentsAgeMs = -1, -1
		},
		wantSentence: "Its view of the lease holders is of unknown age, that of the intent logs of unknown age.",
		wantRow:      "holders as of not known ago",
	},
	{
		name: "no lease holder",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.Holder = ""
		},
		wantSentence: "Shard 0: nobody holds the lease, so a failover is in progress.",
		wantRow:      "block 0 held by nobody: a takeover is going on",
	},
	{
		name: "lease holder not a live member",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.Live = false
		},
		wantSentence: "but is not a live member, so a failover is in progress.",
		wantRow:      "block 0 held by node-1, which is not a live member: a takeover is going on",
	},
	{
		name: "lease holder fencing",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.State = "fencing"
		},
		wantSentence: "and is still taking over: it waits until the machines of earlier terms have answered",
		wantRow:      "block 0 held by node-1, still taking over (fencing)",
	},
	{
		name: "lease holder in service, assignment time not reported",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.State, shard.AssignedAtMs = "open", 0
		},
		wantSentence: "Shard 0: node-1 holds the lease under token 2, and is in service.",
		wantRow:      "since not told",
	},
	{
		name: "unreadable page",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.UnreadablePages = 1
		},
		wantSentence: "1 page of its intent log cannot be read: operations recorded there are not completed.",
		wantRow:      "pages of the log that cannot be read 1",
	},
	{
		name: "more intents than listed",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.Operations[1].Pending = 61
		},
		wantSentence: "deprovisioning machines (return): 61 operations not completed;",
		wantRow:      "return and 60 more",
	},
	{
		name: "intent recorded, reported by the lease holder",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.State = "open"
		},
		wantSentence: "was decided 3.4s ago and is recorded, and no call of this lease holder is in flight;",
		wantRow:      "return i-000010 entered entered under token 1, 3.4s ago",
	},
	{
		name: "intent with a call in flight",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			intent := shard.Operations[1].Intents[0]
			intent.State, intent.Token = "sent", 2
		},
		wantSentence: "the oldest is for i-000010, was decided 3.4s ago and is in flight.",
		wantRow:      "return i-000010 sent entered under token 2, 3.4s ago",
	},
	{
		name: "age of an intent unknown",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.Operations[1].Intents[0].AgeMs = -1
		},
		wantSentence: "the oldest is for i-000010 and is recorded",
		wantRow:      "return node-1 1 not known",
	},
	{
		name: "record deletions in flight",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.Operations[3].RemovalsInFlight = 2
		},
		wantSentence: "deleting records (clean-up): 2 deletions in flight.",
		wantRow:      "clean-up node-1 2 -",
	},
	{
		name: "no pending operations",
		change: func(_ *peerpb.IntentsReply, shard *peerpb.ShardIntents) {
			shard.Operations[1] = &peerpb.OperationStatus{Operation: "return"}
		},
		wantSentence: "All its operations are completed.",
		wantRow:      "return node-1 0 -",
	},
}

func TestPrintIntentsCases(t *testing.T) {
	for _, test := range printIntentsCases {
		t.Run(test.name, func(t *testing.T) {
			reply := failoverReply()
			test.change(reply, reply.Shards[0])
			var out strings.Builder
			printIntents(&out, reply)
			if !strings.Contains(out.String(), test.wantSentence) {
				t.Errorf("no sentence %q in\n%s", test.wantSentence, out.String())
			}
			if !hasRow(out.String(), test.wantRow) {
				t.Errorf("no row %q in\n%s", test.wantRow, out.String())
			}
		})
	}
}

// hasRow reports whether text has a line of these words, ignoring the amount of space between them.
func hasRow(text, words string) bool {
	for line := range strings.Lines(text) {
		if strings.Join(strings.Fields(line), " ") == words {
			return true
		}
	}
	return false
}
