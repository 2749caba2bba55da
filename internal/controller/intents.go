package controller

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"juniperchute/internal/featuregate"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// errRecordsNotRead tells that this controller has not read what it is asked for yet.
var errRecordsNotRead = errors.New("the control records have not been read yet")

// Intents tells an operator who owns the shards and which cloud operations are not completed.
// The intent logs are read anew; if the state service does not answer, what was read last is
// shown with its age.
func (c *Controller) Intents(now time.Time, reply func(*peerpb.IntentsReply, error)) {
	if !c.membership.Synced() {
		reply(nil, errRecordsNotRead)
		return
	}
	read := newStoredIntents(now)
	c.readIntentLogs(read, "", func(now time.Time, ok bool) {
		if ok {
			c.storedLogs = read
		}
		reply(c.intentsReply(now), nil)
	})
}

// ageMs is how long ago something was, in milliseconds, -1 if it never was.
func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(0, now.Sub(at).Milliseconds())
}

func (c *Controller) intentsReply(now time.Time) *peerpb.IntentsReply {
	reply := &peerpb.IntentsReply{
		Member:       c.config.Member,
		InForce:      c.membership.FeatureInForce(featuregate.IntentLogFeature),
		HoldersAgeMs: ageMs(now, c.membership.LastContact()),
		IntentsAgeMs: ageMs(now, c.storedLogs.readAt),
	}
	for shard := range c.options.Shards {
		reply.Shards = append(reply.Shards, c.shardIntents(shard))
	}
	return reply
}

// shardIntents are the operations of one shard: as its term in this process knows them, or
// else as they are stored.
func (c *Controller) shardIntents(shard int) *peerpb.ShardIntents {
	holder, token, live := c.membership.Holder(shard)
	out := &peerpb.ShardIntents{
		Shard:           int32(shard),
		Holder:          holder,
		Token:           token,
		Live:            live,
		UnreadablePages: int32(c.storedLogs.unreadable[shard]),
	}
	if assignedAt := c.membership.ShardAssignedAt(shard); !assignedAt.IsZero() {
		out.AssignedAtMs = assignedAt.UnixMilli()
	}
	operations := c.storedOperations(shard)
	if t := c.liveTerm(shard); t != nil {
		out.State = t.State().String()
		if known, ok := t.Operations(); ok {
			operations = known
		}
	}
	for _, operation := range operations {
		out.Operations = append(out.Operations, c.operationStatus(operation))
	}
	return out
}

// storedOperations are a shard's operations as stored: the entries of its intent log, and the
// provision requests that name no machines yet.
func (c *Controller) storedOperations(shard int) []intentlog.OperationStatus {
	intents := map[intentlog.Operation][]intentlog.IntentStatus{}
	for _, entry := range c.storedLogs.entries[shard] {
		intents[entry.Operation] = append(intents[entry.Operation], intentlog.IntentStatus{
			Operation: entry.Operation,
			Target:    entry.Target,
			Token:     entry.Token,
			State:     intentlog.Recorded,
			DecidedAt: entry.DecidedAt,
		})
	}
	c.provisionRequests.Each(func(kv wire.KeyValue) {
		if name, token, open := fleet.PendingRequest(kv, shard); open {
			intents[intentlog.Provision] = append(intents[intentlog.Provision], intentlog.IntentStatus{
				Operation: intentlog.Provision,
				Target:    name,
				Token:     token,
				State:     intentlog.Recorded,
			})
		}
	})
	var out []intentlog.OperationStatus
	for _, operation := range intentlog.Operations() {
		out = append(out, intentlog.OperationStatus{Operation: operation, Intents: intents[operation]})
	}
	return out
}

// operationStatus is one kind of operation as the administration API has it, the oldest
// intents first.
func (c *Controller) operationStatus(status intentlog.OperationStatus) *peerpb.OperationStatus {
	out := &peerpb.OperationStatus{
		Operation:        string(status.Operation),
		Pending:          int32(len(status.Intents)),
		RemovalsInFlight: int32(status.RemovalsInFlight),
		RemovalsDone:     int64(status.RemovalsDone),
	}
	slices.SortStableFunc(status.Intents, func(a, b intentlog.IntentStatus) int {
		return cmp.Or(a.DecidedAt.Compare(b.DecidedAt), cmp.Compare(a.Target, b.Target))
	})
	for _, intent := range status.Intents[:min(len(status.Intents), tuning.MaxIntentsShown)] {
		out.Intents = append(out.Intents, &peerpb.IntentStatus{
			Target: intent.Target,
			Token:  intent.Token,
			State:  adminIntentState(intent.State),
			AgeMs:  ageMs(c.environment.WallClock(), intent.DecidedAt),
		})
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
