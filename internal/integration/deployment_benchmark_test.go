package integration

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/fakes"
)

// Times of a measured deployment.
const (
	settleTime     = 15 * time.Second // from a full fleet to the measurement
	steadyTime     = 15 * time.Second // of the measurement of a steady load
	afterFailover  = 2 * time.Second  // from a failover to the end of its measurement
	submitInterval = 100 * time.Millisecond
)

// BenchmarkDeployment measures what a deployment's controllers cost, at the sizes of the
// lean deployments: of a start, of a steady load, and of a crash of the lease holder.
//
//	INTEGRATION_PROFILE=PREFIX go test ./internal/integration -run XXX -bench Deployment
//
// writes the profiles of each controller.
func BenchmarkDeployment(b *testing.B) {
	for _, workload := range fakes.SmallWorkloads() {
		b.Run(workload.Name, func(b *testing.B) {
			for range b.N {
				benchmarkDeployment(b, workload)
			}
		})
	}
}

func benchmarkDeployment(b *testing.B, workload fakes.Workload) {
	d := newDeployment(b, workload.Config(), fakes.LargeMachineType(), workload.Machines)
	for _, controller := range d.controllers {
		controller.start(func(settingsFile string) *exec.Cmd { return controllerCommand(settingsFile) })
	}
	var holder *controllerProcess
	d.waitUntil("a lease holder", func() bool {
		holder = d.leaseHolder()
		return holder != nil
	})
	time.Sleep(time.Second)
	for _, controller := range d.controllers {
		if controller != holder {
			b.ReportMetric(float64(controller.cpuTime().Milliseconds()), "ms/start")
		}
	}
	d.submitWorkload(workload)
	d.waitUntil("the fleet", func() bool { return len(d.cluster.Workers) >= workload.Machines*9/10 })
	time.Sleep(settleTime)
	d.withLock(func() { holder = d.leaseHolder() })
	measureSteady(b, d, holder)
	measureFailover(b, d, holder)
}

// submitWorkload has users submit a workload's jobs: some at once, the rest at its rates.
func (d *deployment) submitWorkload(workload fakes.Workload) {
	jobs := 0
	submitArray := func() {
		d.submit(workload.Array(jobs), workload.RunTime)
		jobs++
	}
	submitGang := func() {
		d.submit(workload.Gang(jobs), workload.RunTime)
		jobs++
	}
	for range workload.Machines / 4 {
		submitGang()
		submitArray()
	}
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		dueArrays, dueGangs := 0.0, 0.0
		for d.ctx.Err() == nil {
			d.sleep(submitInterval)
			dueArrays += workload.ArraysPerS * submitInterval.Seconds()
			dueGangs += workload.GangsPerS * submitInterval.Seconds()
			for ; dueArrays >= 1; dueArrays-- {
				submitArray()
			}
			for ; dueGangs >= 1; dueGangs-- {
				submitGang()
			}
		}
	}()
}

// cpuTimes is the processor time that each controller has taken so far.
func (d *deployment) cpuTimes() map[*controllerProcess]time.Duration {
	times := map[*controllerProcess]time.Duration{}
	for _, controller := range d.controllers {
		times[controller] = controller.cpuTime()
	}
	return times
}

// measureSteady measures a time of steady load.
func measureSteady(b *testing.B, d *deployment, holder *controllerProcess) {
	before := d.cpuTimes()
	var heartbeats heartbeatStats
	d.withLock(func() { heartbeats = d.heartbeats })
	time.Sleep(steadyTime)
	others := time.Duration(0)
	for _, controller := range d.controllers {
		if controller != holder {
			others += (controller.cpuTime() - before[controller]) / time.Duration(len(d.controllers)-1)
		}
	}
	b.ReportMetric(millisecondsPerSecond(holder.cpuTime()-before[holder]), "holder-ms/s")
	b.ReportMetric(millisecondsPerSecond(others), "others-ms/s")
	now, peak := holder.residentMB()
	b.ReportMetric(now, "holder-MB")
	b.ReportMetric(peak, "holder-most-MB")
	d.withLock(func() {
		sent := d.heartbeats.sent - heartbeats.sent
		wait := (d.heartbeats.totalWait - heartbeats.totalWait).Microseconds()
		b.ReportMetric(float64(sent)/steadyTime.Seconds(), "heartbeats/s")
		b.ReportMetric(float64(wait)/float64(max(1, sent)), "us/heartbeat-wait")
		b.Logf("%d machines, %d jobs, %d slow heartbeats",
			len(d.cluster.Workers), len(d.cluster.Submitted), d.heartbeats.slow-heartbeats.slow)
	})
}

// millisecondsPerSecond is the share of the steady time that a processor time is.
func millisecondsPerSecond(cpuTime time.Duration) float64 {
	return float64(cpuTime.Microseconds()) / 1000 / steadyTime.Seconds()
}

// measureFailover measures what a crash of the lease holder costs its successor.
func measureFailover(b *testing.B, d *deployment, holder *controllerProcess) {
	before := d.cpuTimes()
	crash := syscall.SIGKILL
	if os.Getenv(profileEnv) != "" {
		crash = syscall.SIGTERM // so that the profile is written
	}
	from := time.Now()
	holder.stop(crash)
	var next *controllerProcess
	d.waitUntil("another lease holder", func() bool {
		next = d.leaseHolder()
		return next != nil && next != holder
	})
	elapsed := time.Since(from)
	time.Sleep(afterFailover)
	b.ReportMetric(float64((next.cpuTime() - before[next]).Milliseconds()), "ms/takeover+2s")
	b.Logf("failover %v after the crash", elapsed)
}
