// Package fakes implements test doubles of the systems around the controllers: the state service,
// the cloud, the workers with their tasks, and the users' view of their jobs. The fakes implement
// the published protocol and share no logic with the controllers.
//
// A Clock drives all fakes. Its user advances simulated time by running events, or keeps it equal to
// the wall clock. The fakes start no goroutines and take no locks: the caller serializes all calls.
// Random draws come from the generator passed to a fake, in an order that depends only on the
// events, so a seed reproduces a test run exactly.
//
// The Cluster knows which tasks actually run on the machines and checks the protocol's rules
// against them (CheckInvariants, RecordResponse, CheckLostJobs). An IntentChecker compares the
// operations that the cloud executes with the intent log. Both append to Cluster.Violations.
package fakes
