// Package worker keeps the lives of a block's machines: what their workers
// reported last, what is on them, and when their leases are surely over.
package worker

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// State is a stage in a machine's life as its block's holder sees it.
type State int

// The states of a machine.
const (
	// Booting: rented, and never used by any tenure: nothing can be on it.
	Booting State = iota
	// Unheard: used by an earlier tenure and not heard in this one.
	Unheard
	// Up: reports.
	Up
	// Silent: reports have stopped, its lease may still stand.
	Silent
	// Lapsed: silent until its lease was surely over: nothing is on it.
	Lapsed
	// Deleting: a deletion is under way.
	Deleting
	// Gone: its deletion was answered.
	Gone
)

func (s State) String() string {
	return [...]string{"booting", "unheard", "up", "silent", "lapsed", "deleting", "gone"}[s]
}

// Machine is one machine of the block.
type Machine struct {
	Host    string
	Address string
	Type    string
	Zone    string
	Spot    bool
	Cap     quota.Resources
	Fetch   float64 // GB of images a second, 0: not known

	State   State
	Since   time.Time // of the state
	Born    time.Time // when this tenure learned of it, less its age if known
	Session uint64
	Seq     uint64
	Heard   time.Time // last report or answer
	Checked time.Time // last report
	// Answered is when the last report that was answered came in. The
	// worker's lease counts from when it sent it, so not later.
	Answered time.Time
	// Proven: its newest reports show that an answer or a command has reached
	// the worker since the ones before. One whose reports come and to which
	// nothing gets through holds no lease and carries nothing out.
	Proven bool
	// Unproven is since when its reports have come without being so; zero: not.
	Unproven time.Time
	// The newest session and report seen in any message, absorbed or not.
	SeenSession, SeenSeq uint64
	Recall               time.Time // when the cloud takes it away; zero: no notice
	Tasks                []wire.TaskStatus
	Stranger             bool // has tasks that no open job explains
	Recorded             bool // its rental record names it
	Used                 bool // its rental record says that it may have tasks
	Faulty               bool
	Wanted               bool // a demand pass found a use for it
	Closing              bool // nothing more is drawn to it, so that it can be returned
	IdleFrom             time.Time

	// The account of what may be on it, kept by placement.
	Taken    quota.Resources // by copies handed out, until they are known gone
	Spares   quota.Resources // the part of Taken that spares have
	Promised quota.Resources // to queued mains
	Busy     int             // copies handed out and not known gone
	Images   map[string]time.Time
	Blames   map[string]int // failures by job
	DoBusy   bool           // a direct command is under way
	OpenDo   int            // direct commands that nobody answered, in this session
	// LeaseOver: it is being deleted and its lease is surely over: nothing is on it.
	LeaseOver bool
}

// Usable tells whether new work may be drawn to the machine.
func (m *Machine) Usable(now time.Time) bool {
	return m.State == Up && m.Recall.IsZero() && !m.Faulty && !m.Closing && m.OpenDo == 0 && m.Used && !m.Stranger && m.Proven
}

// Mute tells whether a machine's reports have come for longer than its lease
// without a sign that any answer or command reaches it.
func (m *Machine) Mute(now time.Time, lease time.Duration) bool {
	return !m.Proven && !m.Unproven.IsZero() && m.Checked.After(m.Unproven) && now.Sub(m.Unproven) > lease
}

// Free is the room not taken.
func (m *Machine) Free() quota.Resources { return m.Cap.Sub(m.Taken) }

// FreeForMain is the room a main may claim: spares give way to it.
func (m *Machine) FreeForMain() quota.Resources {
	return m.Cap.Sub(m.Taken).Add(m.Spares).Sub(m.Promised)
}

// Registry is all machines of a block in one tenure.
type Registry struct {
	facts  config.Workers
	log    *slog.Logger
	hosts  map[string]*Machine
	order  []*Machine      // in the order in which they became known
	gone   map[string]bool // machines whose deletion was answered
	expiry time.Duration
	// Behind is how long the newest report handled had waited for its turn: while
	// that is long, machines that seem silent have their reports waiting here.
	Behind time.Duration
}

// NewRegistry makes an empty registry.
func NewRegistry(facts config.Workers, log *slog.Logger) *Registry {
	lease := config.Seconds(facts.LeaseS)
	return &Registry{facts: facts, log: log, hosts: map[string]*Machine{}, gone: map[string]bool{},
		expiry: lease + time.Duration(float64(lease)*2*tuning.ClockDrift) + tuning.LeaseMargin}
}

// Expiry is how long after its last answered report came in a worker's lease
// is surely over.
func (r *Registry) Expiry() time.Duration { return r.expiry }

// Get returns a machine, or nil.
func (r *Registry) Get(host string) *Machine { return r.hosts[host] }

// All lists the machines in the order in which they became known.
func (r *Registry) All() []*Machine { return r.order }

// Add makes a machine known.
func (r *Registry) Add(now time.Time, host string, state State) *Machine {
	m := &Machine{Host: host, Since: now, Born: now, State: state, Images: map[string]time.Time{}, Blames: map[string]int{}}
	r.hosts[host] = m
	r.order = append(r.order, m)
	return m
}

// Set changes a machine's state. It is the only place that does.
func (r *Registry) Set(now time.Time, m *Machine, s State, why string) {
	if m.State == s {
		return
	}
	r.log.Info("machine", "host", m.Host, "from", m.State.String(), "to", s.String(), "why", why)
	m.State, m.Since = s, now
	if s == Gone {
		delete(r.hosts, m.Host)
		r.RememberGone(m.Host)
		for i, o := range r.order {
			if o == m {
				r.order = append(r.order[:i:i], r.order[i+1:]...)
				break
			}
		}
	}
}

// RememberGone remembers a machine that is gone: a late copy of one of its reports must
// not bring it back. Names come in the order of creation, so the smallest are
// the oldest.
func (r *Registry) RememberGone(host string) {
	r.gone[host] = true
	if len(r.gone) > tuning.GoneKept {
		for _, h := range slices.Sorted(maps.Keys(r.gone))[:tuning.GoneKept/2] {
			delete(r.gone, h)
		}
	}
}

// IsGone tells whether a machine's deletion was answered in this tenure.
func (r *Registry) IsGone(host string) bool { return r.gone[host] }

// Verdict is what a report amounts to.
type Verdict int

// The verdicts on a report.
const (
	Fresh Verdict = iota
	// Stale: an older or repeated message; nothing may be concluded from it.
	Stale
	// Renewed: fresh, and the worker's lease had expired since the last one.
	Renewed
)

// Glimpse takes note of a report from which nothing else may be concluded, as
// it may be a late copy, and tells whether it is at least the newest one seen.
func (m *Machine) Glimpse(rep *wire.Heartbeat) bool {
	if rep.Incarnation < m.SeenSession || rep.Incarnation == m.SeenSession && rep.Sequence <= m.SeenSeq {
		return false
	}
	m.SeenSession, m.SeenSeq = rep.Incarnation, rep.Sequence
	return true
}

// proves tells whether a report shows that the answer to the one before, or a
// command since, has reached the worker. A worker that gets no answer gives up
// after some seconds and goes to the next node, so that it comes back late and
// with other reports in between.
func (m *Machine) proves(now time.Time, rep *wire.Heartbeat, checkin bool) bool {
	switch {
	case !checkin || m.Session == 0:
		return true // the command has just been answered; the token has reached it
	case rep.Incarnation != m.Session:
		return false
	}
	return rep.Sequence == m.Seq+1 || !m.Checked.IsZero() && now.Sub(m.Checked) < tuning.WorkerPatience
}

// Absorb takes in a worker's account of itself. checkin tells a report from
// the answer to a direct command.
func (r *Registry) Absorb(now time.Time, m *Machine, rep *wire.Heartbeat, checkin bool) Verdict {
	// Reports held back by a cut arrive late and out of order: their task
	// list is as old as they are.
	if m.Session != 0 && (rep.Incarnation < m.Session || rep.Incarnation == m.Session && rep.Sequence <= m.Seq) {
		return Stale
	}
	// What a session that is surely over had to say is old, however late it
	// comes.
	if m.State == Lapsed && rep.Incarnation <= m.SeenSession {
		return Stale
	}
	m.Glimpse(rep)
	switch {
	case m.proves(now, rep, checkin):
		m.Proven, m.Unproven = true, time.Time{}
	case m.Unproven.IsZero():
		// once is nothing: an answer was lost, or the holder is a new one
		m.Proven, m.Unproven = m.Proven && rep.Incarnation == m.Session, now
	default:
		m.Proven = false
	}
	v := Fresh
	if m.Session != 0 && rep.Incarnation > m.Session {
		v = Renewed
		m.OpenDo = 0 // commands of an earlier session are void
	}
	if m.Answered.IsZero() || rep.Incarnation > m.Session {
		// From here on the worker drops whatever an earlier tenure answers. A session's
		// lease counts from when it began, which may be a moment ago: an answer to an
		// earlier session, or to an old copy of its report, says nothing of its end.
		m.Answered = now
	}
	m.Session, m.Seq, m.Heard = rep.Incarnation, rep.Sequence, now
	if checkin {
		m.Checked = now
	}
	m.Address, m.Type, m.Zone, m.Spot = rep.Address, rep.Type, rep.Zone, rep.Spot
	m.Recall = time.Time{}
	if rep.PreemptionNoticeS != nil {
		m.Recall = now.Add(config.Seconds(*rep.PreemptionNoticeS))
	}
	m.Tasks = rep.Tasks
	if m.State != Deleting && m.State != Gone {
		r.Set(now, m, Up, "reported")
	}
	return v
}

// Quiet moves machines that have stopped reporting on, and returns those
// whose leases have just become surely over.
func (r *Registry) Quiet(now time.Time, unheardUntil time.Time) []*Machine {
	var over []*Machine
	for _, m := range r.order {
		switch m.State {
		case Up:
			if now.Sub(m.Heard) > r.silence()+r.Behind {
				r.Set(now, m, Silent, "no report")
			}
		case Silent, Deleting:
			if !now.After(m.leaseEnd(r.expiry, unheardUntil)) {
				continue
			}
			if m.State == Silent {
				r.Set(now, m, Lapsed, "lease surely over")
			} else if now.After(unheardUntil) {
				m.LeaseOver = true
			}
			if m.Busy > 0 {
				over = append(over, m)
			}
		case Unheard:
			if now.After(unheardUntil) && now.After(m.leaseEnd(r.expiry, unheardUntil)) {
				r.Set(now, m, Lapsed, "lease surely over, never heard")
				over = append(over, m)
			}
		}
	}
	return over
}

// leaseEnd is when the worker's lease is surely over if nothing more is heard.
func (m *Machine) leaseEnd(expiry time.Duration, unheardUntil time.Time) time.Time {
	if m.Answered.IsZero() {
		return unheardUntil
	}
	return m.Answered.Add(expiry)
}

func (r *Registry) silence() time.Duration {
	return config.Seconds(r.facts.HeartbeatS*tuning.SilentReports) + tuning.SilentGrace
}
