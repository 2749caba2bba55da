package placement

import "juniperchute/internal/tuning"

// attemptNumbers numbers the attempts of tasks.
type attemptNumbers struct {
	token uint64 // of the term
	// AttemptNumbersExhausted tells that a job has had nearly as many attempts
	// as a term has numbers for: a new term is needed before any is repeated.
	AttemptNumbersExhausted bool
}

// next returns an attempt number that no earlier attempt of the job
// has: the term's token is in the high bits, so that numbers grow from term to
// term without any being stored.
func (a *attemptNumbers) next(job *Job) uint64 {
	job.attemptSequence++
	if job.attemptSequence >= 1<<tuning.AttemptBits-tuning.AttemptReserve {
		a.AttemptNumbersExhausted = true
	}
	return a.token<<tuning.AttemptBits | job.attemptSequence&(1<<tuning.AttemptBits-1)
}
