package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// Begun lets the tasks of a job start: its mark is durable.
func (b *Board) Begun(j *Job) {
	if j.begin == beginAsked {
		b.asked--
	}
	j.begin = begun
	b.survey.again()
}

// canAsk tells whether a job is begun or could ask for its mark now. Thousands
// may wait for theirs after a takeover: no room is looked for until then.
func (b *Board) canAsk(j *Job) bool {
	return b.Begin == nil || j.begin == begun ||
		j.begin == unbegun && (b.asked < tuning.BeginAhead || j.Gang() && b.asked < tuning.BeginGangs)
}

// mayBegin tells whether a job's tasks may be handed out, and sees to its mark.
func (b *Board) mayBegin(now time.Time, j *Job) bool {
	if b.Begin == nil || j.begin == begun {
		return true
	}
	if b.canAsk(j) {
		j.begin = beginAsked
		b.asked++
		b.Begin(now, j)
	}
	b.waits(j, "being marked as begun")
	return false
}
