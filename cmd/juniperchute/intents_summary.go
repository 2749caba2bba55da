package main

import (
	"fmt"
	"io"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/peer/peerpb"
)

// operationNouns maps the names of operations in the administration API to descriptions.
var operationNouns = map[string]string{
	string(intentlog.Provision):     "provisioning machines",
	string(intentlog.Deprovision):   "deprovisioning machines",
	string(intentlog.Reclaim):       "reclaiming machines",
	string(intentlog.DeleteRecords): "deleting records",
}

// intentStates maps the states of an intent in the administration API to descriptions.
var intentStates = map[string]string{
	"entering": "is being recorded",
	"entered":  "is recorded, and no call of this lease holder is in flight",
	"sent":     "is in flight",
	"settled":  "is completed",
}

// printIntentsSummary prints the state of the intent log, the leases and the pending operations in
// sentences.
func printIntentsSummary(out io.Writer, reply *peerpb.IntentsReply) {
	fmt.Fprintf(out, "Controller %s answers. Its view of the lease holders is %s, that of the intent logs %s.\n",
		reply.Member, describeAge(reply.HoldersAgeMs), describeAge(reply.IntentsAgeMs))
	if reply.InForce {
		fmt.Fprintln(out, "The intent log is in force: each cloud operation is recorded before its call is sent.")
	} else {
		fmt.Fprintln(out, "The intent log is not in force: calls are sent to the cloud without being recorded first.")
	}
	for _, shard := range reply.Shards {
		printShardSummary(out, shard)
	}
}

func printShardSummary(out io.Writer, shard *peerpb.ShardIntents) {
	fmt.Fprintf(out, "Shard %d: %s.\n", shard.Shard, describeLease(shard))
	if shard.UnreadablePages > 0 {
		fmt.Fprintf(out, "  %s of its intent log cannot be read: operations recorded there are not completed.\n",
			formatCount(shard.UnreadablePages, "page"))
	}
	printPendingOperations(out, shard)
}

// describeLease returns a clause on the lease holder of a shard and the state of its term.
func describeLease(shard *peerpb.ShardIntents) string {
	if shard.Holder == "" {
		return "nobody holds the lease, so a failover is in progress"
	}
	text := fmt.Sprintf("%s holds the lease under token %d", shard.Holder, shard.Token)
	if shard.AssignedAtMs != 0 {
		text += ", since " + formatUTC(shard.AssignedAtMs)
	}
	switch {
	case !shard.Live:
		return text + ", but is not a live member, so a failover is in progress"
	case shard.State == "":
		return text // only the lease holder knows the state of its term
	}
	return text + ", and " + describeTerm(shard.State)
}

func printPendingOperations(out io.Writer, shard *peerpb.ShardIntents) {
	pending := false
	for _, operation := range shard.Operations {
		if operation.Pending+operation.RemovalsInFlight == 0 {
			continue
		}
		pending = true
		fmt.Fprintf(out, "  %s: %s.\n", describeOperation(operation.Operation), describePending(shard, operation))
	}
	if !pending {
		fmt.Fprintln(out, "  All its operations are completed.")
	}
}

// describeOperation returns the description of an operation with its name in the tables.
func describeOperation(name string) string {
	if noun, ok := operationNouns[name]; ok {
		return fmt.Sprintf("%s (%s)", noun, name)
	}
	return name
}

func describePending(shard *peerpb.ShardIntents, operation *peerpb.OperationStatus) string {
	if operation.RemovalsInFlight > 0 && operation.Pending == 0 {
		return formatCount(operation.RemovalsInFlight, "deletion") + " in flight"
	}
	text := formatCount(operation.Pending, "operation") + " not completed"
	if len(operation.Intents) == 0 {
		return text
	}
	oldest := operation.Intents[0]
	text += "; the oldest is for " + oldest.Target
	if oldest.AgeMs >= 0 {
		text += ", was decided " + formatAge(oldest.AgeMs) + " ago"
	}
	text += " and " + describeIntent(oldest.State, shard)
	if oldest.Token < shard.Token {
		text += fmt.Sprintf("; an earlier lease holder recorded it under token %d", oldest.Token)
	}
	return text
}

func describeIntent(state string, shard *peerpb.ShardIntents) string {
	if state == "entered" && shard.State == "" {
		// the reply of another controller is based on stored records
		return "is recorded; only the lease holder knows whether its call is in flight"
	}
	if text, ok := intentStates[state]; ok {
		return text
	}
	return "is in the state " + state
}
