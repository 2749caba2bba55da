// Package integration has the tests that run real controller processes on loopback
// against stand-ins of everything around them, in real time: upgrades from earlier
// versions built from the repository's history, and what a deployment of a size costs.
package integration
