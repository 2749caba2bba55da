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

func dutiesCmd() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "duties --addr ADDR",
		Short: "Show which controller carries out each duty, and what is not settled",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return ask(cmd, addr, func(ctx context.Context, c peerpb.AdminClient) error {
				d, err := c.Duties(ctx, &peerpb.IntentsRequest{})
				if err == nil {
					printDuties(cmd.OutOrStdout(), d)
				}
				return err
			})
		},
	}
	addrFlag(cmd, &addr)
	return cmd
}

// ageText is an age in milliseconds as told, -1: not known.
func ageText(ms int64) string {
	if ms < 0 {
		return "not known"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func printDuties(out io.Writer, d *peerpb.IntentsReply) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	log := "not in force: actions are not entered before they are sent"
	if d.InForce {
		log = "in force"
	}
	fmt.Fprintf(w, "asked\t%s\nlog of duties\t%s\nholders as of\t%s ago\nentries as of\t%s ago\n",
		d.Member, log, ageText(d.HoldersAgeMs), ageText(d.EntriesAgeMs))
	for _, b := range d.Shards {
		printBlockDuties(w, b)
	}
}

func printBlockDuties(w io.Writer, b *peerpb.ShardIntents) {
	holder := b.Holder
	switch {
	case holder == "":
		holder = "nobody: a takeover is going on"
	case !b.Live:
		holder += ", which is not a live member: a takeover is going on"
	case b.State != "" && b.State != "open":
		holder += ", still taking over (" + b.State + ")"
	}
	since := "not told"
	if b.SinceMs != 0 {
		since = time.UnixMilli(b.SinceMs).UTC().Format(time.DateTime) + " UTC"
	}
	fmt.Fprintf(w, "\nblock %d\theld by %s\nsince\t%s\ntoken\t%d\n", b.Shard, holder, since, b.Token)
	if b.UnreadablePages > 0 {
		fmt.Fprintf(w, "pages of the log that cannot be read\t%d\n", b.UnreadablePages)
	}
	fmt.Fprintln(w, "duty\tholder\tnot settled\toldest")
	for _, s := range b.Operations {
		oldest := "-"
		if len(s.Intents) > 0 {
			oldest = ageText(s.Intents[0].AgeMs)
		}
		unsettled := s.Pending + s.RemovalsInFlight
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", s.Operation, b.Holder, unsettled, oldest)
	}
	for _, s := range b.Operations {
		for _, a := range s.Intents {
			fmt.Fprintf(w, "%s\t%s\t%s\tentered under token %d, %s ago\n", s.Operation, a.Target, a.State, a.Token, ageText(a.AgeMs))
		}
		if left := int(s.Pending) - len(s.Intents); left > 0 {
			fmt.Fprintf(w, "%s\tand %d more\n", s.Operation, left)
		}
	}
}
