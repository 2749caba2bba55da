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
	"sort"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"juniperchute/internal/admin"
	"juniperchute/internal/config"
	"juniperchute/internal/node"
	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/wire"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "juniperchute:", message(err))
		os.Exit(1)
	}
}

// message is what an error says to an operator: a controller's refusal without the words
// of the call that carried it.
func message(err error) string {
	s, ok := status.FromError(err)
	switch {
	case !ok:
		return err.Error()
	case s.Code() == codes.Unavailable:
		return "the controller cannot be reached: " + s.Message()
	}
	return s.Message()
}

func root() *cobra.Command {
	var file string
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
			return serve(cmd.Context(), file)
		},
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.Flags().StringVar(&file, "config", "", "settings file (TOML)")
	cmd.AddCommand(checkCmd(), statusCmd(), settingsCmd())
	return cmd
}

func checkCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			for _, why := range cfg.Facts.Limits.Small() {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: warning: %s\n", args[0], why)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: member %s of %d, %d teams\n", args[0], cfg.Member, len(cfg.Known)+1, len(cfg.Facts.Teams))
			return nil
		},
	}
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

func serve(ctx context.Context, file string) error {
	log, err := logger()
	if err != nil {
		return err
	}
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	for _, why := range cfg.Facts.Limits.Small() {
		log.Warn("a small machine", "why", why)
	}
	node.LimitProcess(cfg.Facts.Limits)
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return node.NewRuntime(cfg, log.With("member", cfg.Member), rng).Run(ctx)
}

// ask calls the administration API of one controller.
func ask(cmd *cobra.Command, addr string, f func(ctx context.Context, c peerpb.AdminClient) error) error {
	conn, err := peer.Dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(cmd.Context(), 5*time.Second)
	defer cancel()
	return f(ctx, peerpb.NewAdminClient(conn))
}

func addrFlag(cmd *cobra.Command, addr *string) {
	cmd.PersistentFlags().StringVar(addr, "addr", "", "a controller's peer_bind address")
	_ = cmd.MarkPersistentFlagRequired("addr")
}

func statusCmd() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "status --addr ADDR",
		Short: "Show members, blocks, machines, teams and queues",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return ask(cmd, addr, func(ctx context.Context, c peerpb.AdminClient) error {
				s, err := c.Status(ctx, &peerpb.StatusRequest{})
				if err == nil {
					printStatus(cmd, s)
				}
				return err
			})
		},
	}
	addrFlag(cmd, &addr)
	return cmd
}

func printStatus(cmd *cobra.Command, s *peerpb.StatusReply) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "asked\t%s\nleader\t%s\nmembers\t%v\n", s.Member, s.Leader, s.Members)
	for _, m := range s.Members {
		v := s.Versions[m]
		if v == "" {
			v = "not told, as before 0.2.0"
		}
		fmt.Fprintf(w, "version of %s\t%s\n", m, v)
	}
	for _, b := range s.Blocks {
		fmt.Fprintf(w, "block %d\theld by %s\ttoken %d\n", b.Block, b.Holder, b.Token)
	}
	for _, b := range s.Held {
		fmt.Fprintf(w, "\nblock %d\t%s\n", b.Block, b.State)
		fmt.Fprintln(w, "machine\ttype\tzone\tspot\tstate\ttasks\tnotes")
		for _, m := range b.Machines {
			notes := ""
			if m.Faulty {
				notes += "faulty "
			}
			if m.Recalled {
				notes += "recalled"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%d\t%s\n", m.Host, m.Type, m.Zone, m.Spot, m.State, m.Tasks, notes)
		}
		fmt.Fprintln(w, "\nteam\tcpus\tof\tgpus\tof")
		for _, t := range b.Teams {
			fmt.Fprintf(w, "%s\t%g\t%g\t%g\t%g\n", t.Name, t.CpusUsed, t.CpusMax, t.GpusUsed, t.GpusMax)
		}
		fmt.Fprintln(w, "\nservice\tclass\tteam\treplicas wanted\trunning\ton machines\twaits for")
		for _, j := range b.Jobs {
			if j.Shape == wire.ShapeService {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.Id, j.Class, j.Team, j.Tasks, j.Running, j.OnMachines, j.WaitsFor)
			}
		}
		fmt.Fprintln(w, "\njob\tclass\tteam\tpriority\ttasks\tdone\ton machines\twaits for")
		for _, j := range b.Jobs {
			if j.Shape == wire.ShapeService {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.Id, j.Class, j.Team, j.Priority, j.Tasks, j.Done, j.OnMachines, j.WaitsFor)
		}
		fmt.Fprintln(w)
		for _, k := range sorted(b.Counters) {
			fmt.Fprintf(w, "%s\t%d\n", k, b.Counters[k])
		}
	}
}

func sorted[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func printSettings(cmd *cobra.Command, s *peerpb.Settings) {
	for _, k := range sorted(s.Values) {
		fmt.Fprintf(cmd.OutOrStdout(), "%s = %s\n", k, s.Values[k])
	}
}

func settingsCmd() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "settings --addr ADDR",
		Short: "Show the operators' settings",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return ask(cmd, addr, func(ctx context.Context, c peerpb.AdminClient) error {
				s, err := c.GetSettings(ctx, &peerpb.GetSettingsRequest{})
				if err == nil {
					printSettings(cmd, s)
				}
				return err
			})
		},
	}
	addrFlag(cmd, &addr)
	cmd.AddCommand(&cobra.Command{
		Use:   "set NAME VALUE",
		Short: "Change one of the operators' settings",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return ask(cmd, addr, func(ctx context.Context, c peerpb.AdminClient) error {
				s, err := c.SetSetting(ctx, &peerpb.SetSettingRequest{Name: args[0], Value: args[1]})
				if err == nil {
					printSettings(cmd, s)
				}
				return err
			})
		},
	})
	return cmd
}
