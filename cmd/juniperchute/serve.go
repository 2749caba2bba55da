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

// serve runs a controller until it is interrupted. The file of feature gates may be "".
func serve(ctx context.Context, settingsFile, featureFile string) error {
	log, err := newLogger()
	if err != nil {
		return err
	}
	settings, err := config.Load(settingsFile)
	if err != nil {
		return err
	}
	for _, reason := range settings.Platform.MachineLimits.BelowRecommended() {
		log.Warn("machine smaller than any measured", "reason", reason)
	}
	features, err := loadFeatures(featureFile)
	if err != nil {
		return err
	}
	controller.LimitProcess(settings.Platform.MachineLimits)
	rng, err := newRandom()
	if err != nil {
		return err
	}
	options, finish, err := controller.NewOptions(features, settings.Member, rng)
	if err != nil {
		return err
	}
	defer finish()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log = log.With("member", settings.Member)
	return controller.NewRuntime(settings, options, newClock(features), log, rng).Run(ctx)
}

// newLogger logs to standard error from the level on that LOG_LEVEL names.
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

// loadFeatures reads a file of feature gates; without a file all are off.
func loadFeatures(file string) (featuregate.Gates, error) {
	if file == "" {
		return featuregate.Gates{}, nil
	}
	return featuregate.Load(file)
}

// newRandom returns a generator with a seed from the operating system: controllers that
// start at the same time must not draw the same numbers.
func newRandom() (*rand.Rand, error) {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	high, low := binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])
	return rand.New(rand.NewPCG(high, low)), nil
}

// newClock returns the clock by which leases are judged. With the intent log it counts the
// time for which the machine was suspended, so that an owner that wakes up stops acting.
func newClock(features featuregate.Gates) *clock.Clock {
	if features.IntentLog {
		return clock.New(clock.TimeSuspended)
	}
	return clock.New(nil)
}
