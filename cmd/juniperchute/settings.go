package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"juniperchute/internal/peer/peerpb"
)

func newSettingsCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:     "settings --addr ADDR",
		Short:   "Show the operators' settings",
		Long:    "settings shows the settings that operators may change while the controllers run, one a line.",
		Example: "  juniperchute settings --addr 10.0.0.1:8081",
		Args:    cobra.NoArgs,
		RunE:    adminCommand(&address, getSettings, printSettings),
	}
	addAddressFlag(command, &address)
	command.AddCommand(&cobra.Command{
		Use:   "set NAME VALUE",
		Short: "Change one of the operators' settings",
		Long: "set changes a setting for all controllers, which apply it at once, and shows the settings\n" +
			"after the change.",
		Example: "  juniperchute settings set fleet.max_machines 20 --addr 10.0.0.1:8081\n" +
			"  juniperchute settings set fleet.hire_paused true --addr 10.0.0.1:8081",
		Args: cobra.ExactArgs(2),
		RunE: adminCommand(&address, setSetting, printSettings),
	})
	return command
}

func getSettings(ctx context.Context, client peerpb.AdminClient, _ []string) (*peerpb.Settings, error) {
	return client.GetSettings(ctx, &peerpb.GetSettingsRequest{})
}

func setSetting(ctx context.Context, client peerpb.AdminClient, args []string) (*peerpb.Settings, error) {
	return client.SetSetting(ctx, &peerpb.SetSettingRequest{Name: args[0], Value: args[1]})
}

// printSettings prints a comment line and one line "name = value" per setting. Scripts parse these lines.
func printSettings(out io.Writer, settings *peerpb.Settings) {
	fmt.Fprintln(out, "# All controllers apply these settings. A change needs no restart: see settings set --help.")
	for _, name := range slices.Sorted(maps.Keys(settings.Values)) {
		fmt.Fprintf(out, "%s = %s\n", name, settings.Values[name])
	}
}
