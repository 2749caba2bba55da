// Package submission handles the users' requests: it validates and accepts jobs, reports
// their state and cancels them. Every controller does so, from the records in the state
// service, whether or not it holds the lease of a shard.
//
// All methods run on the goroutine that owns the controller's state. None of them blocks:
// the response is passed to a callback, which may run before the method returns.
package submission

import (
	"log/slog"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Progress is what a shard's owner reports of an open job's tasks.
type Progress struct {
	Known         bool // false when the owner has not answered or does not know the job
	Done, Running int  // tasks
}

// ProgressQuery asks the owner of a shard for a job's progress.
type ProgressQuery func(now time.Time, shard int, id string, callback func(now time.Time, progress Progress))

// Options are what a Service needs. All are required.
type Options struct {
	Platform  config.Platform
	Shards    int // number of shards of the deployment
	WallClock func() time.Time
	CallStore store.Caller
	Log       *slog.Logger
	// MachineTypes returns the machine types that the cloud offers by name, empty while
	// they are not all known.
	MachineTypes func() map[string]wire.MachineType
	// OpenJobs is the watch cache of the keys below OpenJobPrefix.
	OpenJobs      *store.WatchCache
	QueryProgress ProgressQuery
	// RecordCancellation is called before this controller first reports to a user that a
	// job is cancelled: the owner of a shard that has lost the state service can learn of
	// it only from the controller that reported it.
	RecordCancellation func(now time.Time, id string)
}

// Service handles the users' requests on one controller.
type Service struct {
	options         Options
	refreshInterval time.Duration // least time between two refreshes of the open jobs

	writesInFlight  int // submissions and cancellations
	queriesInFlight int
	endedJobs       endedJobCache
}

// New returns a service without requests in flight.
func New(options Options) *Service {
	return &Service{
		options:         options,
		refreshInterval: refreshInterval(options.Platform),
		endedJobs:       newEndedJobCache(),
	}
}

// refreshInterval divides the part of the state service's rate that is left to queries
// between the controllers. It is 0 when the rate has no limit.
func refreshInterval(platform config.Platform) time.Duration {
	if platform.State.RPS <= 0 {
		return 0
	}
	controllers := float64(max(1, platform.Nodes))
	return time.Duration(controllers / (platform.State.RPS * tuning.QueryRateShare) * float64(time.Second))
}

// rememberEnd remembers how a job ended. It must run before that is reported to a user.
func (s *Service) rememberEnd(now time.Time, job wire.JobState) {
	if job.State == wire.JobCancelled {
		s.options.RecordCancellation(now, job.ID)
	}
	s.endedJobs.put(job)
}
