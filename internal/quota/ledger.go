package quota

import "juniperchute/internal/config"

// Ledger is the account of the teams' usage on one shard. Names of teams that
// are not configured are admitted nothing, and their usage is not recorded.
// It is not safe for concurrent use.
type Ledger struct {
	teams map[string]*teamAccount
	// unknownUsage is the capacity of machines whose tasks are not known: any
	// team may be using all of it.
	unknownUsage Resources
}

// teamAccount is what one team may use, and what it does.
type teamAccount struct {
	config.Team // a team without limit has the shard's part of its guarantee here
	used        Resources
	reserved    Resources
}

// NewLedger returns an empty account for one of a number of shards. Teams with
// a limit have their whole guarantee on their home shard; the guarantees of
// the others are divided among all shards.
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

// AdmitsReservation reports whether the team's limit allows it to reserve the
// given amount beside what it uses and has reserved already.
func (l *Ledger) AdmitsReservation(team string, need Resources) bool {
	account := l.teams[team]
	return account != nil && l.admits(account, account.used.Add(need).Add(l.unknownUsage).Add(account.reserved))
}

// AdmitsStart reports whether the team's limit allows tasks that need the
// given amount to start beside what it uses. Reservations don't count: the
// tasks that start have theirs among them.
func (l *Ledger) AdmitsStart(team string, need Resources) bool {
	account := l.teams[team]
	return account != nil && l.admits(account, account.used.Add(need).Add(l.unknownUsage))
}

// admits reports whether a team may use the given total.
func (l *Ledger) admits(account *teamAccount, total Resources) bool {
	if !hasLimit(account.Team) {
		return true
	}
	return within(account.CPUsMax, total.CPUs) && within(account.GPUsMax, total.GPUs)
}

// within reports whether an amount is within a bound, of which 0 means none.
func within(bound, amount float64) bool { return bound == 0 || amount <= bound+roundingTolerance }

// WithinGuarantee reports whether the team stays within its guarantee with
// need beside what it uses and has reserved. One without a guarantee never does.
func (l *Ledger) WithinGuarantee(team string, need Resources) bool {
	account := l.teams[team]
	if account == nil || !hasGuarantee(account.Team) {
		return false
	}
	total := account.used.Add(account.reserved).Add(need)
	return within(account.CPUs, total.CPUs) && within(account.GPUs, total.GPUs)
}

// OverGuarantee reports whether the team uses more than its guarantee. One
// without a guarantee always does.
func (l *Ledger) OverGuarantee(team string) bool {
	account := l.teams[team]
	if account == nil || !hasGuarantee(account.Team) {
		return true
	}
	return !within(account.CPUs, account.used.CPUs) || !within(account.GPUs, account.used.GPUs)
}

// HasGuarantees reports whether any team has a guarantee.
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

// RemoveUsed records that a task of the team no longer uses the given amount.
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

// RemoveReserved cancels a reservation.
func (l *Ledger) RemoveReserved(team string, amount Resources) {
	if account := l.teams[team]; account != nil {
		account.reserved = account.reserved.Sub(amount)
	}
}

// SetUnknownUsage sets the amount that any team may be using on machines whose
// tasks are not known. It counts in full against every team's limit.
func (l *Ledger) SetUnknownUsage(amount Resources) { l.unknownUsage = amount }

// TeamUsage is a team's usage on the shard, beside its guarantee and limit there.
type TeamUsage struct {
	Team             string
	Used, Reserved   Resources
	Guarantee, Limit Resources // memory is neither guaranteed nor limited
}

// TeamUsages lists the usage of all teams, in no particular order.
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
