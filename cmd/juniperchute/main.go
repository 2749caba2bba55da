// Command juniperchute is a cluster scheduler's controller, and an operator's
// way to it.
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

	"github.com/spf13/cobra"

	"juniperchute/internal/admin"
	"juniperchute/internal/clock"
	"juniperchute/internal/config"
	"juniperchute/internal/controller"
	"juniperchute/internal/featuregate"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "juniperchute:", errorMessage(err))
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var settingsFile, featureFile string
	command := &cobra.Command{
		Use:           "juniperchute --config FILE",
		Short:         "A cluster scheduler: runs users' jobs on machines rented from a cloud",
		Long:          "juniperchute --config FILE serves as one controller until it is killed.\nThe other commands are for operators.",
		Version:       admin.Version(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if settingsFile == "" {
				return fmt.Errorf("--config: missing (see --help)")
			}
			return serve(command.Context(), settingsFile, featureFile)
		},
	}
	command.CompletionOptions.DisableDefaultCmd = true
	command.Flags().StringVar(&settingsFile, "config", "", "settings file (TOML)")
	command.Flags().StringVar(&featureFile, "switches", "", "file that switches on what is off by default (TOML)")
	command.AddCommand(newCheckCommand(), newStatusCommand(), newDutiesCommand(), newTraceCommand(), newSettingsCommand())
	return command
}

func newCheckCommand() *cobra.Command {
	var featureFile string
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			settings, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if featureFile != "" {
				if _, err := featuregate.Load(featureFile); err != nil {
					return err
				}
			}
			for _, reason := range settings.Platform.MachineLimits.BelowMeasured() {
				fmt.Fprintf(command.OutOrStdout(), "%s: warning: %s\n", args[0], reason)
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: fine: member %s of %d, %d teams\n", args[0], settings.Member, len(settings.Peers)+1, len(settings.Platform.Teams))
			return nil
		},
	}
	command.Flags().StringVar(&featureFile, "switches", "", "check this file of switches too")
	return command
}

func newLogger() (*slog.Logger, error) {
	level := slog.LevelInfo
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", v)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

func serve(ctx context.Context, settingsFile, featureFile string) error {
	log, err := newLogger()
	if err != nil {
		return err
	}
	settings, err := config.Load(settingsFile)
	if err != nil {
		return err
	}
	for _, reason := range settings.Platform.MachineLimits.BelowMeasured() {
		log.Warn("a small machine", "why", reason)
	}
	var features featuregate.Gates
	if featureFile != "" {
		if features, err = featuregate.Load(featureFile); err != nil {
			return err
		}
	}
	controller.LimitProcess(settings.Platform.MachineLimits)
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	steadyClock := clock.New(nil)
	if features.IntentLog {
		steadyClock = clock.New(clock.TimeSuspended)
	}
	options, finish, err := controller.NewOptions(features, settings.Member, rng)
	if err != nil {
		return err
	}
	defer finish()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.NewRuntime(settings, options, steadyClock, log.With("member", settings.Member), rng).Run(ctx)
}
