// Command juniperchute runs a controller of a cluster scheduler. Its subcommands for operators query a
// running controller, validate settings files and read traces.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"juniperchute/internal/admin"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "juniperchute:", errorMessage(err))
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var settingsFile, featureGateFile string
	command := &cobra.Command{
		Use:   "juniperchute --config FILE",
		Short: "A cluster scheduler: runs users' jobs on machines provisioned from a cloud",
		Long: "juniperchute --config FILE serves as one controller until it is killed.\n" +
			"The subcommands are for operators.",
		Example: "  juniperchute --config node-0.toml\n" +
			"  juniperchute --switches switches.toml --config node-0.toml",
		Version:       admin.Version(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if settingsFile == "" {
				return errors.New("--config: missing (see --help)")
			}
			return serve(command.Context(), settingsFile, featureGateFile)
		},
	}
	command.CompletionOptions.DisableDefaultCmd = true
	command.Flags().StringVar(&settingsFile, "config", "", "settings file (TOML)")
	command.Flags().StringVar(&featureGateFile, "switches", "",
		"file of feature gates, which turn on what is off by default (TOML)")
	command.AddCommand(
		newCheckCommand(), newStatusCommand(), newIntentsCommand(), newTraceCommand(), newSettingsCommand(),
	)
	return command
}
