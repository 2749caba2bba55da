package duty

import "time"

// ActionStatus is what is told of an action that is not settled.
type ActionStatus struct {
	Duty      Duty
	Target    string
	Token     uint64
	Stage     Stage
	EnteredAt time.Time // zero: not known
	Inherited bool
}

// Status is what is told of one duty.
type Status struct {
	Duty    Duty
	Actions []ActionStatus // those that are not settled, by target
	// UnderWay and Removed count removals, of clean-up only.
	UnderWay, Removed int
	Oldest            time.Time // when the oldest removal under way was sent
}

// Status tells of all duties.
func (l *Log) Status() []Status {
	var out []Status
	for _, d := range All() {
		s := Status{Duty: d}
		for _, a := range l.list(func(a *Action) bool { return a.stage != Settled }, []Duty{d}) {
			s.Actions = append(s.Actions, ActionStatus{Duty: d, Target: a.Target, Token: a.Token, Stage: a.stage, EnteredAt: a.EnteredAt, Inherited: a.Inherited})
		}
		if d == CleanUp {
			s.UnderWay, s.Removed = l.cleaned.underWay, l.cleaned.removed
			if s.UnderWay > 0 {
				s.Oldest = l.cleaned.oldest
			}
		}
		out = append(out, s)
	}
	return out
}
