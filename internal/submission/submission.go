// Package submission answers the users: it checks and accepts jobs, tells
// their state and cancels them. Any node does so, from the state service.
package submission

import (
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Progress is what is known of an open job's tasks.
type Progress struct {
	Known         bool
	Done, Running int
}

// Slice is this node's part in answering users.
type Slice struct {
	facts        config.Platform
	blocks       int
	wall         func() time.Time
	call         store.Caller
	log          *slog.Logger
	machineTypes func() map[string]wire.MachineType
	open         *store.WatchCache
	gap          time.Duration // between two looks at the open jobs
	progress     func(now time.Time, block int, id string, then func(now time.Time, p Progress))
	told         func(now time.Time, id string) // of a cancellation that a user is about to be told of

	inHand  int // submissions and cancellations under way
	queries int // questions under way
	finals  finals
}

// New makes the slice.
func New(facts config.Platform, blocks int, wall func() time.Time, call store.Caller, log *slog.Logger,
	machineTypes func() map[string]wire.MachineType, open *store.WatchCache,
	progress func(now time.Time, block int, id string, then func(now time.Time, p Progress)),
	told func(now time.Time, id string)) *Slice {
	gap := time.Duration(0)
	if facts.State.RPS > 0 {
		gap = time.Duration(float64(max(1, facts.Nodes)) / (facts.State.RPS * tuning.SyncShare) * float64(time.Second))
	}
	return &Slice{facts: facts, blocks: blocks, wall: wall, call: call, log: log, machineTypes: machineTypes, open: open, gap: gap, progress: progress, told: told,
		finals: finals{m: map[string]wire.JobState{}}}
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

// final remembers how a job ended, before any user is told of it.
func (s *Slice) final(now time.Time, st wire.JobState) {
	if st.State == wire.JobCancelled {
		s.told(now, st.ID)
	}
	s.finals.put(st)
}

// block chooses the block of a new job.
func (s *Slice) block(spec *wire.JobSpec) int {
	if quota.HasLimit(s.facts.Teams, spec.Team) {
		return quota.HomeShard(s.facts.Teams, spec.Team, s.blocks)
	}
	n := 0
	for _, c := range spec.ID {
		n = (n*31 + int(c)) % 1000003
	}
	return n % s.blocks
}

// check tells why a job can never run; undecided means that this node cannot
// tell yet.
func (s *Slice) check(spec *wire.JobSpec) (why string, undecided bool) {
	i := slices.IndexFunc(s.facts.Teams, func(t config.Team) bool { return t.Name == spec.Team })
	if i < 0 {
		return "unknown team", false
	}
	team := s.facts.Teams[i]
	n := 1.0
	if spec.Shape != wire.ShapeBatch {
		n = float64(spec.Tasks)
	}
	if team.CPUsMax > 0 && n*spec.Vcpus > team.CPUsMax+1e-6 || team.GPUsMax > 0 && n*spec.Gpus > team.GPUsMax+1e-6 {
		return "needs more than the team's limit", false
	}
	machineTypes := s.machineTypes()
	if len(machineTypes) == 0 {
		return "", true
	}
	need := quota.Resources{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGb}
	zones := map[string]bool{}
	for _, f := range machineTypes {
		if !spec.AnyType && !slices.Contains(spec.Types, f.Name) {
			continue
		}
		if !(quota.Resources{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb}).Fits(need) {
			continue
		}
		for _, y := range f.Zones {
			if spec.Zone == "" || spec.Zone == y {
				zones[y] = true
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "a task fits no allowed machine type", false
	case spec.Shape != wire.ShapeBatch && spec.SpreadAcrossZones && spec.Tasks > 1 && (spec.SameZone || len(zones) == 1):
		return "its tasks cannot be spread over zones", false
	}
	return "", false
}

// Submit takes a well-formed submission.
func (s *Slice) Submit(now time.Time, spec wire.JobSpec, reply func(Response)) {
	if f, ok := s.finals.m[spec.ID]; ok {
		reply(Response{Status: 200, Body: wire.JobAccepted{ID: f.ID, State: f.State}})
		return
	}
	why, undecided := s.check(&spec)
	if s.inHand >= tuning.SubmitsInHand {
		reply(Busy())
		return
	}
	status := 422
	if !spec.AnyType && why == "" && !undecided {
		// names of no type would only take room in the record
		spec.Types = slices.DeleteFunc(slices.Clone(spec.Types), func(b string) bool { _, ok := s.machineTypes()[b]; return !ok })
	}
	rec := OpenRec{Spec: spec, At: s.wall().UnixMilli(), Block: s.block(&spec)}
	if why == "" && !s.fits(rec) {
		why, status = tooLarge, 400
	}
	s.inHand++
	answer := func(r Response) {
		s.inHand--
		reply(r)
	}
	switch {
	case undecided:
		s.find(now, spec.ID, func(f found) {
			if f.stage == "" {
				answer(Unable("cannot tell yet"))
				return
			}
			answer(Response{Status: 200, Body: wire.JobAccepted{ID: spec.ID, State: f.stage}})
		})
	case why != "":
		s.refuseUnlessKnown(now, spec.ID, status, why, answer)
	default:
		s.write(now, rec, 0, answer)
	}
}

// fits tells whether a job's record fits the state service, now and after its limits fall.
func (s *Slice) fits(rec OpenRec) bool {
	raw, err := json.Marshal(rec)
	limit := int(s.facts.State.StoredLimits().ValueKB * 1024 * tuning.PageFill)
	return err == nil && (s.facts.State.ValueKB <= 0 || len(raw) <= limit)
}

// found is what a look at the records told of a job.
type found struct {
	sure    bool   // the records were read
	stage   string // "" if there is no such job
	done    int
	version uint64 // of the open entry
}

// find reads a job's records: the open entry first, then the end. As a job goes
// from one to the other in one transaction, it cannot be missed in between.
func (s *Slice) find(now time.Time, id string, then func(f found)) {
	s.call(store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: OpenKey(id)}, func(now time.Time, r store.Result) {
		switch {
		case errors.Is(r.Err, store.ErrNotFound):
			s.end(now, id, then)
			return
		case !r.OK():
			then(found{})
			return
		}
		r.KeyValue.Key = OpenKey(id)
		if _, err := ReadOpen(r.KeyValue); err != nil {
			s.log.Error("job entry cannot be read", "key", r.KeyValue.Key, "error", err)
			then(found{})
			return
		}
		then(found{sure: true, stage: wire.JobPending, version: r.KeyValue.Version})
	})
}

// end reads how a job that is not open ended.
func (s *Slice) end(now time.Time, id string, then func(f found)) {
	s.call(store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: JobKey(id)}, func(now time.Time, r store.Result) {
		var rec JobRec
		switch {
		case errors.Is(r.Err, store.ErrNotFound):
			then(found{sure: true})
		case !r.OK():
			then(found{})
		case json.Unmarshal(r.KeyValue.Value, &rec) != nil || rec.Stage != wire.JobDone && rec.Stage != wire.JobCancelled:
			s.log.Error("job record cannot be read", "key", JobKey(id))
			then(found{})
		default:
			s.final(now, wire.JobState{ID: id, State: rec.Stage, Done: rec.Done})
			then(found{sure: true, stage: rec.Stage, done: rec.Done})
		}
	})
}

func (s *Slice) write(now time.Time, rec OpenRec, tries int, reply func(Response)) {
	id := rec.Spec.ID
	s.call(store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(OpenKey(id), 0), store.VersionEquals(JobKey(id), 0)},
		Writes:   []wire.Write{store.Put(OpenKey(id), rec, 0)},
	}}, func(now time.Time, r store.Result) {
		switch {
		case r.OK():
			s.log.Debug("job accepted", "job", id, "class", rec.Spec.Class, "block", rec.Block)
			reply(Response{Status: 201, Body: wire.JobAccepted{ID: id, State: wire.JobPending}})
		case errors.Is(r.Err, store.ErrConflict):
			s.find(now, id, func(f found) {
				if f.stage == "" {
					reply(Unable("state service does not answer"))
					return
				}
				reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: f.stage}})
			})
		case errors.Is(r.Err, store.ErrNoResponse) && tries == 0:
			// perhaps written: the same transaction then finds the key there
			s.write(now, rec, tries+1, reply)
		case errors.Is(r.Err, store.ErrThrottled):
			reply(Busy())
		case errors.Is(r.Err, store.ErrInvalid):
			// too large by a limit that nobody announced; accepted before that, perhaps
			s.refuseUnlessKnown(now, id, 400, tooLarge, reply)
		default:
			reply(Unable("state service does not answer"))
		}
	})
}

// tooLarge is why a job is refused whose record the state service does not take.
const tooLarge = "too large to be kept"

// refuseUnlessKnown refuses a submission for good, unless the job was accepted before: it
// stays accepted, whatever the settings, the limits or the machine types have become.
func (s *Slice) refuseUnlessKnown(now time.Time, id string, status int, why string, reply func(Response)) {
	s.find(now, id, func(f found) {
		switch {
		case f.stage != "":
			reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: f.stage}})
		case !f.sure:
			reply(Unable("cannot tell yet"))
		default:
			reply(refuse(status, why, 0))
		}
	})
}
