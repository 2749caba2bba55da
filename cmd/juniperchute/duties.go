package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"juniperchute/internal/peer/peerpb"
)

func newDutiesCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "duties --addr ADDR",
		Short: "Show which controller carries out each duty, and what is not settled",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return callAdmin(command, address, func(ctx context.Context, client peerpb.AdminClient) error {
				reply, err := client.Duties(ctx, &peerpb.IntentsRequest{})
				if err == nil {
					printOperations(command.OutOrStdout(), reply)
				}
				return err
			})
		},
	}
	addAddressFlag(command, &address)
	return command
}

// formatAge is an age in milliseconds as told, -1: not known.
func formatAge(ms int64) string {
	if ms < 0 {
		return "not known"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func printOperations(out io.Writer, reply *peerpb.IntentsReply) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer table.Flush()
	logState := "not in force: actions are not entered before they are sent"
	if reply.InForce {
		logState = "in force"
	}
	fmt.Fprintf(table, "asked\t%s\nlog of duties\t%s\nholders as of\t%s ago\nentries as of\t%s ago\n",
		reply.Member, logState, formatAge(reply.HoldersAgeMs), formatAge(reply.IntentsAgeMs))
	for _, shard := range reply.Shards {
		printShardOperations(table, shard)
	}
}

func printShardOperations(table io.Writer, shard *peerpb.ShardIntents) {
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
		since = time.UnixMilli(shard.AssignedAtMs).UTC().Format(time.DateTime) + " UTC"
	}
	fmt.Fprintf(table, "\nblock %d\theld by %s\nsince\t%s\ntoken\t%d\n", shard.Shard, holder, since, shard.Token)
	if shard.UnreadablePages > 0 {
		fmt.Fprintf(table, "pages of the log that cannot be read\t%d\n", shard.UnreadablePages)
	}
	fmt.Fprintln(table, "duty\tholder\tnot settled\toldest")
	for _, operation := range shard.Operations {
		oldest := "-"
		if len(operation.Intents) > 0 {
			oldest = formatAge(operation.Intents[0].AgeMs)
		}
		unsettled := operation.Pending + operation.RemovalsInFlight
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", operation.Operation, shard.Holder, unsettled, oldest)
	}
	for _, operation := range shard.Operations {
		for _, intent := range operation.Intents {
			fmt.Fprintf(table, "%s\t%s\t%s\tentered under token %d, %s ago\n", operation.Operation, intent.Target, intent.State, intent.Token, formatAge(intent.AgeMs))
		}
		if remaining := int(operation.Pending) - len(operation.Intents); remaining > 0 {
			fmt.Fprintf(table, "%s\tand %d more\n", operation.Operation, remaining)
		}
	}
}
