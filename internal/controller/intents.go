package controller

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/featuregate"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// storedIntents are the logs of all blocks as this node last read them.
type storedIntents struct {
	entries    map[int][]intentlog.Entry
	unreadable map[int]int // pages that cannot be read
	readAt     time.Time   // when they were read; zero: never
}

// errRecordsNotRead tells that this node has not read what it is asked for yet.
var errRecordsNotRead = errors.New("the control records have not been read yet")

// Intents tells who carries out the duties and what is not settled. The logs are read
// anew; if the state service does not answer, what was read last is told with its age.
func (c *Controller) Intents(now time.Time, reply func(*peerpb.IntentsReply, error)) {
	if !c.membership.Synced() {
		reply(nil, errRecordsNotRead)
		return
	}
	read := storedIntents{entries: map[int][]intentlog.Entry{}, unreadable: map[int]int{}, readAt: now}
	c.readIntentLogs(read, "", func(now time.Time, ok bool) {
		if ok {
			c.storedLogs = read
		}
		reply(c.intentsReply(now), nil)
	})
}

// readIntentLogs reads the pages of all blocks' logs.
func (c *Controller) readIntentLogs(into storedIntents, after string, then func(now time.Time, ok bool)) {
	c.callState(store.Call{Op: store.OpList, Priority: store.PriorityUser, Prefix: intentlog.Prefix, After: after, PageSize: tuning.ListPageSize}, func(now time.Time, r store.Result) {
		if !r.OK() {
			then(now, false)
			return
		}
		for _, it := range r.KeyValues {
			into.add(it)
		}
		if n := len(r.KeyValues); r.More && n > 0 {
			c.readIntentLogs(into, r.KeyValues[n-1].Key, then)
			return
		}
		then(now, true)
	})
}

func (l *storedIntents) add(it wire.KeyValue) {
	number, _, _ := strings.Cut(strings.TrimPrefix(it.Key, intentlog.Prefix), "/")
	block, err := strconv.Atoi(number)
	if err != nil {
		return
	}
	entries, err := intentlog.ReadPage(it.Value)
	if err != nil {
		l.unreadable[block]++
		return
	}
	l.entries[block] = append(l.entries[block], entries...)
}

// ageMs is how long ago something was, in milliseconds, -1 if it never was.
func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(0, now.Sub(at).Milliseconds())
}

func (c *Controller) intentsReply(now time.Time) *peerpb.IntentsReply {
	out := &peerpb.IntentsReply{Member: c.config.Member, InForce: c.membership.FeatureInForce(featuregate.IntentLogFeature),
		HoldersAgeMs: ageMs(now, c.membership.LastContact()), IntentsAgeMs: ageMs(now, c.storedLogs.readAt)}
	for b := range c.options.Shards {
		out.Shards = append(out.Shards, c.shardIntents(b))
	}
	return out
}

func (c *Controller) shardIntents(block int) *peerpb.ShardIntents {
	holder, token, live := c.membership.Holder(block)
	out := &peerpb.ShardIntents{Shard: int32(block), Holder: holder, Token: token, Live: live, UnreadablePages: int32(c.storedLogs.unreadable[block])}
	if since := c.membership.ShardAssignedAt(block); !since.IsZero() {
		out.AssignedAtMs = since.UnixMilli()
	}
	statuses := c.recordedIntents(block)
	if t := c.liveTerm(block); t != nil {
		out.State = t.State().String()
		if known, ok := t.Operations(); ok {
			statuses = known
		}
	}
	for _, s := range statuses {
		out.Operations = append(out.Operations, c.operationStatus(s))
	}
	return out
}

// recordedIntents tells of a block's duties what is stored: the entries of its log, and
// the rentals that name no machines yet.
func (c *Controller) recordedIntents(block int) []intentlog.OperationStatus {
	actions := map[intentlog.Operation][]intentlog.IntentStatus{}
	for _, e := range c.storedLogs.entries[block] {
		actions[e.Operation] = append(actions[e.Operation], intentlog.IntentStatus{Operation: e.Operation, Target: e.Target, Token: e.Token, State: intentlog.Recorded, DecidedAt: e.DecidedAt})
	}
	c.provisionRequests.Each(func(it wire.KeyValue) {
		if name, token, open := fleet.UnansweredRequest(it, block); open {
			actions[intentlog.Provision] = append(actions[intentlog.Provision], intentlog.IntentStatus{Operation: intentlog.Provision, Target: name, Token: token, State: intentlog.Recorded})
		}
	})
	var out []intentlog.OperationStatus
	for _, d := range intentlog.Operations() {
		out = append(out, intentlog.OperationStatus{Operation: d, Intents: actions[d]})
	}
	return out
}

// operationStatus tells of one duty, the oldest actions first.
func (c *Controller) operationStatus(s intentlog.OperationStatus) *peerpb.OperationStatus {
	out := &peerpb.OperationStatus{Operation: string(s.Operation), Pending: int32(len(s.Intents)), RemovalsInFlight: int32(s.RemovalsInFlight), RemovalsDone: int64(s.RemovalsDone)}
	slices.SortStableFunc(s.Intents, func(a, b intentlog.IntentStatus) int {
		return cmp.Or(a.DecidedAt.Compare(b.DecidedAt), cmp.Compare(a.Target, b.Target))
	})
	for _, a := range s.Intents[:min(len(s.Intents), tuning.MaxIntentsShown)] {
		out.Intents = append(out.Intents, &peerpb.IntentStatus{Target: a.Target, Token: a.Token, State: adminIntentState(a.State), AgeMs: ageMs(c.wallClock(), a.DecidedAt)})
	}
	return out
}

// adminIntentState is the name of an intent's state in the administration API. Commands of all
// versions show these names, so they stay as they are.
func adminIntentState(state intentlog.State) string {
	switch state {
	case intentlog.Recording:
		return "entering"
	case intentlog.Recorded:
		return "entered"
	case intentlog.InFlight:
		return "sent"
	case intentlog.Completed:
		return "settled"
	}
	return state.String()
}
