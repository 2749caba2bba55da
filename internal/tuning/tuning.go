// Package tuning holds the constants of the scheduler: intervals, timeouts, backoffs, limits and
// weights. Each file covers one subject and groups the constants by the package that uses them.
// Values that differ between deployments are in package config. Values that operators change at run
// time are in package admin.
//
// A suffix gives the unit: ...Heartbeats counts heartbeat intervals, as set by package config;
// ...Share is a fraction of a whole; ...Factor is a multiplier; ...Divisor is a divisor;
// ...InFlight counts concurrent calls; ...Bytes counts bytes; ...S counts seconds.
package tuning

// Shards is the number of shards into which the machines are partitioned. Each shard has one lease
// holder. A single shard packs best and keeps quotas exact.
const Shards = 1

// MaxClockDrift is the largest relative difference in rate between the monotonic clocks of two
// machines. Packages leader, worker and controller allow for it in every duration that another
// machine measures.
const MaxClockDrift = 0.0005
