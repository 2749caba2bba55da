package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"juniperchute/internal/clock"
	"juniperchute/internal/config"
	"juniperchute/internal/controller"
	"juniperchute/internal/featuregate"
)

// serve runs a controller until ctx is cancelled or the process receives SIGINT or SIGTERM. An empty
// featureGateFile means that all gates are off.
func serve(ctx context.Context, settingsFile, featureGateFile string) error {
	log, err := newLogger()
	if err != nil {
		return err
	}
	settings, err := config.Load(settingsFile)
	if err != nil {
		return err
	}
	for _, reason := range settings.Platform.MachineLimits.BelowRecommended() {
		log.Warn("machine limit below recommended minimum", "reason", reason)
	}
	gates, err := loadFeatureGates(featureGateFile)
	if err != nil {
		return err
	}
	controller.LimitProcess(settings.Platform.MachineLimits)
	rng, err := newRandom()
	if err != nil {
		return err
	}
	options, finish, err := controller.NewOptions(gates, settings.Member, rng)
	if err != nil {
		return err
	}
	defer finish()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log = log.With("member", settings.Member)
	return controller.NewRuntime(settings, options, newClock(gates), log, rng).Run(ctx)
}

// newLogger returns a logger to standard error with the minimum level that LOG_LEVEL names.
func newLogger() (*slog.Logger, error) {
	level := slog.LevelInfo
	switch name := os.Getenv("LOG_LEVEL"); name {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", name)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// loadFeatureGates loads a file of feature gates. All gates are off if file is empty.
func loadFeatureGates(file string) (featuregate.Gates, error) {
	if file == "" {
		return featuregate.Gates{}, nil
	}
	return featuregate.Load(file)
}

// newRandom returns a generator seeded by the operating system, so that controllers that start at the
// same time draw different numbers.
func newRandom() (*rand.Rand, error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	high, low := binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])
	return rand.New(rand.NewPCG(high, low)), nil
}

// newClock returns the clock that times leases. It includes suspensions of the machine only if the feature
// gate of the intent log is on, which enables this behavior too: a resumed lease holder detects that its
// lease has expired before it sends another call.
func newClock(gates featuregate.Gates) *clock.Clock {
	if gates.IntentLog {
		return clock.New(clock.SuspendedSinceBoot)
	}
	return clock.New(nil)
}
