package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"juniperchute/internal/peer/peerpb"
)

func newIntentsCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:     "duties --addr ADDR",
		Aliases: []string{"intents"},
		Short:   "Show each shard's lease holder, and the cloud operations that are not completed",
		Long: "duties, or intents, shows who holds the lease of each shard, and which operations (provisioning,\n" +
			"deprovisioning and reclaiming machines, deleting records) are recorded or in flight. Any controller\n" +
			"can be asked, also during a failover.\n\n" +
			"Sentences come first. The tables below them keep the form and the names of earlier versions, for\n" +
			"scripts: duty = operation, block = shard, holder = lease holder, entered = recorded, sent = in flight,\n" +
			"settled = completed.",
		Example: "  juniperchute duties --addr 10.0.0.1:8081\n" +
			"  juniperchute intents --addr 10.0.0.1:8081",
		Args: cobra.NoArgs,
		RunE: adminCommand(&address, getIntents, printIntents),
	}
	addAddressFlag(command, &address)
	return command
}

func getIntents(ctx context.Context, client peerpb.AdminClient, _ []string) (*peerpb.IntentsReply, error) {
	return client.Duties(ctx, &peerpb.IntentsRequest{})
}

func printIntents(out io.Writer, reply *peerpb.IntentsReply) {
	printIntentsSummary(out, reply)
	fmt.Fprintln(out)
	printIntentLogTable(out, reply)
	for _, shard := range reply.Shards {
		fmt.Fprintln(out)
		printShardTables(out, shard)
	}
}

// printIntentLogTable prints the intent log's state and the staleness of the queried controller's view.
func printIntentLogTable(out io.Writer, reply *peerpb.IntentsReply) {
	table := newTable(out)
	defer table.Flush()
	logState := "not in force: actions are not entered before they are sent"
	if reply.InForce {
		logState = "in force"
	}
	fmt.Fprintf(table, "asked\t%s\n", reply.Member)
	fmt.Fprintf(table, "log of duties\t%s\n", logState)
	fmt.Fprintf(table, "holders as of\t%s ago\n", formatAge(reply.HoldersAgeMs))
	fmt.Fprintf(table, "entries as of\t%s ago\n", formatAge(reply.IntentsAgeMs))
}

// printShardTables prints the lease of a shard, its operations and the open intents of each.
func printShardTables(out io.Writer, shard *peerpb.ShardIntents) {
	table := newTable(out)
	defer table.Flush()
	printLease(table, shard)
	printOperations(table, shard)
	for _, operation := range shard.Operations {
		printOperationIntents(table, operation)
	}
}

func printLease(table io.Writer, shard *peerpb.ShardIntents) {
	holder := shard.Holder
	switch {
	case holder == "":
		holder = "nobody: a takeover is going on"
	case !shard.Live:
		holder += ", which is not a live member: a takeover is going on"
	case shard.State != "" && shard.State != "open":
		holder += ", still taking over (" + shard.State + ")"
	}
	since := "not told"
	if shard.AssignedAtMs != 0 {
		since = formatUTC(shard.AssignedAtMs)
	}
	fmt.Fprintf(table, "block %d\theld by %s\n", shard.Shard, holder)
	fmt.Fprintf(table, "since\t%s\n", since)
	fmt.Fprintf(table, "token\t%d\n", shard.Token)
	if shard.UnreadablePages > 0 {
		fmt.Fprintf(table, "pages of the log that cannot be read\t%d\n", shard.UnreadablePages)
	}
}

func printOperations(table io.Writer, shard *peerpb.ShardIntents) {
	fmt.Fprintln(table, "duty\tholder\tnot settled\toldest")
	for _, operation := range shard.Operations {
		oldest := "-"
		if len(operation.Intents) > 0 {
			oldest = formatAge(operation.Intents[0].AgeMs)
		}
		incomplete := operation.Pending + operation.RemovalsInFlight
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", operation.Operation, shard.Holder, incomplete, oldest)
	}
}

func printOperationIntents(table io.Writer, operation *peerpb.OperationStatus) {
	for _, intent := range operation.Intents {
		fmt.Fprintf(table, "%s\t%s\t%s\tentered under token %d, %s ago\n",
			operation.Operation, intent.Target, intent.State, intent.Token, formatAge(intent.AgeMs))
	}
	if unlisted := int(operation.Pending) - len(operation.Intents); unlisted > 0 {
		fmt.Fprintf(table, "%s\tand %d more\n", operation.Operation, unlisted)
	}
}
