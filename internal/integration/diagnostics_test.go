package integration

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
)

const (
	// diagnosticCallTimeout bounds each request for a controller's own state. A frozen one does not reply.
	diagnosticCallTimeout = 2 * time.Second
	// diagnosticLogLines is the number of the latest log lines that are printed of each controller.
	diagnosticLogLines = 40
)

// logDiagnostics logs the state of the deployment, for a test that has waited in vain. The lock must
// not be held.
func (d *deployment) logDiagnostics() {
	d.tb.Helper()
	var out strings.Builder
	d.withLock(func() {
		d.describeRecords(&out)
		d.describeJobs(&out)
		d.describeMachines(&out)
	})
	fmt.Fprintf(&out, "call gate: %s\n", d.gate.describe())
	for _, controller := range d.controllers {
		controller.describe(&out)
	}
	d.tb.Logf("state of the deployment at %s:\n%s", time.Now().Format(time.RFC3339Nano), out.String())
}

// describeRecords writes the control records, provisioning requests and pages of the intent log, and
// which leases are live; the lock must be held.
func (d *deployment) describeRecords(out *strings.Builder) {
	fmt.Fprintf(out, "revision %d, live leases %v\n", d.store.Revision, d.store.LiveLeases())
	prefixes := []string{"c/", fleet.ProvisioningPrefix, intentlog.Prefix}
	for _, key := range slices.Sorted(maps.Keys(d.store.Keys)) {
		if slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) }) {
			item := d.store.Keys[key]
			fmt.Fprintf(out, "%s version %d lease %d: %s\n", key, item.Version, item.Lease, item.Value)
		}
	}
}

// describeJobs writes the number of jobs and those that have not ended; the lock must be held.
func (d *deployment) describeJobs(out *strings.Builder) {
	accepted, open := 0, 0
	for _, job := range d.cluster.Submitted {
		if job.Accepted {
			accepted++
		}
		if !job.Ended() {
			open++
			fmt.Fprintf(out, "open job %s: accepted %t, known state %q, completed on workers %t, last response %s\n",
				job.Spec.ID, job.Accepted, job.KnownState, job.Complete(), job.LastResponseAt.Format(time.TimeOnly))
		}
	}
	fmt.Fprintf(out, "jobs: %d submitted, %d accepted, %d not ended\n", len(d.cluster.Submitted), accepted, open)
}

// describeMachines writes the machines and the remaining capacity of the cloud; the lock must be held.
func (d *deployment) describeMachines(out *strings.Builder) {
	for _, id := range slices.Sorted(maps.Keys(d.cloud.Hosts)) {
		host := d.cloud.Hosts[id]
		fmt.Fprintf(out, "machine %s: %s, created at %s", id, host.State, host.CreatedAt.Format(time.TimeOnly))
		if worker := d.cluster.Workers[id]; worker != nil {
			fmt.Fprintf(out, ", %d tasks listed", len(worker.Tasks))
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "machines: %d, created so far %d, capacity left %v\n",
		len(d.cloud.Hosts), d.cloud.Created, d.cloud.Available)
}

// describe writes the state of the process, its own view of the cluster and its latest log lines.
func (p *controllerProcess) describe(out *strings.Builder) {
	fmt.Fprintf(out, "--- %s: ", p.config.Member)
	if p.command == nil {
		fmt.Fprintln(out, "no process")
		return
	}
	fmt.Fprintf(out, "process %d, %s\n", p.command.Process.Pid, processState(p.command.Process.Pid))
	fmt.Fprintf(out, "status: %s\n", p.ownStatus())
	lines := strings.Split(strings.TrimSpace(p.readLog()), "\n")
	for _, line := range lines[max(0, len(lines)-diagnosticLogLines):] {
		fmt.Fprintln(out, line)
	}
}

// processState returns the state that the kernel reports for a process: "T (stopped)" if it is frozen.
func processState(pid int) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return "exited"
	}
	for line := range strings.Lines(string(raw)) {
		if state, ok := strings.CutPrefix(line, "State:"); ok {
			return strings.TrimSpace(state)
		}
	}
	return "unknown"
}

// ownStatus returns the reply of the controller's administration API, or the error.
func (p *controllerProcess) ownStatus() string {
	connection, err := peer.NewConnection(p.config.PeerBind)
	if err != nil {
		return err.Error()
	}
	defer connection.Close()
	ctx, cancel := context.WithTimeout(context.Background(), diagnosticCallTimeout)
	defer cancel()
	reply, err := peerpb.NewAdminClient(connection).Status(ctx, &peerpb.StatusRequest{})
	if err != nil {
		return err.Error()
	}
	return protojson.Format(reply)
}

// readLog returns the log of the controller's processes so far.
func (p *controllerProcess) readLog() string {
	raw, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
