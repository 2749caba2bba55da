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

// MaxPieces is the largest number of tasks in one job.
const MaxPieces = 100000

// maxName bounds the names a user may choose, in bytes, so that a job always
// fits one value of the state service.
const maxName = 200

// Submission is a job as its user described it.
type Submission struct {
	ID        string `json:"Id"`
	Lane      string
	Crew      string
	Shape     string
	Rank      string
	Pieces    int
	Vcpus     float64
	Gpus      float64
	MemGb     float64
	Bundle    string
	ImageGb   float64
	Builds    []string `json:",omitempty"`
	AnyBuild  bool     `json:",omitempty"`
	Yard      string   `json:",omitempty"`
	Together  bool     `json:",omitempty"`
	Apart     bool     `json:",omitempty"`
	Loaners   bool     `json:",omitempty"`
	GuessS    float64
	BookmarkS float64
	StowS     float64
	DueS      float64 `json:",omitempty"`
}

// Ranks is how many ranks there are.
const Ranks = 4

// Rank orders priorities: a larger one goes first.
func Rank(name string) (int, bool) {
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

// PieceName names one task of a job.
func PieceName(job string, n int) string {
	return job + "/" + strconv.Itoa(n)
}

// ParsePiece splits a task's name.
func ParsePiece(name string) (job string, n int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found || !ValidID(job) {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= MaxPieces || strconv.Itoa(n) != num {
		return "", 0, false
	}
	return job, n, true
}

// fields reads a JSON object by exact field names. encoding/json alone would
// match names without regard to case and take a missing field for zero.
type fields struct {
	raw map[string]json.RawMessage
	err error
}

func (f *fields) fail(name, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, what)
	}
}

func (f *fields) get(name string, out any, may bool) bool {
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

func (f *fields) text(name string) string {
	var s string
	if f.get(name, &s, false) && (s == "" || len(s) > maxName) {
		f.fail(name, "length out of range")
	}
	return s
}

func (f *fields) amount(name string, above float64) float64 {
	var v float64
	if f.get(name, &v, false) && (math.IsInf(v, 0) || v < 0 || v < above || v > 1e9) {
		f.fail(name, "out of range")
	}
	return v
}

func (f *fields) flag(name string) bool {
	var v bool
	f.get(name, &v, false)
	return v
}

// ParseSubmission reads and checks a submission. An error means that it is
// malformed.
func ParseSubmission(body []byte) (Submission, error) {
	f := &fields{}
	if err := json.Unmarshal(body, &f.raw); err != nil {
		return Submission{}, errors.New("not a JSON object")
	}
	if f.raw == nil {
		return Submission{}, errors.New("not a JSON object")
	}
	var s Submission
	s.ID = f.text("Id")
	if f.err == nil && !ValidID(s.ID) {
		f.fail("Id", "not a job id")
	}
	s.Lane = f.text("Lane")
	s.Crew = f.text("Crew")
	s.Shape = f.text("Shape")
	if f.err == nil && s.Shape != ShapeBatch && s.Shape != ShapeGang && s.Shape != ShapeStanding {
		f.fail("Shape", "unknown")
	}
	s.Rank = f.text("Rank")
	if _, ok := Rank(s.Rank); f.err == nil && !ok {
		f.fail("Rank", "unknown")
	}
	if f.get("Pieces", &s.Pieces, false) && (s.Pieces < 1 || s.Pieces > MaxPieces) {
		f.fail("Pieces", "out of range")
	}
	s.Vcpus = f.amount("Vcpus", 0)
	s.Gpus = f.amount("Gpus", 0)
	s.MemGb = f.amount("MemGb", 0)
	s.Bundle = f.text("Bundle")
	s.ImageGb = f.amount("ImageGb", 0)
	s.AnyBuild = !f.get("Builds", &s.Builds, true)
	for _, b := range s.Builds {
		if b == "" || len(b) > maxName {
			f.fail("Builds", "length out of range")
		}
	}
	if f.get("Yard", &s.Yard, true) && (s.Yard == "" || len(s.Yard) > maxName) {
		f.fail("Yard", "length out of range")
	}
	s.Together = f.flag("Together")
	s.Apart = f.flag("Apart")
	s.Loaners = f.flag("Loaners")
	s.GuessS = f.amount("GuessS", 0)
	s.BookmarkS = f.amount("BookmarkS", 0)
	s.StowS = f.amount("StowS", 0)
	if f.get("DueS", &s.DueS, true) && (math.IsInf(s.DueS, 0) || s.DueS < 0 || s.DueS > 1e9) {
		f.fail("DueS", "out of range")
	}
	return s, f.err
}
