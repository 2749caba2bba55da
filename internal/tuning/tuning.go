// Package tuning holds the service's constants, each with its unit and the reason for its
// value, in one file for each theme and grouped by the package that uses them. What may
// differ between deployments is in the platform's settings instead, and what operators may
// change at run time is set through the administration API.
//
// Names of one pattern have one unit: ...Heartbeats are numbers of the heartbeat interval,
// which the settings give; ...Share are parts of a whole; ...Factor multiply; ...Divisor divide;
// ...InFlight are numbers of calls; ...Bytes are bytes.
package tuning

// Shards is the number of parts into which the machines are divided, each with one owner.
// One packs best, keeps quotas exact and is carried by one owner up to 1,850 machines, with
// an average of a fifth of its share of a processor at most (docs/design.md).
const Shards = 1

// MaxClockDrift is the largest relative difference in speed between the monotonic clocks of
// two machines. Leases are judged with it by packages leader, worker and controller.
const MaxClockDrift = 0.0005
