// Package peer is the gRPC client and server of a controller's peer address, at which the other
// controllers and operators call it. Package peerpb has the messages.
package peer
