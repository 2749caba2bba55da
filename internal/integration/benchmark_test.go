package integration

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/clock"
	"juniperchute/internal/config"
	"juniperchute/internal/controller"
	"juniperchute/internal/featuregate"
	"juniperchute/internal/standin"
)

// Variables of the environment of benchmarks.
const (
	controllerEnv = "INTEGRATION_CONTROLLER" // a settings file: this process is a controller
	switchesEnv   = "INTEGRATION_SWITCHES"   // a file of switches for that controller
	profileEnv    = "INTEGRATION_PROFILE"    // a prefix of the names of profiles
)

// profileRate is how many samples a second a processor profile takes.
const profileRate = 1000

// runController is a controller's process of a benchmark, which may write profiles.
func runController(file string) error {
	settings, err := config.Load(file)
	if err != nil {
		return err
	}
	controller.LimitProcess(settings.Platform.MachineLimits)
	if prefix := os.Getenv(profileEnv); prefix != "" {
		stop, err := startProfile(prefix + "-" + settings.Member)
		if err != nil {
			return err
		}
		defer stop()
	}
	rng := rand.New(rand.NewPCG(1, uint64(os.Getpid())))
	var features featuregate.Gates
	if file := os.Getenv(switchesEnv); file != "" {
		if features, err = featuregate.Load(file); err != nil {
			return err
		}
	}
	options, finish, err := controller.NewOptions(features, settings.Member, rng)
	if err != nil {
		return err
	}
	defer finish()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("member", settings.Member)
	return controller.NewRuntime(settings, options, newJumpingClock(), log, rng).Run(ctx)
}

// newJumpingClock is a clock that a signal moves forward, as if the machine had slept.
func newJumpingClock() *clock.Clock {
	var jumps atomic.Int64
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			jumps.Add(1)
		}
	}()
	return clock.New(func() (time.Duration, error) { return time.Duration(jumps.Load()) * clockJump, nil })
}

// startProfile begins a processor profile; stop ends it and writes the allocations too.
func startProfile(prefix string) (stop func(), err error) {
	f, err := os.Create(prefix + ".cpu")
	if err != nil {
		return nil, err
	}
	runtime.SetCPUProfileRate(profileRate)
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
		if f, err := os.Create(prefix + ".mem"); err == nil {
			_ = pprof.Lookup("allocs").WriteTo(f, 0)
			f.Close()
		}
	}, nil
}

// leaseHolderName is the member that the records name as the block's holder; the lock is
// held.
func (d *deployment) leaseHolderName() string {
	var record struct{ Holder string }
	_ = json.Unmarshal(d.store.Keys["c/b/0"].Value, &record)
	return record.Holder
}

// currentToken is the token of the block's newest tenure; the lock is held.
func (d *deployment) currentToken() uint64 {
	var record struct{ Baton uint64 }
	_ = json.Unmarshal(d.store.Keys["c/b/0"].Value, &record)
	return record.Baton
}

// leaseHolder is the controller that holds the block, nil if there is none; the lock is held.
func (d *deployment) leaseHolder() *controllerProcess {
	if i := d.NodeIndex(d.leaseHolderName()); i >= 0 {
		return d.controllers[i]
	}
	return nil
}

// submitLoad has users submit a load's jobs: some at once, the rest at its rates.
func (d *deployment) submitLoad(load standin.Workload) {
	jobs := 0
	array := func() { d.submit(load.Array(jobs), load.RunTime); jobs++ }
	gang := func() { d.submit(load.Gang(jobs), load.RunTime); jobs++ }
	for range load.Machines / 4 {
		gang()
		array()
	}
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		const every = 100 * time.Millisecond
		dueArrays, dueGangs := 0.0, 0.0
		for d.ctx.Err() == nil {
			d.sleep(every)
			dueArrays += load.ArraysPerS * every.Seconds()
			dueGangs += load.GangsPerS * every.Seconds()
			for ; dueArrays >= 1; dueArrays-- {
				array()
			}
			for ; dueGangs >= 1; dueGangs-- {
				gang()
			}
		}
	}()
}

// BenchmarkDeployment measures what a deployment's controllers cost, at the sizes of the
// lean deployments: of a start, of a steady load, and of a crash of the holder.
//
//	INTEGRATION_PROFILE=/tmp/p go test ./internal/integration -run XXX -bench Deployment
//
// writes the profiles of each controller.
func BenchmarkDeployment(b *testing.B) {
	for _, load := range standin.LeanWorkloads() {
		b.Run(load.Name, func(b *testing.B) {
			for range b.N {
				benchmarkDeployment(b, load)
			}
		})
	}
}

func benchmarkDeployment(b *testing.B, load standin.Workload) {
	const settle, span = 15 * time.Second, 15 * time.Second
	d := newDeployment(b, load.Config(), standin.LargeMachineType(), load.Machines)
	for _, n := range d.controllers {
		n.start(func(settings string) *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), controllerEnv+"="+settings)
			return cmd
		})
	}
	var holder *controllerProcess
	d.waitUntil("a holder", func() bool { holder = d.leaseHolder(); return holder != nil })
	time.Sleep(time.Second)
	for _, n := range d.controllers {
		if n != holder {
			b.ReportMetric(float64(n.cpuTime().Milliseconds()), "ms/start")
		}
	}
	d.submitLoad(load)
	d.waitUntil("the fleet", func() bool { return len(d.cluster.Workers) >= load.Machines*9/10 })
	time.Sleep(settle)
	d.withLock(func() { holder = d.leaseHolder() })
	measureSteady(b, d, holder, span)
	measureFailover(b, d, holder)
}

// measureSteady measures a time of steady load.
func measureSteady(b *testing.B, d *deployment, holder *controllerProcess, span time.Duration) {
	before := map[*controllerProcess]time.Duration{}
	for _, n := range d.controllers {
		before[n] = n.cpuTime()
	}
	var reports heartbeatStats
	d.withLock(func() { reports = d.heartbeats })
	time.Sleep(span)
	others := time.Duration(0)
	for _, n := range d.controllers {
		if n != holder {
			others += (n.cpuTime() - before[n]) / time.Duration(len(d.controllers)-1)
		}
	}
	perSecond := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / span.Seconds() }
	b.ReportMetric(perSecond(holder.cpuTime()-before[holder]), "holder-ms/s")
	b.ReportMetric(perSecond(others), "others-ms/s")
	now, peak := holder.residentMB()
	b.ReportMetric(now, "holder-MB")
	b.ReportMetric(peak, "holder-most-MB")
	d.withLock(func() {
		sent := d.heartbeats.sent - reports.sent
		b.ReportMetric(float64(sent)/span.Seconds(), "reports/s")
		b.ReportMetric(float64((d.heartbeats.totalWait-reports.totalWait).Microseconds())/float64(max(1, sent)), "us/report-wait")
		b.Logf("%d machines, %d jobs, %d slow reports", len(d.cluster.Workers), len(d.cluster.Submitted), d.heartbeats.slow-reports.slow)
	})
}

// measureFailover measures what a crash of the holder costs its successor.
func measureFailover(b *testing.B, d *deployment, holder *controllerProcess) {
	const after = 2 * time.Second
	before := map[*controllerProcess]time.Duration{}
	for _, n := range d.controllers {
		before[n] = n.cpuTime()
	}
	crash := syscall.SIGKILL
	if os.Getenv(profileEnv) != "" {
		crash = syscall.SIGTERM // so that the profile is written
	}
	from := time.Now()
	holder.stop(crash)
	var next *controllerProcess
	d.waitUntil("another holder", func() bool { next = d.leaseHolder(); return next != nil && next != holder })
	took := time.Since(from)
	time.Sleep(after)
	b.ReportMetric(float64((next.cpuTime() - before[next]).Milliseconds()), "ms/takeover+2s")
	b.Logf("taken over %v after the crash", took)
}
