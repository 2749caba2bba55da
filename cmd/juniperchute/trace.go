package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/tracing"
)

// traceFilter tells which actions of a trace are shown.
type traceFilter struct {
	target    string
	takenOver bool
	unsettled bool
}

func (f traceFilter) shows(h intentlog.History) bool {
	return (f.target == "" || f.target == h.Target) && (!f.takenOver || h.FailedOver) && (!f.unsettled || !h.Completed)
}

func traceCmd() *cobra.Command {
	var filter traceFilter
	cmd := &cobra.Command{
		Use:   "trace FILE...",
		Short: "Show what became of actions, from the traces of several controllers",
		Long: "trace puts the traces of several controllers together and tells, action by action, who decided on it,\n" +
			"entered it, called the cloud and settled it. Each file is read with the one before it (FILE.1).",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			spans, err := tracing.Read(args...)
			if err != nil {
				return err
			}
			return printTrace(cmd.OutOrStdout(), intentlog.Histories(spans), filter)
		},
	}
	cmd.Flags().StringVar(&filter.target, "target", "", "show one rental or machine only")
	cmd.Flags().BoolVar(&filter.takenOver, "taken-over", false, "show only what a successor took over")
	cmd.Flags().BoolVar(&filter.unsettled, "unsettled", false, "show only what is not settled in the traces")
	return cmd
}

func printTrace(out io.Writer, histories []intentlog.History, filter traceFilter) error {
	shown := 0
	for _, h := range histories {
		if !filter.shows(h) {
			continue
		}
		if shown++; shown > 1 {
			fmt.Fprintln(out)
		}
		printHistory(out, h)
	}
	if shown == 0 {
		return fmt.Errorf("none of the %d actions in these traces is asked for", len(histories))
	}
	return nil
}

func printHistory(out io.Writer, h intentlog.History) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	end := "not settled in these traces"
	if h.Completed {
		end = "settled"
	}
	fmt.Fprintf(w, "%s %s, block %s: %s, %v in all\n", h.Operation, h.Target, h.Shard, end, h.Duration().Round(time.Millisecond))
	for _, s := range h.Steps {
		fmt.Fprintf(w, "  %s\t%s\ttoken %s\t%s\n", s.At.UTC().Format("15:04:05.000"), s.Member, s.Token, s.Text)
	}
}
