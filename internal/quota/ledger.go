package quota

import "juniperchute/internal/config"

// Ledger accounts for the resource usage of all teams on one shard. It admits nothing for a team that is
// not configured and does not record that team's usage. It is not safe for concurrent use.
type Ledger struct {
	teams map[string]*teamAccount
	// unknownUsage is the capacity of machines whose tasks are not known. Any team may be using all
	// of it.
	unknownUsage Resources
}

// teamAccount holds the guarantee and limit of one team and its usage.
type teamAccount struct {
	config.Team // if the team has no limit, CPUs and GPUs hold this shard's part of its guarantee
	used        Resources
	reserved    Resources
}

// NewLedger returns a ledger without usage for one shard of a deployment with the given number of shards.
// A team with a limit has its whole guarantee on its home shard. The guarantee of a team without a limit
// is divided evenly among all shards.
func NewLedger(teams []config.Team, shards int) *Ledger {
	ledger := &Ledger{teams: map[string]*teamAccount{}}
	for _, team := range teams {
		if !hasLimit(team) {
			team.CPUs, team.GPUs = team.CPUs/float64(shards), team.GPUs/float64(shards)
		}
		ledger.teams[team.Name] = &teamAccount{Team: team}
	}
	return ledger
}

// AdmitsReservation reports whether the team's limit allows a reservation of the given amount in addition
// to what the team uses and has reserved already.
func (l *Ledger) AdmitsReservation(team string, need Resources) bool {
	account := l.teams[team]
	return account != nil && l.admits(account, account.used.Add(need).Add(l.unknownUsage).Add(account.reserved))
}

// AdmitsStart reports whether the team's limit allows tasks that need the given amount to start in
// addition to what the team uses. Reservations do not count, because they include those of the tasks that
// are about to start.
func (l *Ledger) AdmitsStart(team string, need Resources) bool {
	account := l.teams[team]
	return account != nil && l.admits(account, account.used.Add(need).Add(l.unknownUsage))
}

// admits reports whether a total usage is within the team's limit.
func (l *Ledger) admits(account *teamAccount, total Resources) bool {
	if !hasLimit(account.Team) {
		return true
	}
	return within(account.CPUsMax, total.CPUs) && within(account.GPUsMax, total.GPUs)
}

// within reports whether an amount does not exceed a bound. A bound of 0 means that the resource has no
// limit or no guarantee. The amount is then not compared.
func within(bound, amount float64) bool { return bound == 0 || amount <= bound+roundingTolerance }

// WithinGuarantee reports whether the team stays within its guarantee with need in addition to what it
// uses and has reserved. Resources of which the team has no guarantee are ignored. It returns false for a
// team without any guarantee.
func (l *Ledger) WithinGuarantee(team string, need Resources) bool {
	account := l.teams[team]
	if account == nil || !hasGuarantee(account.Team) {
		return false
	}
	total := account.used.Add(account.reserved).Add(need)
	return within(account.CPUs, total.CPUs) && within(account.GPUs, total.GPUs)
}

// OverGuarantee reports whether the team uses more than its guarantee. Resources of which the team has no
// guarantee are ignored. It returns true for a team without any guarantee.
func (l *Ledger) OverGuarantee(team string) bool {
	account := l.teams[team]
	if account == nil || !hasGuarantee(account.Team) {
		return true
	}
	return !within(account.CPUs, account.used.CPUs) || !within(account.GPUs, account.used.GPUs)
}

// HasGuarantees reports whether at least one team has a guarantee.
func (l *Ledger) HasGuarantees() bool {
	for _, account := range l.teams {
		if hasGuarantee(account.Team) {
			return true
		}
	}
	return false
}

// AddUsed records that a task of the team may be using the given amount.
func (l *Ledger) AddUsed(team string, amount Resources) {
	if account := l.teams[team]; account != nil {
		account.used = account.used.Add(amount)
	}
}

// RemoveUsed reverts a call of AddUsed for a task that is known to have ended.
func (l *Ledger) RemoveUsed(team string, amount Resources) {
	if account := l.teams[team]; account != nil {
		account.used = account.used.Sub(amount)
	}
}

// AddReserved reserves the given amount for a queued copy of a task of the team.
func (l *Ledger) AddReserved(team string, amount Resources) {
	if account := l.teams[team]; account != nil {
		account.reserved = account.reserved.Add(amount)
	}
}

// RemoveReserved reverts a call of AddReserved for a copy that has left its queue.
func (l *Ledger) RemoveReserved(team string, amount Resources) {
	if account := l.teams[team]; account != nil {
		account.reserved = account.reserved.Sub(amount)
	}
}

// SetUnknownUsage sets the capacity of machines whose tasks are not known. It counts in full against
// every team's limit.
func (l *Ledger) SetUnknownUsage(amount Resources) { l.unknownUsage = amount }

// TeamUsage holds a team's usage, guarantee and limit on one shard.
type TeamUsage struct {
	Team             string
	Used, Reserved   Resources
	Guarantee, Limit Resources // MemGB is not set: memory has neither
}

// TeamUsages returns the usage of all configured teams in no particular order.
func (l *Ledger) TeamUsages() []TeamUsage {
	var usages []TeamUsage
	for _, account := range l.teams {
		usages = append(usages, TeamUsage{
			Team:      account.Name,
			Used:      account.used,
			Reserved:  account.reserved,
			Guarantee: Resources{CPUs: account.CPUs, GPUs: account.GPUs},
			Limit:     Resources{CPUs: account.CPUsMax, GPUs: account.GPUsMax},
		})
	}
	return usages
}
