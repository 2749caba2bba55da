package wire

import (
	"strconv"
	"strings"
)

// MaxTasksPerJob is the protocol's limit on the tasks of a job.
const MaxTasksPerJob = 100000

const (
	jobIDPrefix = "job-"
	maxIDDigits = 20 // after jobIDPrefix
)

// JobSpec is a job as submitted by a user. ParseJobSpec validates it.
type JobSpec struct {
	ID                string  `json:"Id"`   // chosen by the user, the idempotency key of the submission
	Class             string  `json:"Lane"` // job class, to which service-level objectives apply
	Team              string  `json:"Crew"` // team whose quotas apply
	Shape             string  // one of the Shape constants
	Priority          string  `json:"Rank"`
	Tasks             int     `json:"Pieces"`
	Vcpus             float64 // per task, as are Gpus and MemGB
	Gpus              float64
	MemGB             float64  `json:"MemGb"`
	Image             string   `json:"Bundle"`
	ImageGB           float64  `json:"ImageGb"`
	Types             []string `json:"Builds,omitempty"` // allowed machine types, unless AnyType
	AnyType           bool     `json:"AnyBuild,omitempty"`
	Zone              string   `json:"Yard,omitempty"`     // the only allowed zone, "" for any
	SameZone          bool     `json:"Together,omitempty"` // all tasks in one zone
	SpreadAcrossZones bool     `json:"Apart,omitempty"`    // at most half of the tasks, rounded up, per zone
	Spot              bool     `json:"Loaners,omitempty"`  // allows spot machines
	EstimatedRunTimeS float64  `json:"GuessS"`             // per task, without the image pull; unreliable
	// CheckpointIntervalS is the run time between two checkpoints of a task. 0: the task saves no
	// checkpoints, not even when it is stopped.
	CheckpointIntervalS float64 `json:"BookmarkS"`
	CheckpointSaveTimeS float64 `json:"StowS"`          // time that a stopped task takes to save a checkpoint
	DeadlineS           float64 `json:"DueS,omitempty"` // from the submission; 0: none
}

// JobState is the response to a query of a job.
type JobState struct {
	ID             string `json:"Id"`
	State          string `json:"Stage"`
	CompletedTasks int    `json:"done"`    // for display
	Running        int    `json:"running"` // number of running tasks, for display
}

// JobAccepted is the response to a submission or a cancellation.
type JobAccepted struct {
	ID    string `json:"Id"`
	State string `json:"Stage"`
}

// PriorityCount is the number of job priorities.
const PriorityCount = 4

// PriorityRank returns the rank of a priority, from 0 to PriorityCount-1. Higher ranks are scheduled
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

// ValidJobID reports whether id has the form of a job ID: "job-" and 1 to 20 digits.
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

// TaskName returns the name of the n-th task of a job, counted from 0.
func TaskName(job string, n int) string {
	return job + "/" + strconv.Itoa(n)
}

// ParseTaskName splits a name returned by TaskName. It returns false for any other name.
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
