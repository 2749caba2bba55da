package duty

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Options are what a log needs of the tenure that it belongs to.
type Options struct {
	Block  int
	Token  uint64
	Member string
	Tenure wire.Cond // the condition of each write
	// ValueKB is the most that the state service takes as a value, now and later.
	ValueKB float64
	Call    store.Caller
	Wall    func() time.Time
	Log     *slog.Logger
	Lost    func(now time.Time) // told when a write finds the block's record changed
	Tracer  Tracer              // nil: no spans are made
}

// Log is the intended actions of one block in one tenure.
type Log struct {
	opt     Options
	durable bool // entries are written before actions are sent
	pages   *store.Pages
	actions map[Duty]map[string]*Action
	open    int // actions that are not settled
	cleaned cleaning
}

// NewLog makes the log of a tenure. Until it is switched on, actions count as entered at
// once and nothing is written; what earlier tenures entered is completed all the same.
func NewLog(opt Options) *Log {
	l := &Log{opt: opt, actions: map[Duty]map[string]*Action{}}
	for _, d := range All() {
		l.actions[d] = map[string]*Action{}
	}
	l.pages = store.NewPages(LogUnder(opt.Block), opt.ValueKB, tuning.IntentWriteInterval, store.ClassTenure, opt.Tenure, opt.Call, opt.Log, opt.Lost)
	return l
}

// SwitchOn has actions entered durably from now on, until the tenure ends.
func (l *Log) SwitchOn() { l.durable = true }

// Durable tells whether the log is switched on.
func (l *Log) Durable() bool { return l.durable }

// set is the one place that changes an action's stage.
func (l *Log) set(now time.Time, a *Action, to Stage, why string) bool {
	if !to.follows(a.stage) {
		l.opt.Log.Error("duty: no such step", "duty", a.Duty, "target", a.Target, "from", a.stage, "to", to, "why", why)
		return false
	}
	l.opt.Log.Debug("duty", "duty", a.Duty, "target", a.Target, "from", a.stage, "to", to, "why", why)
	a.stage, a.since = to, now
	if to == Settled {
		l.open--
	}
	return true
}

// Load takes over the entries of earlier tenures, after which Inherited lists them.
func (l *Log) Load(now time.Time, items []wire.Item) {
	l.pages.Load(items, func(target string, value json.RawMessage) {
		var rec entryRec
		if err := json.Unmarshal(value, &rec); err != nil || l.actions[rec.Duty] == nil {
			l.opt.Log.Error("duty entry cannot be read", "target", target, "error", err)
			return
		}
		l.inherit(now, rec.Duty, target, rec.Token, time.UnixMilli(rec.At))
	})
}

// Unread is how many pages of the log could not be read: what they name is not known, and
// a late call of an earlier tenure for it may come.
func (l *Log) Unread() int { return l.pages.Unread() }

// InheritRecorded takes over an action whose entry is another record.
func (l *Log) InheritRecorded(now time.Time, d Duty, target string, token uint64) *Action {
	a := l.inherit(now, d, target, token, time.Time{})
	a.elsewhere = true
	return a
}

func (l *Log) inherit(now time.Time, d Duty, target string, token uint64, at time.Time) *Action {
	if a := l.actions[d][target]; a != nil {
		return a
	}
	a := &Action{Duty: d, Target: target, Token: token, EnteredAt: at, Inherited: true, stage: Entered, since: now}
	l.actions[d][target] = a
	l.open++
	l.traceInherited(a)
	return a
}

// Inherited lists the actions of some duties that earlier tenures entered.
func (l *Log) Inherited(duties ...Duty) []*Action {
	return l.list(func(a *Action) bool { return a.Inherited }, duties)
}

// Ready lists the actions of some duties of which a call may be made.
func (l *Log) Ready(duties ...Duty) []*Action {
	return l.list(func(a *Action) bool { return a.stage == Entered }, duties)
}

func (l *Log) list(which func(a *Action) bool, duties []Duty) []*Action {
	var out []*Action
	for _, d := range duties {
		for _, target := range slices.Sorted(maps.Keys(l.actions[d])) {
			if a := l.actions[d][target]; which(a) {
				out = append(out, a)
			}
		}
	}
	return out
}

// Get returns the action of a duty for a target, nil if there is none.
func (l *Log) Get(d Duty, target string) *Action { return l.actions[d][target] }

// Open is how many actions are not settled.
func (l *Log) Open() int { return l.open }

// Full tells whether the log takes no more actions until some are settled.
func (l *Log) Full() bool { return l.open >= tuning.MaxOpenIntents }

// Enter decides on an action: it may be sent once its entry is durable. It tells false,
// and changes nothing, if the log is full; an action that is there already stays as it is.
func (l *Log) Enter(now time.Time, d Duty, target, why string) bool {
	if l.has(target) {
		return true
	}
	if l.Full() {
		return false
	}
	a := l.add(now, d, target, why)
	if !l.durable {
		l.becameDurable(now, a)
		return true
	}
	l.pages.Put(target, entryRec{Duty: d, Token: a.Token, At: a.EnteredAt.UnixMilli()}, func(now time.Time) { l.becameDurable(now, a) })
	l.pages.Tick(now)
	return true
}

// EnterRecorded decides on an action whose entry is another record, which the caller
// writes: Recorded tells when it is durable.
func (l *Log) EnterRecorded(now time.Time, d Duty, target, why string) *Action {
	a := l.add(now, d, target, why)
	a.elsewhere = true
	return a
}

// Recorded tells that the record that is an action's entry is durable.
func (l *Log) Recorded(now time.Time, a *Action) {
	if a.stage == Entering {
		l.becameDurable(now, a)
	}
}

// has tells whether there is an action for a target.
func (l *Log) has(target string) bool {
	return slices.ContainsFunc(All(), func(d Duty) bool { return l.actions[d][target] != nil })
}

func (l *Log) add(now time.Time, d Duty, target, why string) *Action {
	a := &Action{Duty: d, Target: target, Token: l.opt.Token, EnteredAt: l.opt.Wall(), since: now}
	l.actions[d][target] = a
	l.open++
	l.traceDecision(a, why)
	return a
}

func (l *Log) becameDurable(now time.Time, a *Action) {
	if l.set(now, a, Entered, "entry durable") {
		l.traceEntry(a)
	}
}

// Send tells whether a call for an action may be made now, and notes that it is.
func (l *Log) Send(now time.Time, a *Action) bool {
	if a.stage != Entered {
		return false
	}
	a.calls++
	l.set(now, a, Sent, "call made")
	l.traceCall(a)
	return true
}

// Outcome is what came of a call.
type Outcome int

// The outcomes of a call.
const (
	// NotExecuted: the call was refused, or never sent.
	NotExecuted Outcome = iota
	// Unknown: no answer came. The call may have been executed, or be executed later.
	Unknown
	// Done: the call was executed.
	Done
)

func (o Outcome) String() string {
	return [...]string{"not executed", "unknown", "done"}[o]
}

// Answered takes note of what came of a call. After anything but Done the action is to be
// sent again.
func (l *Log) Answered(now time.Time, a *Action, o Outcome) {
	if a.stage != Sent {
		return
	}
	l.traceAnswer(a, o)
	if o == Done {
		l.set(now, a, Settled, "done")
		return
	}
	l.set(now, a, Entered, "call "+o.String())
}

// Settle ends an action without a call of this tenure's: what it was for is so already,
// or never will be.
func (l *Log) Settle(now time.Time, a *Action, why string) {
	if a.stage == Sent || a.stage == Entered {
		l.set(now, a, Settled, why)
	}
}

// Forget removes a settled action and its entry: all that is planned on is written down
// elsewhere by now.
func (l *Log) Forget(a *Action) {
	if a.stage != Settled {
		return
	}
	delete(l.actions[a.Duty], a.Target)
	if !a.elsewhere {
		l.pages.Drop(a.Target)
	}
	l.traceSettled(a)
}

// Tick starts the writes that are due.
func (l *Log) Tick(now time.Time) { l.pages.Tick(now) }
