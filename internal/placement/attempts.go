package placement

import "juniperchute/internal/tuning"

// attemptNumbers assigns attempt numbers to tasks.
type attemptNumbers struct {
	token uint64 // fencing token of the term
	// AttemptNumbersExhausted reports whether a job has used nearly all attempt
	// numbers of the term. A new term must begin before the numbers repeat.
	AttemptNumbersExhausted bool
}

// next returns an attempt number larger than that of any earlier attempt of the
// job. The high bits hold the term's fencing token, so that numbers increase
// across terms although none is stored.
func (a *attemptNumbers) next(job *Job) uint64 {
	job.attemptSequence++
	if job.attemptSequence >= 1<<tuning.AttemptBits-tuning.AttemptReserve {
		a.AttemptNumbersExhausted = true
	}
	return a.token<<tuning.AttemptBits | job.attemptSequence&(1<<tuning.AttemptBits-1)
}
