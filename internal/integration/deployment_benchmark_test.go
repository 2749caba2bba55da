package integration

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/fakes"
)

// Durations of the phases of BenchmarkDeployment.
const (
	settleTime       = 15 * time.Second // from the full fleet to the first measurement
	steadyTime       = 15 * time.Second // length of the measurement under steady load
	postFailoverTime = 2 * time.Second  // from the failover to the end of its measurement
	submitInterval   = 100 * time.Millisecond
)

// BenchmarkDeployment measures the CPU time and memory of the controllers of the small workloads: at
// startup, under steady load, and during a failover after a crash of the lease holder.
//
//	INTEGRATION_PROFILE=PREFIX go test ./internal/integration -run XXX -bench Deployment
//
// also writes CPU and allocation profiles of each controller.
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
	measureSteadyLoad(b, d, holder)
	measureFailover(b, d, holder)
}

// submitWorkload submits an initial batch of a workload's jobs, then further jobs at its rates.
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

// cpuTimes returns the CPU time that each controller has used.
func (d *deployment) cpuTimes() map[*controllerProcess]time.Duration {
	times := map[*controllerProcess]time.Duration{}
	for _, controller := range d.controllers {
		times[controller] = controller.cpuTime()
	}
	return times
}

// measureSteadyLoad reports CPU time, memory and heartbeat latency under steady load.
func measureSteadyLoad(b *testing.B, d *deployment, holder *controllerProcess) {
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

// millisecondsPerSecond returns a CPU time per second of steadyTime.
func millisecondsPerSecond(cpuTime time.Duration) float64 {
	return float64(cpuTime.Microseconds()) / 1000 / steadyTime.Seconds()
}

// measureFailover reports the CPU time of the new lease holder after a crash of the old one.
func measureFailover(b *testing.B, d *deployment, holder *controllerProcess) {
	before := d.cpuTimes()
	crash := syscall.SIGKILL
	if os.Getenv(profileEnv) != "" {
		crash = syscall.SIGTERM // a clean exit writes the profile
	}
	from := time.Now()
	holder.stop(crash)
	var next *controllerProcess
	d.waitUntil("another lease holder", func() bool {
		next = d.leaseHolder()
		return next != nil && next != holder
	})
	elapsed := time.Since(from)
	time.Sleep(postFailoverTime)
	b.ReportMetric(float64((next.cpuTime() - before[next]).Milliseconds()), "ms/takeover+2s")
	b.Logf("failover %v after the crash", elapsed)
}
