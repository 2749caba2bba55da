package store

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// limitState is a state of serviceLimits. limitsCurrent and limitsTrial enforce the same limits and
// differ in the number of rejections that ends them.
type limitState int

const (
	limitsCurrent limitState = iota // current limits of the settings
	limitsLowered                   // upcoming limits, after rejections of the current ones
	limitsTrial                     // current limits again, to test whether calls are rejected
)

func (l limitState) String() string {
	return [...]string{"current", "lowered", "trial"}[l]
}

// serviceLimits selects the limits to enforce.
//
//	current  tuning.LimitRejectionThreshold rejections -> lowered
//	lowered  after loweredDuration                     -> trial
//	trial    tuning.TrialRejectionThreshold rejections -> lowered
//	trial    after tuning.LimitRejectionWindow         -> current
type serviceLimits struct {
	current         config.StateLimits
	upcoming        config.StateLimits
	state           limitState
	stateEndsAt     time.Time     // end of the lowered state or the trial
	loweredDuration time.Duration // of the next lowered state; doubles each time
	rejections      int           // since rejectionsSince
	rejectionsSince time.Time
}

func newServiceLimits(limits config.StateLimits) serviceLimits {
	return serviceLimits{
		current:         limits,
		upcoming:        limits.Upcoming(),
		loweredDuration: tuning.LoweredLimitsInitialDuration,
	}
}

// effective returns the limits that are enforced in the current state.
func (s *serviceLimits) effective() config.StateLimits {
	if s.state == limitsLowered {
		return s.upcoming
	}
	return s.current
}

// countSizeRejection records a size rejection. One is enough to lower the limits.
func (s *serviceLimits) countSizeRejection() { s.rejections = tuning.LimitRejectionThreshold }

func (s *serviceLimits) countRateRejection(now time.Time) {
	if now.Sub(s.rejectionsSince) > tuning.LimitRejectionWindow {
		s.rejections, s.rejectionsSince = 0, now
	}
	s.rejections++
	if s.state == limitsLowered {
		// other members still use the current limits: extend the lowered state
		s.stateEndsAt = latest(s.stateEndsAt, now.Add(tuning.LoweredLimitsInitialDuration))
	}
}

// shouldLower reports whether the rejections indicate that the service enforces the upcoming
// limits.
func (s *serviceLimits) shouldLower() bool {
	switch s.state {
	case limitsLowered:
		return false
	case limitsTrial:
		return s.rejections >= tuning.TrialRejectionThreshold
	}
	return s.rejections >= tuning.LimitRejectionThreshold
}

// stateAt returns the state at a time if no further call is rejected.
func (s *serviceLimits) stateAt(now time.Time) limitState {
	switch {
	case now.Before(s.stateEndsAt):
		return s.state
	case s.state == limitsLowered:
		return limitsTrial
	}
	return limitsCurrent
}

func (s *serviceLimits) setState(now time.Time, state limitState) {
	s.state = state
	s.rejections = 0
	switch state {
	case limitsLowered:
		s.stateEndsAt = now.Add(s.loweredDuration)
		s.loweredDuration = min(2*s.loweredDuration, tuning.LoweredLimitsMaxDuration)
	case limitsTrial:
		s.stateEndsAt = now.Add(tuning.LimitRejectionWindow)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
