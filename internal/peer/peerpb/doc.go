// Package peerpb contains the code generated from peer.proto: the services and messages of the
// calls between controllers and of the administration API.
package peerpb
