// Package submission answers the users: it checks and accepts jobs, tells
// their state and cancels them. Any node does so, from the state service.
package submission

import (
	"encoding/json"
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

// Service is this node's part in answering users.
type Service struct {
	config             config.Platform
	shards             int
	wallClock          func() time.Time
	callStore          store.Caller
	log                *slog.Logger
	machineTypes       func() map[string]wire.MachineType
	openJobs           *store.WatchCache
	refreshInterval    time.Duration // between two looks at the open jobs
	queryProgress      func(now time.Time, shard int, id string, callback func(now time.Time, p Progress))
	recordCancellation func(now time.Time, id string) // of a cancellation that a user is about to be told of

	writesInFlight  int // submissions and cancellations under way
	queriesInFlight int // questions under way
	endedJobs       endedJobCache
}

// New makes the slice.
func New(deployment config.Platform, shards int, wallClock func() time.Time, callStore store.Caller, log *slog.Logger,
	machineTypes func() map[string]wire.MachineType, openJobs *store.WatchCache,
	queryProgress func(now time.Time, shard int, id string, callback func(now time.Time, p Progress)),
	recordCancellation func(now time.Time, id string)) *Service {
	refreshInterval := time.Duration(0)
	if deployment.State.RPS > 0 {
		refreshInterval = time.Duration(float64(max(1, deployment.Nodes)) / (deployment.State.RPS * tuning.QueryRateShare) * float64(time.Second))
	}
	return &Service{config: deployment, shards: shards, wallClock: wallClock, callStore: callStore, log: log, machineTypes: machineTypes, openJobs: openJobs, refreshInterval: refreshInterval, queryProgress: queryProgress, recordCancellation: recordCancellation,
		endedJobs: endedJobCache{byID: map[string]wire.JobState{}}}
}

// endedJobCache remembers how jobs ended, the newest ones.
type endedJobCache struct {
	byID map[string]wire.JobState
	ring []string
	next int
}

func (c *endedJobCache) put(job wire.JobState) {
	if _, ok := c.byID[job.ID]; ok {
		return
	}
	if len(c.ring) < tuning.EndedJobsKept {
		c.ring = append(c.ring, job.ID)
	} else {
		delete(c.byID, c.ring[c.next])
		c.ring[c.next] = job.ID
		c.next = (c.next + 1) % len(c.ring)
	}
	c.byID[job.ID] = job
}

// rememberEnd remembers how a job ended, before any user is told of it.
func (s *Service) rememberEnd(now time.Time, job wire.JobState) {
	if job.State == wire.JobCancelled {
		s.recordCancellation(now, job.ID)
	}
	s.endedJobs.put(job)
}

// chooseShard chooses the block of a new job.
func (s *Service) chooseShard(spec *wire.JobSpec) int {
	if quota.HasLimit(s.config.Teams, spec.Team) {
		return quota.HomeShard(s.config.Teams, spec.Team, s.shards)
	}
	hash := 0
	for _, letter := range spec.ID {
		hash = (hash*31 + int(letter)) % 1000003
	}
	return hash % s.shards
}

// checkFeasible tells why a job can never run; undecided means that this node cannot
// tell yet.
func (s *Service) checkFeasible(spec *wire.JobSpec) (reason string, undecided bool) {
	teamIndex := slices.IndexFunc(s.config.Teams, func(candidate config.Team) bool { return candidate.Name == spec.Team })
	if teamIndex < 0 {
		return "unknown team", false
	}
	team := s.config.Teams[teamIndex]
	tasks := 1.0
	if spec.Shape != wire.ShapeBatch {
		tasks = float64(spec.Tasks)
	}
	if team.CPUsMax > 0 && tasks*spec.Vcpus > team.CPUsMax+1e-6 || team.GPUsMax > 0 && tasks*spec.Gpus > team.GPUsMax+1e-6 {
		return "needs more than the team's limit", false
	}
	machineTypes := s.machineTypes()
	if len(machineTypes) == 0 {
		return "", true
	}
	required := quota.Resources{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGb}
	zones := map[string]bool{}
	for _, machineType := range machineTypes {
		if !spec.AnyType && !slices.Contains(spec.Types, machineType.Name) {
			continue
		}
		if !(quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGb}).Fits(required) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				zones[zone] = true
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
func (s *Service) Submit(now time.Time, spec wire.JobSpec, reply func(Response)) {
	if job, ok := s.endedJobs.byID[spec.ID]; ok {
		reply(Response{Status: 200, Body: wire.JobAccepted{ID: job.ID, State: job.State}})
		return
	}
	reason, undecided := s.checkFeasible(&spec)
	if s.writesInFlight >= tuning.MaxSubmissionsInFlight {
		reply(BusyResponse())
		return
	}
	status := 422
	if !spec.AnyType && reason == "" && !undecided {
		// names of no type would only take room in the record
		spec.Types = slices.DeleteFunc(slices.Clone(spec.Types), func(name string) bool { _, ok := s.machineTypes()[name]; return !ok })
	}
	record := OpenJobRecord{Spec: spec, AcceptedAt: s.wallClock().UnixMilli(), Shard: s.chooseShard(&spec)}
	if reason == "" && !s.recordFits(record) {
		reason, status = reasonTooLarge, 400
	}
	s.writesInFlight++
	answer := func(r Response) {
		s.writesInFlight--
		reply(r)
	}
	switch {
	case undecided:
		s.lookUp(now, spec.ID, func(job jobLookup) {
			if job.stage == "" {
				answer(UnavailableResponse("cannot tell yet"))
				return
			}
			answer(Response{Status: 200, Body: wire.JobAccepted{ID: spec.ID, State: job.stage}})
		})
	case reason != "":
		s.refuseUnlessAccepted(now, spec.ID, status, reason, answer)
	default:
		s.create(now, record, 0, answer)
	}
}

// recordFits tells whether a job's record fits the state service, now and after its limits fall.
func (s *Service) recordFits(record OpenJobRecord) bool {
	raw, err := json.Marshal(record)
	limit := int(s.config.State.StoredLimits().ValueKB * 1024 * tuning.PageFillShare)
	return err == nil && (s.config.State.ValueKB <= 0 || len(raw) <= limit)
}

// jobLookup is what a look at the records told of a job.
type jobLookup struct {
	certain bool   // the records were read
	stage   string // "" if there is no such job
	done    int
	version uint64 // of the open entry
}

// lookUp reads a job's records: the open entry first, then the end. As a job goes
// from one to the other in one transaction, it cannot be missed in between.
func (s *Service) lookUp(now time.Time, id string, callback func(lookup jobLookup)) {
	s.callStore(store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: OpenJobKey(id)}, func(now time.Time, result store.Result) {
		switch {
		case result.Status == 404:
			s.lookUpEnd(now, id, callback)
			return
		case !result.OK():
			callback(jobLookup{})
			return
		}
		result.KeyValue.Key = OpenJobKey(id)
		if _, err := ParseOpenJob(result.KeyValue); err != nil {
			s.log.Error("job entry cannot be read", "key", result.KeyValue.Key, "error", err)
			callback(jobLookup{})
			return
		}
		callback(jobLookup{certain: true, stage: wire.JobPending, version: result.KeyValue.Version})
	})
}

// lookUpEnd reads how a job that is not open ended.
func (s *Service) lookUpEnd(now time.Time, id string, callback func(lookup jobLookup)) {
	s.callStore(store.Call{Op: store.OpGet, Priority: store.PriorityUser, Key: JobEndKey(id)}, func(now time.Time, result store.Result) {
		var record JobEndRecord
		switch {
		case result.Status == 404:
			callback(jobLookup{certain: true})
		case !result.OK():
			callback(jobLookup{})
		case json.Unmarshal(result.KeyValue.Value, &record) != nil || record.Stage != wire.JobDone && record.Stage != wire.JobCancelled:
			s.log.Error("job record cannot be read", "key", JobEndKey(id))
			callback(jobLookup{})
		default:
			s.rememberEnd(now, wire.JobState{ID: id, State: record.Stage, Done: record.Done})
			callback(jobLookup{certain: true, stage: record.Stage, done: record.Done})
		}
	})
}

func (s *Service) create(now time.Time, record OpenJobRecord, attempt int, reply func(Response)) {
	id := record.Spec.ID
	s.callStore(store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(OpenJobKey(id), 0), store.VersionEquals(JobEndKey(id), 0)},
		Writes:   []wire.Write{store.Put(OpenJobKey(id), record, 0)},
	}}, func(now time.Time, result store.Result) {
		switch {
		case result.OK():
			s.log.Debug("job accepted", "job", id, "class", record.Spec.Class, "block", record.Shard)
			reply(Response{Status: 201, Body: wire.JobAccepted{ID: id, State: wire.JobPending}})
		case result.Status == 409:
			s.lookUp(now, id, func(lookup jobLookup) {
				if lookup.stage == "" {
					reply(UnavailableResponse("state service does not answer"))
					return
				}
				reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: lookup.stage}})
			})
		case result.Status == 0 && attempt == 0:
			// perhaps written: the same transaction then finds the key there
			s.create(now, record, attempt+1, reply)
		case result.Status == 429:
			reply(BusyResponse())
		case result.Status == 400:
			// too large by a limit that nobody announced; accepted before that, perhaps
			s.refuseUnlessAccepted(now, id, 400, reasonTooLarge, reply)
		default:
			reply(UnavailableResponse("state service does not answer"))
		}
	})
}

// reasonTooLarge is why a job is refused whose record the state service does not take.
const reasonTooLarge = "too large to be kept"

// refuseUnlessAccepted refuses a submission for good, unless the job was accepted before: it
// stays accepted, whatever the settings, the limits or the machine types have become.
func (s *Service) refuseUnlessAccepted(now time.Time, id string, status int, reason string, reply func(Response)) {
	s.lookUp(now, id, func(lookup jobLookup) {
		switch {
		case lookup.stage != "":
			reply(Response{Status: 200, Body: wire.JobAccepted{ID: id, State: lookup.stage}})
		case !lookup.certain:
			reply(UnavailableResponse("cannot tell yet"))
		default:
			reply(errorResponse(status, reason, 0))
		}
	})
}
