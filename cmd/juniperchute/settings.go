// Command juniperchute is a cluster scheduler's controller, and an operator's
// way to it.
package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"juniperchute/internal/peer/peerpb"
)

func printSettings(command *cobra.Command, s *peerpb.Settings) {
	for _, k := range sortedKeys(s.Values) {
		fmt.Fprintf(command.OutOrStdout(), "%s = %s\n", k, s.Values[k])
	}
}

func newSettingsCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "settings --addr ADDR",
		Short: "Show the operators' settings",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return callAdmin(command, address, func(ctx context.Context, client peerpb.AdminClient) error {
				s, err := client.GetSettings(ctx, &peerpb.GetSettingsRequest{})
				if err == nil {
					printSettings(command, s)
				}
				return err
			})
		},
	}
	addAddressFlag(command, &address)
	command.AddCommand(&cobra.Command{
		Use:   "set NAME VALUE",
		Short: "Change one of the operators' settings",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return callAdmin(command, address, func(ctx context.Context, client peerpb.AdminClient) error {
				s, err := client.SetSetting(ctx, &peerpb.SetSettingRequest{Name: args[0], Value: args[1]})
				if err == nil {
					printSettings(command, s)
				}
				return err
			})
		},
	})
	return command
}
