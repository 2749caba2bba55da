package store

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
)

// limitLevel selects the service limits that the rate limiter enforces.
type limitLevel int

const (
	limitsCurrent limitLevel = iota // current limits of the settings
	limitsLowered                   // upcoming limits, after rejections of the current ones
	limitsTrial                     // current limits again, to test whether calls are rejected
)

func (l limitLevel) String() string {
	return [...]string{"current", "lowered", "trial"}[l]
}

// serviceLimits selects the limits to enforce.
//
//	current  tuning.RateLowerRejections rejections  -> lowered
//	lowered  after loweredDuration                -> trial
//	trial    tuning.RateTrialRejections rejections  -> lowered
//	trial    after tuning.RateLowerWindow         -> current
type serviceLimits struct {
	current         config.StateLimits
	upcoming        config.StateLimits
	level           limitLevel
	levelEndsAt     time.Time     // end of the lowered level or the trial
	loweredDuration time.Duration // of the next lowered level; doubles each time
	rejections      int           // since rejectionsSince
	rejectionsSince time.Time
}

func newServiceLimits(limits config.StateLimits) serviceLimits {
	return serviceLimits{current: limits, upcoming: limits.Upcoming(), loweredDuration: tuning.RateRaiseInitial}
}

// effective returns the limits that the current level selects.
func (s *serviceLimits) effective() config.StateLimits {
	if s.level == limitsLowered {
		return s.upcoming
	}
	return s.current
}

// countSizeRejection records a size rejection. One is enough to lower the limits.
func (s *serviceLimits) countSizeRejection() { s.rejections = tuning.RateLowerRejections }

func (s *serviceLimits) countRateRejection(now time.Time) {
	if now.Sub(s.rejectionsSince) > tuning.RateLowerWindow {
		s.rejections, s.rejectionsSince = 0, now
	}
	s.rejections++
	if s.level == limitsLowered {
		// other members still use the current limits: extend the lowered level
		s.levelEndsAt = latest(s.levelEndsAt, now.Add(tuning.RateRaiseInitial))
	}
}

// shouldLower reports whether the rejections indicate that the service enforces the upcoming
// limits.
func (s *serviceLimits) shouldLower() bool {
	switch s.level {
	case limitsLowered:
		return false
	case limitsTrial:
		return s.rejections >= tuning.RateTrialRejections
	}
	return s.rejections >= tuning.RateLowerRejections
}

// levelAt returns the level at a time if no further call is rejected.
func (s *serviceLimits) levelAt(now time.Time) limitLevel {
	switch {
	case now.Before(s.levelEndsAt):
		return s.level
	case s.level == limitsLowered:
		return limitsTrial
	}
	return limitsCurrent
}

func (s *serviceLimits) setLevel(now time.Time, level limitLevel) {
	s.level = level
	s.rejections = 0
	switch level {
	case limitsLowered:
		s.levelEndsAt = now.Add(s.loweredDuration)
		s.loweredDuration = min(2*s.loweredDuration, tuning.RateRaiseMax)
	case limitsTrial:
		s.levelEndsAt = now.Add(tuning.RateLowerWindow)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
