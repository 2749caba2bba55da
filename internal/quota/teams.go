package quota

import "juniperchute/internal/config"

// HomeShard returns the only shard on which a team with a limit runs tasks. Confining the team to one shard
// enforces the limit exactly without coordination between shards, and a gang can use the whole limit.
func HomeShard(teams []config.Team, name string, shards int) int {
	limitedTeams := 0
	for _, team := range teams {
		if team.Name == name {
			break
		}
		if hasLimit(team) {
			limitedTeams++
		}
	}
	return limitedTeams % shards
}

// HasLimit reports whether the named team exists and has a limit.
func HasLimit(teams []config.Team, name string) bool {
	for _, team := range teams {
		if team.Name == name {
			return hasLimit(team)
		}
	}
	return false
}

// hasLimit reports whether the team has a limit on CPUs or GPUs. A limit of 0 means unlimited.
func hasLimit(team config.Team) bool { return team.CPUsMax > 0 || team.GPUsMax > 0 }

// hasGuarantee reports whether the team has guaranteed CPUs or GPUs.
func hasGuarantee(team config.Team) bool { return team.CPUs > 0 || team.GPUs > 0 }
