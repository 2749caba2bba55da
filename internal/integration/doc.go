// Package integration has the tests that run real controller processes on loopback, in real time,
// against the fakes of everything around them: upgrades from earlier versions built from the
// repository's history, lease holders that are frozen or whose clock jumps, and benchmarks of what
// a deployment of a size costs.
//
// A deployment is the fakes behind HTTP servers and the controllers' processes. Its lock guards the
// fakes: withLock runs what is due on their clock first, so that a test sees them at the present
// moment.
package integration
