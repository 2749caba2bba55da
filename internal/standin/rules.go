package standin

import (
	"fmt"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Rule names one of the protocol's rules, or another expectation of a test.
type Rule string

// The protocol's rules that the cluster checks.
const (
	RanTwice     Rule = "ran_twice"
	QuotaBroken  Rule = "quota"
	WrongPlace   Rule = "wrong_place"
	RanCancelled Rule = "ran_cancelled"
	Forgotten    Rule = "forgotten"
	NotDone      Rule = "not_done"
	WentBack     Rule = "went_back"
	// Expectation is anything else that a test expects.
	Expectation Rule = "expectation"
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule
	After  time.Duration // since the cluster's beginning
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("after %v: %s: %s", v.After, v.Rule, v.Detail)
}

// ForgottenAfter is how long after the last trouble a job may go without an answered
// question.
const ForgottenAfter = 75 * time.Second

// roundingSlack absorbs the rounding of sums of decimal amounts.
const roundingSlack = 1e-6

// Break records a broken rule.
func (c *Cluster) Break(rule Rule, format string, args ...any) {
	c.Broken = append(c.Broken, Violation{rule, c.Clock.Now().Sub(c.began), fmt.Sprintf(format, args...)})
}

func (c *Cluster) cancelTime() time.Duration { return config.Seconds(c.Facts.Workers.CancelS) }

// overdue tells whether a job was cancelled so long ago that none of its tasks may be
// left.
func (c *Cluster) overdue(j *Job) bool {
	return j.Told == wire.JobCancelled && c.Clock.Now().Sub(j.CancelledAt) > c.cancelTime()
}

// checkStart checks the rules that the start of a task may break.
func (c *Cluster) checkStart(w *Worker, j *Job, n int) {
	name := wire.TaskName(j.Spec.ID, n)
	zones := map[string]int{}
	for _, other := range j.workersWithTasks() {
		for _, t := range other.Tasks {
			if t.Job != j || !t.OnMachine() {
				continue
			}
			zones[other.Host.Zone]++
			if t.N == n {
				c.Break(RanTwice, "%s starts on %s while on %s", name, w.Host.ID, other.Host.ID)
			}
		}
	}
	c.checkPlace(w, j, name, zones)
	if c.overdue(j) {
		c.Break(RanCancelled, "%s starts", name)
	}
}

// checkPlace checks a start against the placement conditions; zones counts the job's
// other tasks.
func (c *Cluster) checkPlace(w *Worker, j *Job, name string, zones map[string]int) {
	s := &j.Spec
	typeAllowed := s.AnyType || slices.Contains(s.Types, w.Host.Type)
	zoneAllowed := s.Zone == "" || s.Zone == w.Host.Zone
	if !typeAllowed || !zoneAllowed || w.Host.Spot && !s.Spot {
		c.Break(WrongPlace, "%s on %s", name, w.Host.ID)
	}
	for zone, n := range zones {
		if s.SameZone && n > 0 && zone != w.Host.Zone {
			c.Break(WrongPlace, "%s is in another zone than its siblings", name)
		}
	}
	if s.SpreadAcrossZones && zones[w.Host.Zone]+1 > (s.Tasks+1)/2 {
		c.Break(WrongPlace, "%s is one too many in its zone", name)
	}
}

// Used is what each team's tasks use, with the tasks on machines by job.
func (c *Cluster) Used() (teams map[string]quota.Resources, jobs map[*Job]int) {
	teams, jobs = map[string]quota.Resources{}, map[*Job]int{}
	for _, w := range c.Workers {
		for _, t := range w.Tasks {
			if t.OnMachine() {
				team := t.Job.Spec.Team
				teams[team] = teams[team].Add(t.Job.need())
				jobs[t.Job]++
			}
		}
	}
	return teams, jobs
}

// Check checks the rules that hold at every moment. It is called after each step, so it
// looks at each task once.
func (c *Cluster) Check() {
	used := make([]quota.Resources, len(c.Facts.Teams))
	for _, w := range c.Workers {
		for _, t := range w.Tasks {
			if !t.OnMachine() {
				continue
			}
			for i := range c.Facts.Teams {
				if c.Facts.Teams[i].Name == t.Job.Spec.Team {
					used[i] = used[i].Add(t.Job.need())
				}
			}
			if c.overdue(t.Job) {
				c.Break(RanCancelled, "%s/%d still on %s", t.Job.Spec.ID, t.N, w.Host.ID)
			}
		}
	}
	for i, t := range c.Facts.Teams {
		if exceeds(used[i].CPUs, t.CPUsMax) || exceeds(used[i].GPUs, t.GPUsMax) {
			c.Break(QuotaBroken, "%s uses %v", t.Name, used[i])
		}
	}
}

func exceeds(used, limit float64) bool { return limit > 0 && used > limit+roundingSlack }

// CheckForgotten checks that a question about each accepted job was answered lately.
func (c *Cluster) CheckForgotten() {
	for _, j := range c.Order {
		if silent := c.Clock.Now().Sub(j.AnsweredAt); j.Accepted && silent > ForgottenAfter {
			c.Break(Forgotten, "no question about %s was answered for %v", j.Spec.ID, silent)
		}
	}
}

// Tell records that a user was told a job's state; before is the state that the user had
// been told when the request was sent. It tells whether this was the first news of an
// acceptance or of an end.
func (c *Cluster) Tell(j *Job, stage, before string) (news bool) {
	switch {
	case isFinal(before) && stage != before:
		c.Break(WentBack, "%s was told %s, now %s", j.Spec.ID, before, stage)
	case stage == wire.JobDone && !j.Complete():
		c.Break(NotDone, "%s", j.Spec.ID)
	case stage == wire.JobCancelled && !j.CancelAsked:
		c.Break(WentBack, "%s was never cancelled", j.Spec.ID)
	}
	if j.Impossible {
		c.Break(Expectation, "%s was accepted, though it can never run", j.Spec.ID)
	}
	j.AnsweredAt = c.Clock.Now()
	if j.Ended() {
		return false
	}
	news = !j.Accepted || isFinal(stage)
	if stage == wire.JobCancelled {
		j.CancelledAt = c.Clock.Now()
	}
	j.Accepted, j.Told = true, stage
	return news
}

// Refused records that a request about a job was refused: before is the state that its
// user had been told when it was sent.
func (c *Cluster) Refused(j *Job, before string, status int) {
	switch status {
	case 429, 503, 0:
		return
	case 404:
		if before == "" {
			return // not accepted yet as far as any user was told
		}
	}
	c.Break(Forgotten, "%s, told %q before, answered %d", j.Spec.ID, before, status)
}

// Fits tells whether a job, or one task of an array, could start now on machines that
// usable approves of, while its team uses what is given.
func (c *Cluster) Fits(j *Job, used quota.Resources, usable func(w *Worker) bool) bool {
	s := &j.Spec
	need := 1
	if s.Shape != wire.ShapeBatch {
		need = s.Tasks
	}
	for _, t := range c.Facts.Teams {
		if t.Name == s.Team && (exceeds(used.CPUs+float64(need)*s.Vcpus, t.CPUsMax) || exceeds(used.GPUs+float64(need)*s.Gpus, t.GPUsMax)) {
			return false
		}
	}
	places := map[string]int{}
	for _, w := range c.Workers {
		wrongType := !s.AnyType && !slices.Contains(s.Types, w.Host.Type)
		if w.Hung || w.Faulty || w.Dead || !w.Recall.IsZero() || wrongType || s.Zone != "" && s.Zone != w.Host.Zone || w.Host.Spot && !s.Spot || !usable(w) {
			continue
		}
		places[w.Host.Zone] += w.Free().FitCount(j.need(), s.Tasks)
	}
	total, most := 0, 0
	for _, n := range places {
		if s.SpreadAcrossZones {
			n = min(n, (s.Tasks+1)/2)
		}
		total, most = total+n, max(most, n)
	}
	if s.SameZone {
		total = most
	}
	return total >= need
}
