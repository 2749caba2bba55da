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
	recovered bool
	incomplete bool
}

func (f traceFilter) shows(history intentlog.History) bool {
	return (f.target == "" || f.target == history.Target) && (!f.recovered || history.FailedOver) && (!f.incomplete || !history.Completed)
}

func newTraceCommand() *cobra.Command {
	var filter traceFilter
	command := &cobra.Command{
		Use:   "trace FILE...",
		Short: "Show what became of actions, from the traces of several controllers",
		Long: "trace puts the traces of several controllers together and tells, action by action, who decided on it,\n" +
			"entered it, called the cloud and settled it. Each file is read with the one before it (FILE.1).",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			spans, err := tracing.Read(args...)
			if err != nil {
				return err
			}
			return printTrace(command.OutOrStdout(), intentlog.Histories(spans), filter)
		},
	}
	command.Flags().StringVar(&filter.target, "target", "", "show one rental or machine only")
	command.Flags().BoolVar(&filter.recovered, "taken-over", false, "show only what a successor took over")
	command.Flags().BoolVar(&filter.incomplete, "unsettled", false, "show only what is not settled in the traces")
	return command
}

func printTrace(out io.Writer, histories []intentlog.History, filter traceFilter) error {
	shown := 0
	for _, history := range histories {
		if !filter.shows(history) {
			continue
		}
		if shown++; shown > 1 {
			fmt.Fprintln(out)
		}
		printHistory(out, history)
	}
	if shown == 0 {
		return fmt.Errorf("none of the %d actions in these traces is asked for", len(histories))
	}
	return nil
}

func printHistory(out io.Writer, history intentlog.History) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer table.Flush()
	end := "not settled in these traces"
	if history.Completed {
		end = "settled"
	}
	fmt.Fprintf(table, "%s %s, block %s: %s, %v in all\n", history.Operation, history.Target, history.Shard, end, history.Duration().Round(time.Millisecond))
	for _, step := range history.Steps {
		fmt.Fprintf(table, "  %s\t%s\ttoken %s\t%s\n", step.At.UTC().Format("15:04:05.000"), step.Member, step.Token, step.Text)
	}
}
