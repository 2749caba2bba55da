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

// Variables of the environment with which the test binary runs as a controller.
const (
	controllerEnv = "INTEGRATION_CONTROLLER" // its settings file: this process is a controller
	gatesEnv      = "INTEGRATION_SWITCHES"   // its file of feature gates
	profileEnv    = "INTEGRATION_PROFILE"    // a prefix of the names of profiles
)

const (
	// profileRate is how many samples a second a processor profile takes.
	profileRate = 1000
	// clockJump is by how much a signal moves the clock of a controller forward: past its lease.
	clockJump = 10 * time.Second
)

// TestMain runs the tests, or a controller for one of them, and removes what was built.
func TestMain(m *testing.M) {
	if file := os.Getenv(controllerEnv); file != "" {
		if err := runController(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	status := m.Run()
	if builtBinaries.dir != "" {
		_ = os.RemoveAll(builtBinaries.dir)
	}
	os.Exit(status)
}

// controllerCommand starts the test binary as a controller with a settings file.
func controllerCommand(settingsFile string, environment ...string) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), controllerEnv+"="+settingsFile)
	command.Env = append(command.Env, environment...)
	return command
}

// runController is a controller's process. It may write profiles, and its clock can be moved.
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

// newJumpingClock is a clock that SIGUSR1 moves forward, as if the machine had slept.
func newJumpingClock() *clock.Clock {
	var jumps atomic.Int64
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() { // runs until the process ends
		for range signals {
			jumps.Add(1)
		}
	}()
	return clock.New(func() (time.Duration, error) { return time.Duration(jumps.Load()) * clockJump, nil })
}

// startProfile begins a processor profile; stop ends it and writes the allocations too.
func startProfile(prefix string) (stop func(), err error) {
	file, err := os.Create(prefix + ".cpu")
	if err != nil {
		return nil, fmt.Errorf("create profile: %w", err)
	}
	runtime.SetCPUProfileRate(profileRate)
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, fmt.Errorf("start profile: %w", err)
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
