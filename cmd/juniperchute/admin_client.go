package main

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
)

// adminTimeout bounds a call of the administration API, for a controller that does not respond.
const adminTimeout = 5 * time.Second

// adminCommand returns the RunE function of a command that calls the administration API of the
// controller at address and prints the reply.
func adminCommand[Reply any](
	address *string,
	call func(ctx context.Context, client peerpb.AdminClient, args []string) (Reply, error),
	print func(out io.Writer, reply Reply),
) func(command *cobra.Command, args []string) error {
	return func(command *cobra.Command, args []string) error {
		connection, err := peer.NewConnection(*address)
		if err != nil {
			return err
		}
		defer connection.Close()
		ctx, cancel := context.WithTimeout(command.Context(), adminTimeout)
		defer cancel()
		reply, err := call(ctx, peerpb.NewAdminClient(connection), args)
		if err != nil {
			return err
		}
		print(command.OutOrStdout(), reply)
		return nil
	}
}

func addAddressFlag(command *cobra.Command, address *string) {
	command.PersistentFlags().StringVar(address, "addr", "", "a controller's peer_bind address")
	_ = command.MarkPersistentFlagRequired("addr")
}

// errorMessage returns the text of an error for an operator. It omits the gRPC status code.
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
