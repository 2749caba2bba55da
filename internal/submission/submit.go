package submission

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Parameters of the hash that distributes jobs over shards. The resulting shard is stored in the job's
// record.
const (
	shardHashFactor  = 31
	shardHashModulus = 1000003
)

// Submit accepts or rejects a job. The spec must be syntactically valid. The request is idempotent: a
// repeated submission of an accepted job gets the job's state, even if the job would be rejected now.
func (s *Service) Submit(spec wire.JobSpec, reply func(Response)) {
	if job, ok := s.endedJobs.get(spec.ID); ok {
		reply(stateResponse(job.ID, job.State))
		return
	}
	if s.writesInFlight >= tuning.MaxSubmissionsInFlight {
		reply(BusyResponse())
		return
	}
	s.writesInFlight++
	finish := func(response Response) {
		s.writesInFlight--
		reply(response)
	}
	record, err := s.newRecord(spec)
	if err != nil {
		s.rejectUnlessAccepted(spec.ID, err, finish)
		return
	}
	s.create(record, 0, finish)
}

// newRecord returns the record of a new job, or the reason why the job cannot be accepted now.
func (s *Service) newRecord(spec wire.JobSpec) (OpenJobRecord, error) {
	machineTypes := s.options.MachineTypes()
	if err := checkFeasible(&spec, s.options.Platform.Teams, machineTypes); err != nil {
		return OpenJobRecord{}, err
	}
	if !spec.AnyType {
		// Unknown machine types would only enlarge the record.
		spec.Types = slices.DeleteFunc(slices.Clone(spec.Types), func(name string) bool {
			_, ok := machineTypes[name]
			return !ok
		})
	}
	record := OpenJobRecord{
		Spec:       spec,
		AcceptedAt: s.options.WallClock().UnixMilli(),
		Shard:      s.chooseShard(&spec),
	}
	if !s.fitsStore(record) {
		return OpenJobRecord{}, errRecordTooLarge
	}
	return record, nil
}

// chooseShard returns the shard of a new job. All jobs of a team with a limit are assigned to the team's
// home shard, so that one lease holder can enforce the limit without coordination.
func (s *Service) chooseShard(spec *wire.JobSpec) int {
	teams, shards := s.options.Platform.Teams, s.options.Shards
	if quota.HasLimit(teams, spec.Team) {
		return quota.HomeShard(teams, spec.Team, shards)
	}
	hash := 0
	for _, char := range spec.ID {
		hash = (hash*shardHashFactor + int(char)) % shardHashModulus
	}
	return hash % shards
}

// fitsStore reports whether a record is within the value size limit of the state service, both the
// current one and an announced future one.
func (s *Service) fitsStore(record OpenJobRecord) bool {
	raw, err := json.Marshal(record)
	if err != nil {
		return false
	}
	limits := s.options.Platform.State
	if limits.ValueKB <= 0 {
		return true
	}
	return len(raw) <= int(limits.RecordLimits().ValueKB*1024*tuning.PageFillShare)
}

// create writes the record of a new job unless the job already has a record, open or ended.
func (s *Service) create(record OpenJobRecord, attempt int, reply func(Response)) {
	id := record.Spec.ID
	transaction := wire.Transaction{
		Compares: []wire.Compare{store.VersionEquals(OpenJobKey(id), 0), store.VersionEquals(JobEndKey(id), 0)},
		Writes:   []wire.Write{store.Put(OpenJobKey(id), record, 0)},
	}
	call := store.Call{Op: store.OpTransaction, Priority: store.PriorityUser, Transaction: transaction}
	s.options.CallStore(call, func(_ time.Time, result store.Result) {
		switch {
		case result.OK():
			s.options.Log.Debug("job accepted", "job", id, "class", record.Spec.Class, "shard", record.Shard)
			reply(acceptedResponse(id))
		case errors.Is(result.Err, store.ErrConflict):
			s.replyExisting(record, reply)
		case errors.Is(result.Err, store.ErrNoResponse) && attempt == 0:
			// The write may have been executed. If it was, the retry fails with a conflict.
			s.create(record, attempt+1, reply)
		case errors.Is(result.Err, store.ErrThrottled):
			reply(BusyResponse())
		case errors.Is(result.Err, store.ErrInvalid):
			// The record exceeds a limit that was not announced. The limit may have been lowered
			// after the job was accepted.
			s.rejectUnlessAccepted(id, errRecordTooLarge, reply)
		default:
			reply(UnavailableResponse(reasonStoreUnavailable))
		}
	})
}

// replyExisting replies to the submission of a job that is known to have a record. submitted is the record that
// this submission tried to write.
func (s *Service) replyExisting(submitted OpenJobRecord, reply func(Response)) {
	id := submitted.Spec.ID
	s.lookUp(id, func(now time.Time, found jobStatus, err error) {
		switch {
		case err != nil:
			reply(UnavailableResponse(reasonStoreUnavailable))
		case found.open && found.record.AcceptedAt == submitted.AcceptedAt:
			// An earlier try of this submission has written the record, and got no response.
			reply(acceptedResponse(id))
		default:
			s.replyAccepted(now, id, found, reply)
		}
	})
}

// rejectUnlessAccepted replies with a rejection unless the job was accepted before. An accepted job stays
// accepted even if the settings, limits or machine types have changed since.
func (s *Service) rejectUnlessAccepted(id string, reason error, reply func(Response)) {
	s.lookUp(id, func(now time.Time, found jobStatus, err error) {
		switch {
		case err == nil:
			s.replyAccepted(now, id, found, reply)
		case errors.Is(err, errJobNotFound):
			reply(rejectionResponse(reason))
		default:
			reply(UnavailableResponse(reasonUndecided))
		}
	})
}

// replyAccepted replies to the repeated submission of an accepted job with the job's state.
func (s *Service) replyAccepted(now time.Time, id string, found jobStatus, reply func(Response)) {
	if !found.open {
		reply(stateResponse(id, found.endState))
		return
	}
	s.options.QueryProgress(now, found.record.Shard, id, func(_ time.Time, progress Progress) {
		if !progress.Known {
			reply(UnavailableResponse(reasonProgressUnknown))
			return
		}
		// The job may have ended during the progress query, and another controller may already have reported
		// its final state to a user.
		s.lookUp(id, func(now time.Time, found jobStatus, err error) {
			switch {
			case err != nil:
				reply(UnavailableResponse(reasonStoreUnavailable))
			case !found.open:
				reply(stateResponse(id, found.endState))
			default:
				reply(stateResponse(id, progress.jobState()))
			}
		})
	})
}
