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
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "juniperchute:", message(err))
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var file, switchFile string
	cmd := &cobra.Command{
		Use:           "juniperchute --config FILE",
		Short:         "A cluster scheduler: runs users' jobs on machines rented from a cloud",
		Long:          "juniperchute --config FILE serves as one controller until it is killed.\nThe other commands are for operators.",
		Version:       admin.Version(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return fmt.Errorf("--config: missing (see --help)")
			}
			return serve(cmd.Context(), file, switchFile)
		},
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.Flags().StringVar(&file, "config", "", "settings file (TOML)")
	cmd.Flags().StringVar(&switchFile, "switches", "", "file that switches on what is off by default (TOML)")
	cmd.AddCommand(checkCmd(), statusCmd(), dutiesCmd(), traceCmd(), settingsCmd())
	return cmd
}

func checkCmd() *cobra.Command {
	var switchFile string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if switchFile != "" {
				if _, err := featuregate.Load(switchFile); err != nil {
					return err
				}
			}
			for _, why := range cfg.Platform.MachineLimits.BelowMeasured() {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: warning: %s\n", args[0], why)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: member %s of %d, %d teams\n", args[0], cfg.Member, len(cfg.Peers)+1, len(cfg.Platform.Teams))
			return nil
		},
	}
	cmd.Flags().StringVar(&switchFile, "switches", "", "check this file of switches too")
	return cmd
}

func logger() (*slog.Logger, error) {
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

func serve(ctx context.Context, file, switchFile string) error {
	log, err := logger()
	if err != nil {
		return err
	}
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	for _, why := range cfg.Platform.MachineLimits.BelowMeasured() {
		log.Warn("a small machine", "why", why)
	}
	var on featuregate.Gates
	if switchFile != "" {
		if on, err = featuregate.Load(switchFile); err != nil {
			return err
		}
	}
	controller.LimitProcess(cfg.Platform.MachineLimits)
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	steady := clock.New(nil)
	if on.IntentLog {
		steady = clock.New(clock.TimeSuspended)
	}
	options, finish, err := controller.NewOptions(on, cfg.Member, rng)
	if err != nil {
		return err
	}
	defer finish()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return controller.NewRuntime(cfg, options, steady, log.With("member", cfg.Member), rng).Run(ctx)
}
