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
	controllerVariable = "INTEGRATION_CONTROLLER" // a settings file: this process is a controller
	switchesVariable   = "INTEGRATION_SWITCHES"   // a file of switches for that controller
	profileVariable    = "INTEGRATION_PROFILE"    // a prefix of the names of profiles
)

// profileRate is how many samples a second a processor profile takes.
const profileRate = 1000

// serveController is a controller's process of a benchmark, which may write profiles.
func serveController(file string) error {
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	controller.LimitProcess(cfg.Platform.MachineLimits)
	if prefix := os.Getenv(profileVariable); prefix != "" {
		stop, err := profile(prefix + "-" + cfg.Member)
		if err != nil {
			return err
		}
		defer stop()
	}
	rng := rand.New(rand.NewPCG(1, uint64(os.Getpid())))
	var on featuregate.Gates
	if file := os.Getenv(switchesVariable); file != "" {
		if on, err = featuregate.Load(file); err != nil {
			return err
		}
	}
	options, finish, err := controller.NewOptions(on, cfg.Member, rng)
	if err != nil {
		return err
	}
	defer finish()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("member", cfg.Member)
	return controller.NewRuntime(cfg, options, jumpingClock(), log, rng).Run(ctx)
}

// jumpingClock is a clock that a signal moves forward, as if the machine had slept.
func jumpingClock() *clock.Clock {
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

// profile begins a processor profile; stop ends it and writes the allocations too.
func profile(prefix string) (stop func(), err error) {
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

// holderName is the member that the records name as the block's holder; the lock is
// held.
func (d *deployment) holderName() string {
	var rec struct{ Holder string }
	_ = json.Unmarshal(d.state.Keys["c/b/0"].Value, &rec)
	return rec.Holder
}

// currentToken is the token of the block's newest tenure; the lock is held.
func (d *deployment) currentToken() uint64 {
	var rec struct{ Baton uint64 }
	_ = json.Unmarshal(d.state.Keys["c/b/0"].Value, &rec)
	return rec.Baton
}

// holding is the controller that holds the block, nil if there is none; the lock is held.
func (d *deployment) holding() *process {
	if i := d.NodeIndex(d.holderName()); i >= 0 {
		return d.nodes[i]
	}
	return nil
}

// submitLoad has users submit a load's jobs: some at once, the rest at its rates.
func (d *deployment) submitLoad(l standin.Load) {
	jobs := 0
	array := func() { d.add(l.Array(jobs), l.Run); jobs++ }
	gang := func() { d.add(l.Gang(jobs), l.Run); jobs++ }
	for range l.Machines / 4 {
		gang()
		array()
	}
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		const every = 100 * time.Millisecond
		owedArrays, owedGangs := 0.0, 0.0
		for d.ctx.Err() == nil {
			d.sleep(every)
			owedArrays += l.ArraysPerS * every.Seconds()
			owedGangs += l.GangsPerS * every.Seconds()
			for ; owedArrays >= 1; owedArrays-- {
				array()
			}
			for ; owedGangs >= 1; owedGangs-- {
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
	for _, load := range standin.LeanLoads() {
		b.Run(load.Name, func(b *testing.B) {
			for range b.N {
				benchmarkDeployment(b, load)
			}
		})
	}
}

func benchmarkDeployment(b *testing.B, load standin.Load) {
	const settle, span = 15 * time.Second, 15 * time.Second
	d := newDeployment(b, load.Facts(), standin.LargeType(), load.Machines)
	for _, n := range d.nodes {
		n.start(func(settings string) *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), controllerVariable+"="+settings)
			return cmd
		})
	}
	var holder *process
	d.until("a holder", func() bool { holder = d.holding(); return holder != nil })
	time.Sleep(time.Second)
	for _, n := range d.nodes {
		if n != holder {
			b.ReportMetric(float64(n.cpu().Milliseconds()), "ms/start")
		}
	}
	d.submitLoad(load)
	d.until("the fleet", func() bool { return len(d.cluster.Workers) >= load.Machines*9/10 })
	time.Sleep(settle)
	d.locked(func() { holder = d.holding() })
	measureSteady(b, d, holder, span)
	measureTakeover(b, d, holder)
}

// measureSteady measures a time of steady load.
func measureSteady(b *testing.B, d *deployment, holder *process, span time.Duration) {
	before := map[*process]time.Duration{}
	for _, n := range d.nodes {
		before[n] = n.cpu()
	}
	var reports reportStats
	d.locked(func() { reports = d.reports })
	time.Sleep(span)
	others := time.Duration(0)
	for _, n := range d.nodes {
		if n != holder {
			others += (n.cpu() - before[n]) / time.Duration(len(d.nodes)-1)
		}
	}
	perSecond := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / span.Seconds() }
	b.ReportMetric(perSecond(holder.cpu()-before[holder]), "holder-ms/s")
	b.ReportMetric(perSecond(others), "others-ms/s")
	now, most := holder.resident()
	b.ReportMetric(now, "holder-MB")
	b.ReportMetric(most, "holder-most-MB")
	d.locked(func() {
		sent := d.reports.sent - reports.sent
		b.ReportMetric(float64(sent)/span.Seconds(), "reports/s")
		b.ReportMetric(float64((d.reports.wait-reports.wait).Microseconds())/float64(max(1, sent)), "us/report-wait")
		b.Logf("%d machines, %d jobs, %d slow reports", len(d.cluster.Workers), len(d.cluster.Order), d.reports.slow-reports.slow)
	})
}

// measureTakeover measures what a crash of the holder costs its successor.
func measureTakeover(b *testing.B, d *deployment, holder *process) {
	const after = 2 * time.Second
	before := map[*process]time.Duration{}
	for _, n := range d.nodes {
		before[n] = n.cpu()
	}
	crash := syscall.SIGKILL
	if os.Getenv(profileVariable) != "" {
		crash = syscall.SIGTERM // so that the profile is written
	}
	from := time.Now()
	holder.end(crash)
	var next *process
	d.until("another holder", func() bool { next = d.holding(); return next != nil && next != holder })
	took := time.Since(from)
	time.Sleep(after)
	b.ReportMetric(float64((next.cpu() - before[next]).Milliseconds()), "ms/takeover+2s")
	b.Logf("taken over %v after the crash", took)
}
