// Command juniperchute is a cluster scheduler's controller, and an operator's
// way to it.
package main

import (
	"context"
	"fmt"
	"sort"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/wire"
)

func newStatusCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "status --addr ADDR",
		Short: "Show members, blocks, machines, teams and queues",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return callAdmin(command, address, func(ctx context.Context, client peerpb.AdminClient) error {
				reply, err := client.Status(ctx, &peerpb.StatusRequest{})
				if err == nil {
					printStatus(command, reply)
				}
				return err
			})
		},
	}
	addAddressFlag(command, &address)
	return command
}

func printStatus(command *cobra.Command, reply *peerpb.StatusReply) {
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 4, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "asked\t%s\nleader\t%s\nmembers\t%v\n", reply.Member, reply.Leader, reply.Members)
	for _, m := range reply.Members {
		version := reply.Versions[m]
		if version == "" {
			version = "not told, as before 0.2.0"
		}
		fmt.Fprintf(table, "version of %s\t%s\n", m, version)
	}
	for _, shard := range reply.Claims {
		fmt.Fprintf(table, "block %d\theld by %s\ttoken %d\n", shard.Shard, shard.Holder, shard.Token)
	}
	for _, shard := range reply.Shards {
		fmt.Fprintf(table, "\nblock %d\t%s\n", shard.Shard, shard.State)
		fmt.Fprintln(table, "machine\ttype\tzone\tspot\tstate\ttasks\tnotes")
		for _, m := range shard.Machines {
			notes := ""
			if m.Quarantined {
				notes += "faulty "
			}
			if m.PreemptionNotice {
				notes += "recalled"
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%d\t%s\n", m.Host, m.Type, m.Zone, m.Spot, m.State, m.Tasks, notes)
		}
		fmt.Fprintln(table, "\nteam\tcpus\tof\tgpus\tof")
		for _, team := range shard.Teams {
			fmt.Fprintf(table, "%s\t%g\t%g\t%g\t%g\n", team.Name, team.CpusUsed, team.CpusMax, team.GpusUsed, team.GpusMax)
		}
		fmt.Fprintln(table, "\nservice\tclass\tteam\treplicas wanted\trunning\ton machines\twaits for")
		for _, job := range shard.Jobs {
			if job.Shape == wire.ShapeService {
				fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", job.Id, job.Class, job.Team, job.Tasks, job.Running, job.OnMachines, job.WaitsFor)
			}
		}
		fmt.Fprintln(table, "\njob\tclass\tteam\tpriority\ttasks\tdone\ton machines\twaits for")
		for _, job := range shard.Jobs {
			if job.Shape == wire.ShapeService {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", job.Id, job.Class, job.Team, job.Priority, job.Tasks, job.Done, job.OnMachines, job.WaitsFor)
		}
		fmt.Fprintln(table)
		for _, name := range sortedKeys(shard.Counters) {
			fmt.Fprintf(table, "%s\t%d\n", name, shard.Counters[name])
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
