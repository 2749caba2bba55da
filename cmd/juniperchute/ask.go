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
