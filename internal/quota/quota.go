// Package quota accounts for what each team's tasks may be using and holds
// every start to the team's limit.
package quota

import (
	"math"

	"juniperchute/internal/config"
)

// Room is an amount of a machine's resources.
type Room struct {
	CPUs, GPUs, MemGB float64
}

// slack absorbs the rounding of sums of decimal amounts.
const slack = 1e-6

// Add returns the sum of two rooms.
func (r Room) Add(o Room) Room {
	return Room{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemGB + o.MemGB}
}

// Sub returns the difference of two rooms.
func (r Room) Sub(o Room) Room {
	return Room{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemGB - o.MemGB}
}

// Min returns the lesser of two rooms in each resource.
func (r Room) Min(o Room) Room {
	return Room{min(r.CPUs, o.CPUs), min(r.GPUs, o.GPUs), min(r.MemGB, o.MemGB)}
}

// Max returns the greater of two rooms in each resource.
func (r Room) Max(o Room) Room {
	return Room{max(r.CPUs, o.CPUs), max(r.GPUs, o.GPUs), max(r.MemGB, o.MemGB)}
}

// Unbounded is more than any room there is.
func Unbounded() Room { return Room{math.Inf(1), math.Inf(1), math.Inf(1)} }

// Times returns a multiple of a room.
func (r Room) Times(n float64) Room { return Room{r.CPUs * n, r.GPUs * n, r.MemGB * n} }

// Fits tells whether need fits into r.
func (r Room) Fits(need Room) bool {
	return need.CPUs <= r.CPUs+slack && need.GPUs <= r.GPUs+slack && need.MemGB <= r.MemGB+slack
}

// Share is the largest part of a whole that r takes in any resource.
func (r Room) Share(whole Room) float64 {
	s := 0.0
	for _, p := range [][2]float64{{r.CPUs, whole.CPUs}, {r.GPUs, whole.GPUs}, {r.MemGB, whole.MemGB}} {
		if p[0] > 0 && p[1] > 0 {
			s = max(s, p[0]/p[1])
		}
	}
	return s
}

// Count is how many tasks of size need fit into r, at most limit.
func (r Room) Count(need Room, limit int) int {
	n := limit
	for _, p := range [][2]float64{{need.CPUs, r.CPUs}, {need.GPUs, r.GPUs}, {need.MemGB, r.MemGB}} {
		if p[0] > 0 {
			n = min(n, int((p[1]+slack)/p[0]))
		}
	}
	return max(n, 0)
}

type team struct {
	config.Team
	home     int // the block that has a limited team's whole limit
	used     Room
	promised Room
}

func (t *team) limited() bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// Book is the account of one block.
type Book struct {
	teams map[string]*team
	// blocked is the room of machines whose tasks are not known: any team
	// may be using all of it.
	blocked Room
}

// NewBook opens the account of a block that has the given share of each
// team's limit and guarantee.
func NewBook(teams []config.Team, block, blocks int) *Book {
	b := &Book{teams: map[string]*team{}}
	for _, t := range teams {
		home := Home(teams, t.Name, blocks)
		if t.CPUsMax == 0 && t.GPUsMax == 0 {
			t.CPUs, t.GPUs = t.CPUs/float64(blocks), t.GPUs/float64(blocks)
		}
		b.teams[t.Name] = &team{Team: t, home: home}
	}
	return b
}

// Home is the block of a limited team: a limit is never split, so that it
// holds exactly whatever the other blocks do.
func Home(teams []config.Team, name string, blocks int) int {
	n := 0
	for _, t := range teams {
		if t.Name == name {
			break
		}
		if t.CPUsMax > 0 || t.GPUsMax > 0 {
			n++
		}
	}
	return n % blocks
}

// Limited tells whether a team has a limit.
func Limited(teams []config.Team, name string) bool {
	for _, t := range teams {
		if t.Name == name {
			return t.CPUsMax > 0 || t.GPUsMax > 0
		}
	}
	return false
}

func within(limit, v float64) bool { return limit == 0 || v <= limit+slack }

// Admits tells whether a team's limit allows it to take need in addition to
// what it uses; drawn says whether what is promised to its queued copies
// counts too.
func (b *Book) Admits(name string, need Room, drawn bool) bool {
	t := b.teams[name]
	if t == nil {
		return false
	}
	if !t.limited() {
		return true
	}
	sum := t.used.Add(need).Add(b.blocked)
	if drawn {
		sum = sum.Add(t.promised)
	}
	return within(t.CPUsMax, sum.CPUs) && within(t.GPUsMax, sum.GPUs)
}

// Guaranteed tells whether a team stays within its guarantee with need in
// addition to what it uses and was promised.
func (b *Book) Guaranteed(name string, need Room) bool {
	t := b.teams[name]
	if t == nil || (t.CPUs == 0 && t.GPUs == 0) {
		return false
	}
	sum := t.used.Add(t.promised).Add(need)
	return within(t.CPUs, sum.CPUs) && within(t.GPUs, sum.GPUs)
}

// Guarantees tells whether any team has a guarantee.
func (b *Book) Guarantees() bool {
	for _, t := range b.teams {
		if t.CPUs > 0 || t.GPUs > 0 {
			return true
		}
	}
	return false
}

// Beyond tells whether a team uses more than its guarantee.
func (b *Book) Beyond(name string) bool {
	t := b.teams[name]
	if t == nil {
		return true
	}
	return !within(t.CPUs, t.used.CPUs) || !within(t.GPUs, t.used.GPUs) || (t.CPUs == 0 && t.GPUs == 0)
}

// Use adds to what a team's tasks may be using; a negative amount takes away.
func (b *Book) Use(name string, r Room, sign float64) {
	if t := b.teams[name]; t != nil {
		t.used = t.used.Add(r.Times(sign))
	}
}

// Promise adds to what a team's queued copies are to get.
func (b *Book) Promise(name string, r Room, sign float64) {
	if t := b.teams[name]; t != nil {
		t.promised = t.promised.Add(r.Times(sign))
	}
}

// Block sets the room that any team may be using unseen.
func (b *Book) Block(r Room) { b.blocked = r }

// Usage is one team's line in a status.
type Usage struct {
	Team           string
	Used, Promised Room
	Guarantee, Max Room
}

// Usages lists all teams' lines.
func (b *Book) Usages() []Usage {
	var out []Usage
	for _, t := range b.teams {
		out = append(out, Usage{t.Name, t.used, t.promised, Room{CPUs: t.CPUs, GPUs: t.GPUs}, Room{CPUs: t.CPUsMax, GPUs: t.GPUsMax}})
	}
	return out
}
