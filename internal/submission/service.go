// Package submission handles users' requests: it validates and accepts jobs, reports their state and
// cancels them. Every controller serves these requests from the records in the state service, whether or
// not it holds the lease of a shard.
//
// All methods must be called on the goroutine that owns the controller's state. None of them blocks: they
// pass the response to a callback, which may run before the method returns.
package submission

import (
	"log/slog"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Progress holds the task counts of an open job, as reported by its shard's lease holder.
type Progress struct {
	// Known is false if the lease holder has not replied, or cannot tell whether a task of the job runs. Nothing
	// may be concluded from the task counts then.
	Known                   bool
	CompletedTasks, Running int // numbers of tasks
}

// jobState returns the state of an open job with this progress, which must be known.
func (p Progress) jobState() string {
	if p.Running > 0 {
		return wire.JobRunning
	}
	return wire.JobPending
}

// QueryProgressFunc asks the lease holder of a shard for a job's progress. The callback may run before the
// call returns.
type QueryProgressFunc func(now time.Time, shard int, id string, callback func(now time.Time, progress Progress))

// Options holds the configuration and dependencies of a Service. All fields are required.
type Options struct {
	Platform  config.Platform
	Shards    int // number of shards of the deployment
	WallClock func() time.Time
	CallStore store.Caller
	Log       *slog.Logger
	// MachineTypes returns the machine types of the cloud by name, or an empty map while they are
	// not all known.
	MachineTypes func() map[string]wire.MachineType
	// OpenJobs caches the keys with the prefix OpenJobPrefix.
	OpenJobs      *store.WatchCache
	QueryProgress QueryProgressFunc
	// RecordCancellation is called before this controller first reports to a user that a job is
	// cancelled. A lease holder that cannot reach the state service learns of the cancellation only
	// from the controller that has reported it.
	RecordCancellation func(now time.Time, id string)
}

// Service serves users' requests on one controller. It is not safe for concurrent use.
type Service struct {
	options         Options
	catchUpInterval time.Duration // minimum time between two catch-ups of the open jobs

	writesInFlight  int // submissions and cancellations
	queriesInFlight int
	endedJobs       endedJobCache
}

// New returns a service without requests in flight and with an empty cache of ended jobs.
func New(options Options) *Service {
	return &Service{
		options:         options,
		catchUpInterval: catchUpInterval(options.Platform),
		endedJobs:       newEndedJobCache(),
	}
}

// catchUpInterval returns the minimum time between two catch-ups of the open jobs. It divides the share of
// the state service's request rate that is allotted to queries evenly among the controllers. It returns
// 0 if the rate is unlimited.
func catchUpInterval(platform config.Platform) time.Duration {
	if platform.State.RPS <= 0 {
		return 0
	}
	controllers := float64(max(1, platform.Nodes))
	return time.Duration(controllers / (platform.State.RPS * tuning.QueryRateShare) * float64(time.Second))
}

// observeEnd caches a job's final state and records a cancellation. It must run before the state is
// reported to a user.
func (s *Service) observeEnd(now time.Time, job wire.JobState) {
	if job.State == wire.JobCancelled {
		s.options.RecordCancellation(now, job.ID)
	}
	s.endedJobs.put(job)
}
