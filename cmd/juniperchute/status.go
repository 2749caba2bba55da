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

func statusCmd() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "status --addr ADDR",
		Short: "Show members, blocks, machines, teams and queues",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return ask(cmd, addr, func(ctx context.Context, c peerpb.AdminClient) error {
				s, err := c.Status(ctx, &peerpb.StatusRequest{})
				if err == nil {
					printStatus(cmd, s)
				}
				return err
			})
		},
	}
	addrFlag(cmd, &addr)
	return cmd
}

func printStatus(cmd *cobra.Command, s *peerpb.StatusReply) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "asked\t%s\nleader\t%s\nmembers\t%v\n", s.Member, s.Leader, s.Members)
	for _, m := range s.Members {
		v := s.Versions[m]
		if v == "" {
			v = "not told, as before 0.2.0"
		}
		fmt.Fprintf(w, "version of %s\t%s\n", m, v)
	}
	for _, b := range s.Claims {
		fmt.Fprintf(w, "block %d\theld by %s\ttoken %d\n", b.Shard, b.Holder, b.Token)
	}
	for _, b := range s.Shards {
		fmt.Fprintf(w, "\nblock %d\t%s\n", b.Shard, b.State)
		fmt.Fprintln(w, "machine\ttype\tzone\tspot\tstate\ttasks\tnotes")
		for _, m := range b.Machines {
			notes := ""
			if m.Quarantined {
				notes += "faulty "
			}
			if m.PreemptionNotice {
				notes += "recalled"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%d\t%s\n", m.Host, m.Type, m.Zone, m.Spot, m.State, m.Tasks, notes)
		}
		fmt.Fprintln(w, "\nteam\tcpus\tof\tgpus\tof")
		for _, t := range b.Teams {
			fmt.Fprintf(w, "%s\t%g\t%g\t%g\t%g\n", t.Name, t.CpusUsed, t.CpusMax, t.GpusUsed, t.GpusMax)
		}
		fmt.Fprintln(w, "\nservice\tclass\tteam\treplicas wanted\trunning\ton machines\twaits for")
		for _, j := range b.Jobs {
			if j.Shape == wire.ShapeService {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.Id, j.Class, j.Team, j.Tasks, j.Running, j.OnMachines, j.WaitsFor)
			}
		}
		fmt.Fprintln(w, "\njob\tclass\tteam\tpriority\ttasks\tdone\ton machines\twaits for")
		for _, j := range b.Jobs {
			if j.Shape == wire.ShapeService {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.Id, j.Class, j.Team, j.Priority, j.Tasks, j.Done, j.OnMachines, j.WaitsFor)
		}
		fmt.Fprintln(w)
		for _, k := range sorted(b.Counters) {
			fmt.Fprintf(w, "%s\t%d\n", k, b.Counters[k])
		}
	}
}

func sorted[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
