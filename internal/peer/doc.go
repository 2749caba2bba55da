// Package peer implements the gRPC server of a controller's peer address and the clients that
// other controllers and operators use. Package peerpb defines the services and messages.
package peer
