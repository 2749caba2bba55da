// Package fakes has the fakes of the parties around the controllers, for tests only: the state
// service, the cloud, the workers with their tasks, and what users know of their jobs. They are
// written from the published protocol, not from the controllers' code.
//
// A Clock drives all of them. Whoever owns it plays simulated time by running its events, or
// follows the wall clock. Nothing here starts a goroutine or locks: all calls come from one
// goroutine at a time. Random draws come from the generator that a fake is given, in an order
// that depends only on the events, so that a seed repeats a test to the letter.
//
// The Cluster sees what no controller sees, the tasks that really run on the machines, and checks
// the protocol's rules with it (Check, RecordResponse, CheckLostJobs). An IntentChecker compares
// what the cloud carries out with the intent log. Both add to Cluster.Violations.
package fakes
