package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/tracing"
)

func newTraceCommand() *cobra.Command {
	var filter traceFilter
	command := &cobra.Command{
		Use:   "trace FILE...",
		Short: "Show the course of cloud operations, from the traces of several controllers",
		Long: "trace joins the traces of several controllers and shows for each operation who decided it,\n" +
			"recorded it, called the cloud, recovered it after a failover and completed it. Each file is\n" +
			"read with the one that was rotated before it (FILE.1).\n\n" +
			"The first line of an operation and its steps keep the names of earlier versions, for scripts:\n" +
			"block = shard, settled = completed, entered = recorded, takes over = recovers.",
		Example: "  juniperchute trace node-0.json node-1.json node-2.json\n" +
			"  juniperchute trace --taken-over --target i-000010 node-0.json node-1.json",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			spans, err := tracing.Read(args...)
			if err != nil {
				return err
			}
			return printTrace(command.OutOrStdout(), intentlog.Histories(spans), filter)
		},
	}
	command.Flags().StringVar(&filter.target, "target", "", "show one machine or provisioning request only")
	command.Flags().BoolVar(&filter.failedOver, "taken-over", false, "show only operations that a successor recovered")
	command.Flags().BoolVar(&filter.incomplete, "unsettled", false,
		"show only operations whose completion is not in the traces")
	return command
}

// traceFilter selects operations. The zero value selects all.
type traceFilter struct {
	target     string // "": any
	failedOver bool   // only operations that a successor recovered after a failover
	incomplete bool
}

func (f traceFilter) matches(history intentlog.History) bool {
	switch {
	case f.target != "" && f.target != history.Target:
		return false
	case f.failedOver && !history.FailedOver:
		return false
	case f.incomplete && history.Completed:
		return false
	}
	return true
}

func printTrace(out io.Writer, histories []intentlog.History, filter traceFilter) error {
	shown := 0
	for _, history := range histories {
		if !filter.matches(history) {
			continue
		}
		if shown++; shown > 1 {
			fmt.Fprintln(out)
		}
		printHistory(out, history)
	}
	if shown == 0 {
		return fmt.Errorf("none of the %d operations in these traces matches the flags", len(histories))
	}
	return nil
}

func printHistory(out io.Writer, history intentlog.History) {
	end := "not settled in these traces"
	if history.Completed {
		end = "settled"
	}
	fmt.Fprintf(out, "%s %s, block %s: %s, %v in all\n", history.Operation, history.Target, history.Shard,
		end, formatDuration(history))
	fmt.Fprintf(out, "Shard %s, %s, target %s: %s.\n", history.Shard, describeOperation(history.Operation),
		history.Target, describeProgress(history))
	table := newTable(out)
	defer table.Flush()
	for _, step := range history.Steps {
		fmt.Fprintf(table, "  %s\t%s\ttoken %s\t%s\n",
			step.At.UTC().Format("15:04:05.000"), step.Member, step.Token, step.Text)
	}
}

// describeProgress returns a clause on the members that handled an operation and on its completion.
func describeProgress(history intentlog.History) string {
	if len(history.Steps) == 0 {
		return "no step of it is in these traces"
	}
	first, last := history.Steps[0], history.Steps[len(history.Steps)-1]
	text := "first handled by " + describeHandler(first)
	if history.FailedOver {
		text += ", then recovered after a failover"
	}
	if history.Completed {
		return text + fmt.Sprintf(", and completed by %s after %v", describeHandler(last), formatDuration(history))
	}
	return text + fmt.Sprintf("; its completion is not in these traces, which end %v later with %s",
		formatDuration(history), describeHandler(last))
}

func describeHandler(step intentlog.Step) string {
	return fmt.Sprintf("%s under token %s", step.Member, step.Token)
}

func formatDuration(history intentlog.History) string {
	return history.Duration().Round(time.Millisecond).String()
}
