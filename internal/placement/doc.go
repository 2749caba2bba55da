// Package placement decides which task runs on which machine of one shard,
// within one term of the shard's lease holder.
//
// Array tasks follow the paper "Distributed Oblivious Load Balancing Using
// Prioritized Job Replication", section III: each waits as a primary copy in
// the high-priority queue of one random machine and as a backup copy in the
// low-priority queue of another. A machine serves backups only while it has no
// primaries, and a primary preempts running backups; a preempted backup starts
// from scratch later. After a number of preemptions the backup is withdrawn,
// as in the paper's evaluation (sections V and VI).
//
// Gangs and services are outside the paper: their tasks have no backups and
// are placed directly, lower work giving way where there is no room.
//
// The package keeps no goroutines and does no I/O. A Scheduler is used by one
// goroutine; what it decides goes out as the commands it returns for a machine.
package placement
