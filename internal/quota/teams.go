package quota

import "juniperchute/internal/config"

// HomeShard returns the shard on which a team with a limit may run its tasks.
// The limit is not divided among shards: it holds exactly without any
// exchange between them, and a gang that needs much of it still fits.
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

// hasLimit reports whether the team may use only so much; 0 stands for no limit.
func hasLimit(team config.Team) bool { return team.CPUsMax > 0 || team.GPUsMax > 0 }

// hasGuarantee reports whether the team is guaranteed some amount.
func hasGuarantee(team config.Team) bool { return team.CPUs > 0 || team.GPUs > 0 }
