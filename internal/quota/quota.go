// Package quota accounts for what each team's tasks may be using and holds
// every start to the team's limit.
package quota

import (
	"math"

	"juniperchute/internal/config"
)

// Resources is an amount of a machine's resources.
type Resources struct {
	CPUs, GPUs, MemGB float64
}

// roundingTolerance absorbs the rounding of sums of decimal amounts.
const roundingTolerance = 1e-6

// Add returns the sum of two rooms.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPUs + other.CPUs, r.GPUs + other.GPUs, r.MemGB + other.MemGB}
}

// Sub returns the difference of two rooms.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPUs - other.CPUs, r.GPUs - other.GPUs, r.MemGB - other.MemGB}
}

// Min returns the lesser of two rooms in each resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{min(r.CPUs, other.CPUs), min(r.GPUs, other.GPUs), min(r.MemGB, other.MemGB)}
}

// Max returns the greater of two rooms in each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.CPUs, other.CPUs), max(r.GPUs, other.GPUs), max(r.MemGB, other.MemGB)}
}

// UnlimitedResources is more than any room there is.
func UnlimitedResources() Resources { return Resources{math.Inf(1), math.Inf(1), math.Inf(1)} }

// Times returns a multiple of a room.
func (r Resources) Times(factor float64) Resources {
	return Resources{r.CPUs * factor, r.GPUs * factor, r.MemGB * factor}
}

// Fits tells whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+roundingTolerance && need.GPUs <= r.GPUs+roundingTolerance && need.MemGB <= r.MemGB+roundingTolerance
}

// DominantShare is the largest part of a whole that r takes in any resource.
func (r Resources) DominantShare(whole Resources) float64 {
	share := 0.0
	for _, pair := range [][2]float64{{r.CPUs, whole.CPUs}, {r.GPUs, whole.GPUs}, {r.MemGB, whole.MemGB}} {
		if pair[0] > 0 && pair[1] > 0 {
			share = max(share, pair[0]/pair[1])
		}
	}
	return share
}

// FitCount is how many tasks of size need fit into r, at most limit.
func (r Resources) FitCount(need Resources, limit int) int {
	count := limit
	for _, pair := range [][2]float64{{need.CPUs, r.CPUs}, {need.GPUs, r.GPUs}, {need.MemGB, r.MemGB}} {
		if pair[0] > 0 {
			count = min(count, int((pair[1]+roundingTolerance)/pair[0]))
		}
	}
	return max(count, 0)
}

type teamAccount struct {
	config.Team
	homeShard int // the block that has a limited team's whole limit
	used      Resources
	reserved  Resources
}

func (a *teamAccount) hasLimit() bool { return a.CPUsMax > 0 || a.GPUsMax > 0 }

// Ledger is the account of one block.
type Ledger struct {
	teams map[string]*teamAccount
	// unknownUsage is the room of machines whose tasks are not known: any team
	// may be using all of it.
	unknownUsage Resources
}

// NewLedger opens the account of a block that has the given share of each
// team's limit and guarantee.
func NewLedger(teams []config.Team, shard, shards int) *Ledger {
	ledger := &Ledger{teams: map[string]*teamAccount{}}
	for _, team := range teams {
		home := HomeShard(teams, team.Name, shards)
		if team.CPUsMax == 0 && team.GPUsMax == 0 {
			team.CPUs, team.GPUs = team.CPUs/float64(shards), team.GPUs/float64(shards)
		}
		ledger.teams[team.Name] = &teamAccount{Team: team, homeShard: home}
	}
	return ledger
}

// HomeShard is the block of a limited team: a limit is never split, so that it
// holds exactly whatever the other blocks do.
func HomeShard(teams []config.Team, name string, shards int) int {
	limitedTeams := 0
	for _, team := range teams {
		if team.Name == name {
			break
		}
		if team.CPUsMax > 0 || team.GPUsMax > 0 {
			limitedTeams++
		}
	}
	return limitedTeams % shards
}

// HasLimit tells whether a team has a limit.
func HasLimit(teams []config.Team, name string) bool {
	for _, team := range teams {
		if team.Name == name {
			return team.CPUsMax > 0 || team.GPUsMax > 0
		}
	}
	return false
}

func withinLimit(limit, amount float64) bool { return limit == 0 || amount <= limit+roundingTolerance }

// Admits tells whether a team's limit allows it to take need in addition to
// what it uses; drawn says whether what is promised to its queued copies
// counts too.
func (l *Ledger) Admits(name string, need Resources, includeReserved bool) bool {
	account := l.teams[name]
	if account == nil {
		return false
	}
	if !account.hasLimit() {
		return true
	}
	sum := account.used.Add(need).Add(l.unknownUsage)
	if includeReserved {
		sum = sum.Add(account.reserved)
	}
	return withinLimit(account.CPUsMax, sum.CPUs) && withinLimit(account.GPUsMax, sum.GPUs)
}

// WithinGuarantee tells whether a team stays within its guarantee with need in
// addition to what it uses and was promised.
func (l *Ledger) WithinGuarantee(name string, need Resources) bool {
	account := l.teams[name]
	if account == nil || (account.CPUs == 0 && account.GPUs == 0) {
		return false
	}
	sum := account.used.Add(account.reserved).Add(need)
	return withinLimit(account.CPUs, sum.CPUs) && withinLimit(account.GPUs, sum.GPUs)
}

// HasGuarantees tells whether any team has a guarantee.
func (l *Ledger) HasGuarantees() bool {
	for _, account := range l.teams {
		if account.CPUs > 0 || account.GPUs > 0 {
			return true
		}
	}
	return false
}

// OverGuarantee tells whether a team uses more than its guarantee.
func (l *Ledger) OverGuarantee(name string) bool {
	account := l.teams[name]
	if account == nil {
		return true
	}
	return !withinLimit(account.CPUs, account.used.CPUs) || !withinLimit(account.GPUs, account.used.GPUs) || (account.CPUs == 0 && account.GPUs == 0)
}

// AddUsed adds to what a team's tasks may be using; a negative amount takes away.
func (l *Ledger) AddUsed(name string, resources Resources, sign float64) {
	if account := l.teams[name]; account != nil {
		account.used = account.used.Add(resources.Times(sign))
	}
}

// AddReserved adds to what a team's queued copies are to get.
func (l *Ledger) AddReserved(name string, resources Resources, sign float64) {
	if account := l.teams[name]; account != nil {
		account.reserved = account.reserved.Add(resources.Times(sign))
	}
}

// SetUnknownUsage sets the room that any team may be using unseen.
func (l *Ledger) SetUnknownUsage(resources Resources) { l.unknownUsage = resources }

// TeamUsage is one team's line in a status.
type TeamUsage struct {
	Team             string
	Used, Reserved   Resources
	Guarantee, Limit Resources
}

// TeamUsages lists all teams' lines.
func (l *Ledger) TeamUsages() []TeamUsage {
	var usages []TeamUsage
	for _, account := range l.teams {
		usages = append(usages, TeamUsage{account.Name, account.used, account.reserved, Resources{CPUs: account.CPUs, GPUs: account.GPUs}, Resources{CPUs: account.CPUsMax, GPUs: account.GPUsMax}})
	}
	return usages
}
