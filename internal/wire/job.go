package wire

import (
	"strconv"
	"strings"
)

// MaxTasksPerJob is the largest number of tasks in one job.
const MaxTasksPerJob = 100000

const (
	jobIDPrefix = "job-"
	maxIDDigits = 20 // behind the prefix
)

// JobSpec is a job as its user described it. ParseJobSpec checks its values.
type JobSpec struct {
	ID                string  `json:"Id"`   // chosen by the user; a retry uses the same
	Class             string  `json:"Lane"` // class of jobs, to which service-level objectives apply
	Team              string  `json:"Crew"` // team whose quota applies
	Shape             string  // one of the Shape constants
	Priority          string  `json:"Rank"`
	Tasks             int     `json:"Pieces"`
	Vcpus             float64 // of each task, as are Gpus and MemGb
	Gpus              float64
	MemGb             float64
	Image             string `json:"Bundle"`
	ImageGb           float64
	Types             []string `json:"Builds,omitempty"` // allowed machine types, unless AnyType
	AnyType           bool     `json:"AnyBuild,omitempty"`
	Zone              string   `json:"Yard,omitempty"`     // the only allowed zone, "" for any
	SameZone          bool     `json:"Together,omitempty"` // all tasks in one zone
	SpreadAcrossZones bool     `json:"Apart,omitempty"`    // at most half of the tasks, rounded up, in one zone
	Spot              bool     `json:"Loaners,omitempty"`  // may use spot machines
	EstimatedRunTimeS float64  `json:"GuessS"`             // of a task, without the image fetch; often wrong
	// CheckpointIntervalS is the interval of progress at which a task saves a checkpoint by
	// itself; 0: it never saves, not even when it is stopped.
	CheckpointIntervalS float64 `json:"BookmarkS"`
	CheckpointSaveTimeS float64 `json:"StowS"`          // time to save when the task is stopped
	DeadlineS           float64 `json:"DueS,omitempty"` // after the submission; 0: none
}

// JobState is the answer to a query.
type JobState struct {
	ID      string `json:"Id"`
	State   string `json:"Stage"`
	Done    int    `json:"done"`    // tasks, for display
	Running int    `json:"running"` // tasks, for display
}

// JobAccepted is the answer to a submission or a cancellation.
type JobAccepted struct {
	ID    string `json:"Id"`
	State string `json:"Stage"`
}

// Priorities is the number of priorities.
const PriorityCount = 4

// Priority returns the rank of a named priority, from 0 to Priorities-1: the larger one goes
// first. It returns false for an unknown name.
func PriorityRank(name string) (int, bool) {
	switch name {
	case "critical":
		return 3, true
	case "high":
		return 2, true
	case "normal":
		return 1, true
	case "low":
		return 0, true
	}
	return 0, false
}

// ValidJobID reports whether a job id has the protocol's form.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || digits == "" || len(digits) > maxIDDigits {
		return false
	}
	for i := range len(digits) {
		if !isDigit(digits[i]) {
			return false
		}
	}
	return true
}

// TaskName names a task of a job; tasks are numbered from 0.
func TaskName(job string, n int) string {
	return job + "/" + strconv.Itoa(n)
}

// ParseTaskName splits a task's name. It returns false for a name that TaskName gives to no task.
func ParseTaskName(name string) (job string, n int, ok bool) {
	job, number, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= MaxTasksPerJob || strconv.Itoa(n) != number {
		return "", 0, false
	}
	return job, n, true
}
