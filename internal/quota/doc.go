// Package quota does the arithmetic of machine resources and keeps the account
// of what each team's tasks use and have reserved on one shard, so that no
// start exceeds the team's limit.
package quota
