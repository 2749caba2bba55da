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

// errControlRecordsNotLoaded rejects an operator's query before the first read of the control
// records. The text is returned to the operator.
var errControlRecordsNotLoaded = errors.New("the control records have not been read yet")

// Intents reports the lease holder and the incomplete cloud operations of each shard. It reads
// the intent logs from the state service. If that fails, the reply holds the result of the last
// complete read and its age.
func (c *Controller) Intents(now time.Time, reply func(*peerpb.IntentsReply, error)) {
	if !c.membership.Synced() {
		reply(nil, errControlRecordsNotLoaded)
		return
	}
	intents := newStoredIntents(now)
	c.readIntentLogs(intents, "", func(now time.Time, ok bool) {
		if ok {
			c.storedIntents = intents
		}
		reply(c.intentsReply(now), nil)
	})
}

// ageMs returns the time since an event in milliseconds, or -1 if at is zero.
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
		IntentsAgeMs: ageMs(now, c.storedIntents.readAt),
	}
	for shard := range c.options.Shards {
		reply.Shards = append(reply.Shards, c.shardIntents(shard))
	}
	return reply
}

// shardIntents returns the lease holder and the incomplete operations of one shard. The
// operations come from the shard's term if this process runs it, and from the stored records
// otherwise.
func (c *Controller) shardIntents(shard int) *peerpb.ShardIntents {
	holder, token, live := c.membership.Holder(shard)
	out := &peerpb.ShardIntents{
		Shard:           int32(shard),
		Holder:          holder,
		Token:           token,
		Live:            live,
		UnreadablePages: int32(c.storedIntents.unreadable[shard]),
	}
	if assignedAt := c.membership.ShardAssignedAt(shard); !assignedAt.IsZero() {
		out.AssignedAtMs = assignedAt.UnixMilli()
	}
	operations := c.storedOperations(shard)
	if t := c.liveTerm(shard); t != nil {
		out.State = t.State().String()
		if current, ok := t.Operations(); ok {
			operations = current
		}
	}
	for _, operation := range operations {
		out.Operations = append(out.Operations, c.operationStatus(operation))
	}
	return out
}

// storedOperations returns a shard's operations from the stored records: the entries of its
// intent log, and the provisioning requests that name no machines yet.
func (c *Controller) storedOperations(shard int) []intentlog.OperationStatus {
	intents := map[intentlog.Operation][]intentlog.IntentStatus{}
	for _, entry := range c.storedIntents.entries[shard] {
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

// operationStatus encodes the intents of one operation for the administration API, oldest first
// and at most tuning.MaxIntentsShown.
func (c *Controller) operationStatus(status intentlog.OperationStatus) *peerpb.OperationStatus {
	out := &peerpb.OperationStatus{
		Operation:        string(status.Operation),
		Pending:          int32(len(status.Intents)),
		RemovalsInFlight: int32(status.DeletionsInFlight),
		RemovalsDone:     int64(status.DeletionsDone),
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

// adminIntentState returns the name of an intent's state in the administration API. The names
// are part of the API and must not change.
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
