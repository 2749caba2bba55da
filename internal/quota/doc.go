// Package quota implements the arithmetic of machine resources and accounts for the resources that each
// team's tasks use and have reserved on one shard, so that no task start exceeds its team's limit.
//
// A copy is one placement of a task on a machine: the primary copy or a backup copy.
package quota
