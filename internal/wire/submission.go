package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxTasksPerJob is the largest number of tasks in one job.
const MaxTasksPerJob = 100000

// maxNameBytes bounds the names a user may choose, in bytes, so that a job always
// fits one value of the state service.
const maxNameBytes = 200

// JobSpec is a job as its user described it.
type JobSpec struct {
	ID                  string `json:"Id"`
	Class               string `json:"Lane"`
	Team                string `json:"Crew"`
	Shape               string
	Priority            string `json:"Rank"`
	Tasks               int    `json:"Pieces"`
	Vcpus               float64
	Gpus                float64
	MemGb               float64
	Image               string `json:"Bundle"`
	ImageGb             float64
	Types               []string `json:"Builds,omitempty"`
	AnyType             bool     `json:"AnyBuild,omitempty"`
	Zone                string   `json:"Yard,omitempty"`
	SameZone            bool     `json:"Together,omitempty"`
	SpreadAcrossZones   bool     `json:"Apart,omitempty"`
	Spot                bool     `json:"Loaners,omitempty"`
	EstimatedRunTimeS   float64  `json:"GuessS"`
	CheckpointIntervalS float64  `json:"BookmarkS"`
	CheckpointSaveTimeS float64  `json:"StowS"`
	DeadlineS           float64  `json:"DueS,omitempty"`
}

// Priorities is how many there are.
const Priorities = 4

// Priority orders them: a larger one goes first.
func Priority(name string) (int, bool) {
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

// ValidID tells whether a job id has the protocol's form.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || digits == "" || len(digits) > 20 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName names one task of a job.
func TaskName(job string, n int) string {
	return job + "/" + strconv.Itoa(n)
}

// ParseTask splits a task's name.
func ParseTask(name string) (job string, n int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found || !ValidID(job) {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= MaxTasksPerJob || strconv.Itoa(n) != num {
		return "", 0, false
	}
	return job, n, true
}

// fieldReader reads a JSON object by exact field names. encoding/json alone would
// match names without regard to case and take a missing field for zero.
type fieldReader struct {
	raw map[string]json.RawMessage
	err error
}

func (f *fieldReader) fail(name, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, what)
	}
}

func (f *fieldReader) get(name string, out any, may bool) bool {
	raw, ok := f.raw[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		if !may {
			f.fail(name, "missing")
		}
		return false
	}
	if err := json.Unmarshal(raw, out); err != nil {
		f.fail(name, "wrong type")
		return false
	}
	return true
}

func (f *fieldReader) text(name string) string {
	var s string
	if f.get(name, &s, false) && (s == "" || len(s) > maxNameBytes) {
		f.fail(name, "length out of range")
	}
	return s
}

func (f *fieldReader) amount(name string, above float64) float64 {
	var v float64
	if f.get(name, &v, false) && (math.IsInf(v, 0) || v < 0 || v < above || v > 1e9) {
		f.fail(name, "out of range")
	}
	return v
}

func (f *fieldReader) flag(name string) bool {
	var v bool
	f.get(name, &v, false)
	return v
}

// ParseJobSpec reads and checks a submission. An error means that it is
// malformed.
func ParseJobSpec(body []byte) (JobSpec, error) {
	f := &fieldReader{}
	if err := json.Unmarshal(body, &f.raw); err != nil {
		return JobSpec{}, errors.New("not a JSON object")
	}
	if f.raw == nil {
		return JobSpec{}, errors.New("not a JSON object")
	}
	var s JobSpec
	s.ID = f.text("Id")
	if f.err == nil && !ValidID(s.ID) {
		f.fail("Id", "not a job id")
	}
	s.Class = f.text("Lane")
	s.Team = f.text("Crew")
	s.Shape = f.text("Shape")
	if f.err == nil && !KnownShape(s.Shape) {
		f.fail("Shape", "unknown")
	}
	s.Priority = f.text("Rank")
	if _, ok := Priority(s.Priority); f.err == nil && !ok {
		f.fail("Rank", "unknown")
	}
	if f.get("Pieces", &s.Tasks, false) && (s.Tasks < 1 || s.Tasks > MaxTasksPerJob) {
		f.fail("Pieces", "out of range")
	}
	s.Vcpus = f.amount("Vcpus", 0)
	s.Gpus = f.amount("Gpus", 0)
	s.MemGb = f.amount("MemGb", 0)
	s.Image = f.text("Bundle")
	s.ImageGb = f.amount("ImageGb", 0)
	s.AnyType = !f.get("Builds", &s.Types, true)
	for _, b := range s.Types {
		if b == "" || len(b) > maxNameBytes {
			f.fail("Builds", "length out of range")
		}
	}
	if f.get("Yard", &s.Zone, true) && (s.Zone == "" || len(s.Zone) > maxNameBytes) {
		f.fail("Yard", "length out of range")
	}
	s.SameZone = f.flag("Together")
	s.SpreadAcrossZones = f.flag("Apart")
	s.Spot = f.flag("Loaners")
	s.EstimatedRunTimeS = f.amount("GuessS", 0)
	s.CheckpointIntervalS = f.amount("BookmarkS", 0)
	s.CheckpointSaveTimeS = f.amount("StowS", 0)
	if f.get("DueS", &s.DeadlineS, true) && (math.IsInf(s.DeadlineS, 0) || s.DeadlineS < 0 || s.DeadlineS > 1e9) {
		f.fail("DueS", "out of range")
	}
	return s, f.err
}
