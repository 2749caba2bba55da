// Command juniperchute is a cluster scheduler's controller, and an operator's
// way to it.
package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"juniperchute/internal/peer/peerpb"
)

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
