package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"juniperchute/internal/config"
)

func newCheckCommand() *cobra.Command {
	var featureGateFile string
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Long: "check reads a settings file as a controller does at its start and names the first fault.\n" +
			"It warns of machines smaller than any on which the service was measured.",
		Example: "  juniperchute check node-0.toml\n" +
			"  juniperchute check --switches switches.toml node-0.toml",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return check(command.OutOrStdout(), args[0], featureGateFile)
		},
	}
	command.Flags().StringVar(&featureGateFile, "switches", "", "check this file of feature gates too")
	return command
}

func check(out io.Writer, settingsFile, featureGateFile string) error {
	settings, err := config.Load(settingsFile)
	if err != nil {
		return err
	}
	if _, err := loadFeatureGates(featureGateFile); err != nil {
		return err
	}
	for _, reason := range settings.Platform.MachineLimits.BelowRecommended() {
		fmt.Fprintf(out, "%s: warning: %s\n", settingsFile, reason)
	}
	fmt.Fprintf(out, "%s: valid: it configures controller %s, one of %d, for %s.\n", settingsFile, settings.Member,
		len(settings.Peers)+1, formatCount(len(settings.Platform.Teams), "team"))
	return nil
}
