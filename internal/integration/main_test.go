package integration

import (
	"context"
	"fmt"
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
)

// Environment variables that make the test binary run as a controller.
const (
	controllerEnv = "INTEGRATION_CONTROLLER" // settings file; set if the process is a controller
	gatesEnv      = "INTEGRATION_SWITCHES"   // file of feature gates
	profileEnv    = "INTEGRATION_PROFILE"    // path prefix of the profiles to write
)

const (
	// cpuProfileHz is the sampling rate of CPU profiles.
	cpuProfileHz = 1000
	// clockJump is the clock adjustment per signal, longer than a controller's lease.
	clockJump = 10 * time.Second
)

// TestMain runs the tests, or a controller for one of them, and removes the built binaries.
func TestMain(m *testing.M) {
	if file := os.Getenv(leakEnv); file != "" {
		exitOnError(runLeakingTest(file))
		return
	}
	if file := os.Getenv(controllerEnv); file != "" {
		exitOnError(runController(file))
		return
	}
	status := m.Run()
	if builtBinaries.dir != "" {
		_ = os.RemoveAll(builtBinaries.dir)
	}
	os.Exit(status)
}

// exitOnError prints an error, if there is one, and ends the process.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// controllerCommand returns a command that runs the test binary as a controller.
func controllerCommand(settingsFile string, environment ...string) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), controllerEnv+"="+settingsFile)
	command.Env = append(command.Env, environment...)
	return command
}

// runController runs a controller until SIGTERM. It writes profiles on request, and SIGUSR1 moves
// its clock forward.
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
	var gates featuregate.Gates
	if file := os.Getenv(gatesEnv); file != "" {
		if gates, err = featuregate.Load(file); err != nil {
			return err
		}
	}
	rng := rand.New(rand.NewPCG(1, uint64(os.Getpid())))
	options, closeTrace, err := controller.NewOptions(gates, settings.Member, rng)
	if err != nil {
		return err
	}
	defer closeTrace()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("member", settings.Member)
	return controller.NewRuntime(settings, options, newJumpingClock(), log, rng).Run(ctx)
}

// newJumpingClock returns a clock that jumps forward on SIGUSR1, like the clock of a suspended
// machine.
func newJumpingClock() *clock.Clock {
	var jumps atomic.Int64
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() { // runs until the process exits
		for range signals {
			jumps.Add(1)
		}
	}()
	return clock.New(func() (time.Duration, error) { return time.Duration(jumps.Load()) * clockJump, nil })
}

// startProfile starts a CPU profile. stop ends the profile and also writes an allocation profile.
func startProfile(prefix string) (stop func(), err error) {
	file, err := os.Create(prefix + ".cpu")
	if err != nil {
		return nil, fmt.Errorf("create CPU profile: %w", err)
	}
	runtime.SetCPUProfileRate(cpuProfileHz)
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, fmt.Errorf("start CPU profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
		if file, err := os.Create(prefix + ".mem"); err == nil {
			_ = pprof.Lookup("allocs").WriteTo(file, 0)
			file.Close()
		}
	}, nil
}
