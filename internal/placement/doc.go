// Package placement assigns the tasks of one shard to its machines during one
// term of the shard's lease holder.
//
// Array tasks are scheduled as in the paper "Distributed Oblivious Load
// Balancing Using Prioritized Job Replication", section III. Each task is
// queued twice: as a primary copy in the high-priority queue of one random
// machine, and as a backup copy in the low-priority queue of another. A machine
// starts backups only while no primaries are queued there, and a primary
// preempts running backups. A preempted backup is queued again; after a limit
// of preemptions, the withdraw threshold, it is withdrawn, as in sections V and VI of
// the paper.
//
// The paper does not cover gangs and services. Their tasks have no backups and
// are placed directly, preempting lower-priority work if necessary.
//
// The package starts no goroutines and does no I/O. A Scheduler must be used by
// one goroutine at a time; it returns its decisions as commands for machines.
package placement
