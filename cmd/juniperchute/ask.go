// Command juniperchute is a cluster scheduler's controller, and an operator's
// way to it.
package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
)

// errorMessage is what an error says to an operator: a controller's refusal without the words
// of the call that carried it.
func errorMessage(err error) string {
	s, ok := status.FromError(err)
	switch {
	case !ok:
		return err.Error()
	case s.Code() == codes.Unavailable:
		return "the controller cannot be reached: " + s.Message()
	}
	return s.Message()
}

// callAdmin calls the administration API of one controller.
func callAdmin(command *cobra.Command, address string, call func(ctx context.Context, client peerpb.AdminClient) error) error {
	connection, err := peer.Dial(address)
	if err != nil {
		return err
	}
	defer connection.Close()
	ctx, cancel := context.WithTimeout(command.Context(), 5*time.Second)
	defer cancel()
	return call(ctx, peerpb.NewAdminClient(connection))
}

func addAddressFlag(command *cobra.Command, address *string) {
	command.PersistentFlags().StringVar(address, "addr", "", "a controller's peer_bind address")
	_ = command.MarkPersistentFlagRequired("addr")
}
