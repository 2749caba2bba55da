// Package submission answers the users: it checks and accepts jobs, tells
// their state and cancels them. Any node does so, from the state service.
package submission

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// JobRec is a job's record at JobKey, which is never removed. It changes when
// the job ends or moves to another block, each time conditioned on its version.
type JobRec struct {
	Stage string // pending until done or withdrawn
	Block int
	Done  int `json:",omitempty"`
}

// OpenRec is an open job's entry in its block's list. It is written and
// removed together with each change of the job's record, so that both have the
// same version while the job is open.
type OpenRec struct {
	Spec wire.Submission
	At   int64 // when it was accepted, ms of the time of day
}

// JobKey is the key of a job's record.
func JobKey(id string) string { return "j/" + id }

// OpenUnder is the prefix of a block's list of open jobs.
func OpenUnder(block int) string { return "q/" + strconv.Itoa(block) + "/" }

// OpenKey is the key of an open job's entry.
func OpenKey(block int, id string) string { return OpenUnder(block) + id }

// Response is an answer to a user.
type Response struct {
	Status     int
	Body       any
	RetryAfter int // seconds; 0: none
}

// Problem is the body of a refusal.
type Problem struct {
	Error string `json:"error"`
}

func refuse(status int, why string, retry int) Response {
	return Response{Status: status, Body: Problem{why}, RetryAfter: retry}
}

// Busy is the answer when a stage is full.
func Busy() Response { return refuse(429, "too many requests at once", tuning.RetryAfterBusy) }

// Unable is the answer while a node cannot decide.
func Unable(why string) Response { return refuse(503, why, tuning.RetryAfterUnable) }

// Progress is what is known of an open job's tasks.
type Progress struct {
	Known         bool
	Done, Running int
}

// Slice is this node's part in answering users.
type Slice struct {
	facts    config.Facts
	blocks   int
	wall     func() time.Time
	call     store.Caller
	log      *slog.Logger
	flavors  func() map[string]wire.Flavor
	progress func(now time.Time, block int, id string, then func(now time.Time, p Progress))

	inHand int // submissions and cancellations under way
	reads  map[string]*read
	finals finals
}

type read struct {
	next []func(now time.Time, r store.Result) // for the read after this one
}

// New makes the slice.
func New(facts config.Facts, blocks int, wall func() time.Time, call store.Caller, log *slog.Logger,
	flavors func() map[string]wire.Flavor,
	progress func(now time.Time, block int, id string, then func(now time.Time, p Progress))) *Slice {
	return &Slice{facts: facts, blocks: blocks, wall: wall, call: call, log: log, flavors: flavors, progress: progress,
		reads: map[string]*read{}, finals: finals{m: map[string]wire.JobState{}}}
}

// finals remembers how jobs ended, the newest ones.
type finals struct {
	m    map[string]wire.JobState
	ring []string
	at   int
}

func (f *finals) put(s wire.JobState) {
	if _, ok := f.m[s.ID]; ok {
		return
	}
	if len(f.ring) < tuning.FinalsKept {
		f.ring = append(f.ring, s.ID)
	} else {
		delete(f.m, f.ring[f.at])
		f.ring[f.at] = s.ID
		f.at = (f.at + 1) % len(f.ring)
	}
	f.m[s.ID] = s
}

// block chooses the block of a new job.
func (s *Slice) block(spec *wire.Submission) int {
	if quota.Limited(s.facts.Teams, spec.Crew) {
		return quota.Home(s.facts.Teams, spec.Crew, s.blocks)
	}
	n := 0
	for _, c := range spec.ID {
		n = (n*31 + int(c)) % 1000003
	}
	return n % s.blocks
}

// check tells why a job can never run; undecided means that this node cannot
// tell yet.
func (s *Slice) check(spec *wire.Submission) (why string, undecided bool) {
	i := slices.IndexFunc(s.facts.Teams, func(t config.Team) bool { return t.Name == spec.Crew })
	if i < 0 {
		return "unknown team", false
	}
	team := s.facts.Teams[i]
	n := 1.0
	if spec.Shape != wire.ShapeBatch {
		n = float64(spec.Pieces)
	}
	if team.CPUsMax > 0 && n*spec.Vcpus > team.CPUsMax+1e-6 || team.GPUsMax > 0 && n*spec.Gpus > team.GPUsMax+1e-6 {
		return "needs more than the team's limit", false
	}
	flavors := s.flavors()
	if len(flavors) == 0 {
		return "", true
	}
	need := quota.Room{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGb}
	yards := map[string]bool{}
	for _, f := range flavors {
		if !spec.AnyBuild && !slices.Contains(spec.Builds, f.Name) {
			continue
		}
		if !(quota.Room{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb}).Fits(need) {
			continue
		}
		for _, y := range f.Yards {
			if spec.Yard == "" || spec.Yard == y {
				yards[y] = true
			}
		}
	}
	switch {
	case len(yards) == 0:
		return "a task fits no allowed machine type", false
	case spec.Shape != wire.ShapeBatch && spec.Apart && spec.Pieces > 1 && (spec.Together || len(yards) == 1):
		return "its tasks cannot be spread over zones", false
	}
	return "", false
}

// Submit takes a well-formed submission.
func (s *Slice) Submit(now time.Time, spec wire.Submission, reply func(Response)) {
	if f, ok := s.finals.m[spec.ID]; ok {
		reply(Response{Status: 200, Body: wire.Accepted{ID: f.ID, Stage: f.Stage}})
		return
	}
	why, undecided := s.check(&spec)
	if s.inHand >= tuning.SubmitsInHand {
		reply(Busy())
		return
	}
	if why != "" || undecided {
		// A job that was accepted stays accepted, whatever the settings or
		// the machine types say by the time its user asks again.
		s.inHand++
		s.get(now, spec.ID, func(now time.Time, r store.Result) {
			s.inHand--
			switch {
			case r.OK():
				s.known(r, spec.ID, reply)
			case r.Status != 404 || undecided:
				reply(Unable("cannot tell yet"))
			default:
				reply(refuse(422, why, 0))
			}
		})
		return
	}
	if !spec.AnyBuild {
		// names of no type would only take room in the record
		spec.Builds = slices.DeleteFunc(slices.Clone(spec.Builds), func(b string) bool { _, ok := s.flavors()[b]; return !ok })
	}
	s.inHand++
	s.write(now, spec, 0, func(r Response) {
		s.inHand--
		reply(r)
	})
}

// known answers for a job that has a record.
func (s *Slice) known(r store.Result, id string, reply func(Response)) {
	rec, ok := s.decode(r.Item, id)
	if !ok {
		reply(Unable("record cannot be read"))
		return
	}
	reply(Response{Status: 200, Body: wire.Accepted{ID: id, Stage: rec.Stage}})
}

func (s *Slice) decode(it wire.Item, id string) (JobRec, bool) {
	var rec JobRec
	if err := json.Unmarshal(it.Value, &rec); err != nil || rec.Stage == "" {
		s.log.Error("job record cannot be read", "job", id, "error", err)
		return rec, false
	}
	if rec.Stage == wire.JobDone || rec.Stage == wire.JobWithdrawn {
		s.finals.put(wire.JobState{ID: id, Stage: rec.Stage, Done: rec.Done})
	}
	return rec, true
}

func (s *Slice) write(now time.Time, spec wire.Submission, tries int, reply func(Response)) {
	block := s.block(&spec)
	s.call(store.Call{Op: store.OpMulti, Class: store.ClassUser, Multi: wire.Multi{
		When: []wire.Cond{store.Is(JobKey(spec.ID), 0)},
		Writes: []wire.Write{
			store.Put(JobKey(spec.ID), JobRec{Stage: wire.JobPending, Block: block}, 0),
			store.Put(OpenKey(block, spec.ID), OpenRec{Spec: spec, At: s.wall().UnixMilli()}, 0),
		},
	}}, func(now time.Time, r store.Result) {
		switch {
		case r.OK():
			s.log.Debug("job accepted", "job", spec.ID, "class", spec.Lane, "block", block)
			reply(Response{Status: 201, Body: wire.Accepted{ID: spec.ID, Stage: wire.JobPending}})
		case r.Status == 409:
			s.get(now, spec.ID, func(now time.Time, r store.Result) {
				if !r.OK() {
					reply(Unable("state service does not answer"))
					return
				}
				s.known(r, spec.ID, reply)
			})
		case r.Status == 0 && tries == 0:
			// perhaps written: the same transaction then finds the key there
			s.write(now, spec, tries+1, reply)
		case r.Status == 429:
			reply(Busy())
		default:
			reply(Unable("state service does not answer"))
		}
	})
}

// get reads a job's record. Requests that come while a read is under way
// share the one after it: the one under way may be older than they are.
func (s *Slice) get(now time.Time, id string, then func(now time.Time, r store.Result)) {
	if rd := s.reads[id]; rd != nil {
		rd.next = append(rd.next, then)
		return
	}
	rd := &read{}
	s.reads[id] = rd
	s.fetch(now, id, rd, []func(time.Time, store.Result){then})
}

func (s *Slice) fetch(now time.Time, id string, rd *read, waiting []func(time.Time, store.Result)) {
	s.call(store.Call{Op: store.OpGet, Class: store.ClassUser, Key: JobKey(id)}, func(now time.Time, r store.Result) {
		next := rd.next
		rd.next = nil
		if len(next) > 0 {
			s.fetch(now, id, rd, next)
		} else {
			delete(s.reads, id)
		}
		for _, f := range waiting {
			f(now, r)
		}
	})
}

// Query tells a job's state.
func (s *Slice) Query(now time.Time, id string, reply func(Response)) {
	if !wire.ValidID(id) {
		reply(refuse(404, "no such job", 0))
		return
	}
	if f, ok := s.finals.m[id]; ok {
		reply(Response{Status: 200, Body: f})
		return
	}
	if len(s.reads) >= tuning.ReadsInHand {
		reply(Busy())
		return
	}
	s.get(now, id, func(now time.Time, r store.Result) {
		switch r.Status {
		case 200:
		case 404:
			reply(refuse(404, "no such job", 0))
			return
		case 429:
			reply(Busy())
			return
		default:
			reply(Unable("state service does not answer"))
			return
		}
		rec, ok := s.decode(r.Item, id)
		if !ok {
			reply(Unable("record cannot be read"))
			return
		}
		if rec.Stage != wire.JobPending {
			reply(Response{Status: 200, Body: wire.JobState{ID: id, Stage: rec.Stage, Done: rec.Done}})
			return
		}
		s.progress(now, rec.Block, id, func(now time.Time, p Progress) {
			st := wire.JobState{ID: id, Stage: wire.JobPending, Done: p.Done, Running: p.Running}
			if p.Running > 0 {
				st.Stage = wire.JobRunning
			}
			reply(Response{Status: 200, Body: st})
		})
	})
}

// Cancel withdraws a job unless it is done already.
func (s *Slice) Cancel(now time.Time, id string, reply func(Response)) {
	if !wire.ValidID(id) {
		reply(refuse(404, "no such job", 0))
		return
	}
	if f, ok := s.finals.m[id]; ok {
		reply(Response{Status: 200, Body: wire.Accepted{ID: id, Stage: f.Stage}})
		return
	}
	if s.inHand >= tuning.SubmitsInHand {
		reply(Busy())
		return
	}
	s.inHand++
	s.cancel(now, id, 0, func(r Response) {
		s.inHand--
		reply(r)
	})
}

func (s *Slice) cancel(now time.Time, id string, tries int, reply func(Response)) {
	s.get(now, id, func(now time.Time, r store.Result) {
		if r.Status == 404 {
			reply(refuse(404, "no such job", 0))
			return
		}
		if !r.OK() {
			reply(Unable("state service does not answer"))
			return
		}
		rec, ok := s.decode(r.Item, id)
		if !ok {
			reply(Unable("record cannot be read"))
			return
		}
		if rec.Stage != wire.JobPending {
			reply(Response{Status: 200, Body: wire.Accepted{ID: id, Stage: rec.Stage}})
			return
		}
		s.call(store.Call{Op: store.OpMulti, Class: store.ClassUser, Multi: wire.Multi{
			When: []wire.Cond{store.Is(JobKey(id), r.Item.Stamp)},
			Writes: []wire.Write{
				store.Put(JobKey(id), JobRec{Stage: wire.JobWithdrawn, Block: rec.Block}, 0),
				store.Remove(OpenKey(rec.Block, id)),
			},
		}}, func(now time.Time, r store.Result) {
			switch {
			case r.OK():
				s.log.Debug("job cancelled", "job", id)
				s.finals.put(wire.JobState{ID: id, Stage: wire.JobWithdrawn})
				reply(Response{Status: 200, Body: wire.Accepted{ID: id, Stage: wire.JobWithdrawn}})
			case (r.Status == 409 || r.Status == 0) && tries < tuning.CancelTries:
				// changed under us, or perhaps written: look again
				s.cancel(now, id, tries+1, reply)
			case r.Status == 429:
				reply(Busy())
			default:
				reply(Unable("state service does not answer"))
			}
		})
	})
}
