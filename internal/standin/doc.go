// Package standin is test support: stand-ins for the parties around the controllers,
// written from the published protocol. It has a state service, a cloud, workers and a
// checker of the protocol's rules, all driven by one Clock, so that a test plays them in
// simulated time or on the wall clock. Only tests import it.
package standin
