// Package integration tests real controller processes on loopback, in real time, against the fakes
// of the systems around them: upgrades from earlier versions built from the repository's history,
// lease holders that freeze or whose clock jumps, and benchmarks of the controllers' resource usage.
//
// A deployment consists of the controllers' processes and of HTTP servers in front of the fakes. A
// lock guards the fakes. withLock runs the due events of their clock first, so tests see the current
// state.
package integration
