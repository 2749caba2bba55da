// Package peerpb is the generated code of peer.proto: the messages and calls between the
// controllers, and those of the administration API.
package peerpb
