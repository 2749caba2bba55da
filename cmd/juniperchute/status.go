package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

func newStatusCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "status --addr ADDR",
		Short: "Show members and lease holders, and a shard's machines, teams and jobs",
		Long: "status shows the members of the deployment, their versions and each shard's lease holder. Of its own\n" +
			"shards a lease holder also shows machines, teams, services, jobs and counters: ask that controller.",
		Example: "  juniperchute status --addr 10.0.0.1:8081",
		Args:    cobra.NoArgs,
		RunE:    adminCommand(&address, getStatus, printStatus),
	}
	addAddressFlag(command, &address)
	return command
}

func getStatus(ctx context.Context, client peerpb.AdminClient, _ []string) (*peerpb.StatusReply, error) {
	return client.Status(ctx, &peerpb.StatusRequest{})
}

func printStatus(out io.Writer, reply *peerpb.StatusReply) {
	fmt.Fprintf(out, "Controller %s answers. ", reply.Member)
	if reply.Leader == "" {
		fmt.Fprintln(out, "It knows of no leader: shards without a lease holder get none until one is elected.")
	} else {
		fmt.Fprintf(out, "The leader is %s.\n", reply.Leader)
	}
	printMembership(out, reply.Membership)
	printMembers(out, reply)
	printLeaseHolders(out, reply)
	for _, shard := range reply.Shards {
		printShardStatus(out, reply.Member, shard)
	}
	if len(reply.Shards) == 0 {
		fmt.Fprintf(out, "\n%s holds no lease: ask a lease holder for its machines, teams and jobs.\n", reply.Member)
	}
}

func printShardStatus(out io.Writer, member string, shard *peerpb.ShardStatus) {
	fmt.Fprintf(out, "\nShard %d: %s holds the lease and %s%s.\n", shard.Shard, member, describeTerm(shard.State),
		formatElapsed(shard.StateAgeMs))
	for _, wait := range shard.Waits {
		fmt.Fprintf(out, "It waits for %s%s.\n", wait.Reason, formatElapsed(wait.AgeMs))
	}
	printMachines(out, shard.Machines)
	printTeams(out, shard.Teams)
	services, jobs := splitJobs(shard.Jobs)
	printServices(out, services)
	printJobs(out, jobs)
	if len(shard.Jobs) == tuning.MaxStatusJobs {
		fmt.Fprintf(out, "Only the first %d open jobs and services are shown.\n", tuning.MaxStatusJobs)
	}
	printCounters(out, shard.Counters)
}

// printMembership prints the membership of the controller that replies. Releases before this message report none.
func printMembership(out io.Writer, membership *peerpb.MembershipStatus) {
	if membership == nil {
		return
	}
	lease := "its lease is valid"
	if !membership.LeaseValid {
		lease = "it has no valid lease, and neither leads nor serves a shard"
	}
	contact := "the state service has not responded yet"
	if membership.StateContactAgeMs >= 0 {
		contact = fmt.Sprintf("the state service responded %s ago", formatAge(membership.StateContactAgeMs))
	}
	fmt.Fprintf(out, "Its membership is in the state %q%s; %s; %s.\n", membership.State,
		formatElapsed(membership.StateAgeMs), lease, contact)
}

// formatElapsed returns the end of a sentence that says for how long something has been the case. It is empty
// for an unknown age.
func formatElapsed(ageMs int64) string {
	if ageMs <= 0 {
		return ""
	}
	return fmt.Sprintf(", for %s now", formatAge(ageMs))
}

func printMembers(out io.Writer, reply *peerpb.StatusReply) {
	table := newTable(out)
	defer table.Flush()
	fmt.Fprintln(table, "\nmember\tversion")
	for _, member := range reply.Members {
		version := reply.Versions[member]
		if version == "" {
			version = "not reported: older than 0.2.0, or no heartbeat of it arrives"
		}
		fmt.Fprintf(table, "%s\t%s\n", member, version)
	}
}

func printLeaseHolders(out io.Writer, reply *peerpb.StatusReply) {
	table := newTable(out)
	defer table.Flush()
	fmt.Fprintln(table, "\nshard\tlease holder\ttoken")
	for _, claim := range reply.Claims {
		fmt.Fprintf(table, "%d\t%s\t%d\n", claim.Shard, claim.Holder, claim.Token)
	}
}

// machineStates maps the machine states whose names in the administration API need an explanation to
// that explanation.
var machineStates = map[string]string{
	"unheard": "unreconciled: its worker has not answered this term",
	"silent":  "unresponsive: its heartbeat is late",
	"lapsed":  "its worker's lease has expired",
	"gone":    "deleted",
}

func printMachines(out io.Writer, machines []*peerpb.Machine) {
	table := newTable(out)
	defer table.Flush()
	fmt.Fprintln(table, "\nmachine\ttype\tzone\tspot\tstate\ttasks\tnotes")
	for _, machine := range machines {
		var notes []string
		if text, ok := machineStates[machine.State]; ok {
			notes = append(notes, text)
		}
		if machine.Quarantined {
			notes = append(notes, "quarantined: tasks of several jobs failed on it")
		}
		if machine.PreemptionNotice {
			notes = append(notes, "preemption notice from the cloud")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\t%d\t%s\n", machine.Host, machine.Type, machine.Zone, machine.Spot,
			machine.State, machine.Tasks, strings.Join(notes, "; "))
	}
}

func printTeams(out io.Writer, teams []*peerpb.Team) {
	table := newTable(out)
	defer table.Flush()
	fmt.Fprintln(table, "\nteam\tcpus used\tlimit\tgpus used\tlimit")
	for _, team := range teams {
		fmt.Fprintf(table, "%s\t%g\t%s\t%g\t%s\n",
			team.Name, team.CpusUsed, formatLimit(team.CpusMax), team.GpusUsed, formatLimit(team.GpusMax))
	}
}

// formatLimit formats a team's limit. 0 means no limit.
func formatLimit(limit float64) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprintf("%g", limit)
}

// splitJobs separates services from jobs that run to completion.
func splitJobs(all []*peerpb.Job) (services, jobs []*peerpb.Job) {
	for _, job := range all {
		if job.Shape == wire.ShapeService {
			services = append(services, job)
		} else {
			jobs = append(jobs, job)
		}
	}
	return services, jobs
}

func printServices(out io.Writer, services []*peerpb.Job) {
	table := newTable(out)
	defer table.Flush()
	fmt.Fprintln(table, "\nservice\tclass\tteam\treplicas wanted\trunning\ton machines\twaits for")
	for _, service := range services {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", service.Id, service.Class, service.Team,
			service.Tasks, service.Running, service.OnMachines, service.WaitsFor)
	}
}

func printJobs(out io.Writer, jobs []*peerpb.Job) {
	table := newTable(out)
	defer table.Flush()
	fmt.Fprintln(table, "\njob\tclass\tteam\tpriority\ttasks\tcompleted\ton machines\twaits for")
	for _, job := range jobs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", job.Id, job.Class, job.Team, job.Priority,
			job.Tasks, job.Done, job.OnMachines, job.WaitsFor)
	}
}

func printCounters(out io.Writer, counters map[string]int64) {
	fmt.Fprintln(out, "\nCounters of tasks (mains: primary copies, spares: backup copies), and call times in ms:")
	table := newTable(out)
	defer table.Flush()
	fmt.Fprintln(table, "counter\tvalue")
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		fmt.Fprintf(table, "%s\t%d\n", name, counters[name])
	}
}
