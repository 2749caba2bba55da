package wire

import (
	"bytes"
	"encoding/json"
	"errors"
)

const (
	// maxNameBytes bounds the names that a user chooses, so that a job fits into one value of the
	// state service.
	maxNameBytes = 200
	// maxAmount bounds resource requests, in their units, and durations, in seconds.
	maxAmount = 1e9
)

// JSON names of a submission's fields, which equal the tags of JobSpec.
const (
	fieldID                 = "Id"
	fieldClass              = "Lane"
	fieldTeam               = "Crew"
	fieldShape              = "Shape"
	fieldPriority           = "Rank"
	fieldTasks              = "Pieces"
	fieldVcpus              = "Vcpus"
	fieldGpus               = "Gpus"
	fieldMem                = "MemGb"
	fieldImage              = "Bundle"
	fieldImageSize          = "ImageGb"
	fieldTypes              = "Builds"
	fieldZone               = "Yard"
	fieldSameZone           = "Together"
	fieldSpreadAcrossZones  = "Apart"
	fieldSpot               = "Loaners"
	fieldEstimatedRunTime   = "GuessS"
	fieldCheckpointInterval = "BookmarkS"
	fieldCheckpointSaveTime = "StowS"
	fieldDeadline           = "DueS"
)

// ErrNotObject reports a submission that is not a JSON object.
var ErrNotObject = errors.New("not a JSON object")

// FieldError reports a missing or invalid field of a submission. Its text is returned to the user.
type FieldError struct {
	Field   string // JSON name
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// ParseJobSpec decodes and validates a submission. It returns ErrNotObject or, for the first field that
// is missing or invalid, a *FieldError.
func ParseJobSpec(body []byte) (JobSpec, error) {
	r := &fieldReader{}
	if err := json.Unmarshal(body, &r.raw); err != nil || r.raw == nil {
		return JobSpec{}, ErrNotObject
	}
	// evaluated in this order, so that the first invalid field is reported
	spec := JobSpec{
		ID:                  r.validText(fieldID, ValidJobID, "not a job id"),
		Class:               r.text(fieldClass),
		Team:                r.text(fieldTeam),
		Shape:               r.validText(fieldShape, KnownShape, "unknown"),
		Priority:            r.validText(fieldPriority, knownPriority, "unknown"),
		Tasks:               r.taskCount(),
		Vcpus:               r.amount(fieldVcpus),
		Gpus:                r.amount(fieldGpus),
		MemGB:               r.amount(fieldMem),
		Image:               r.text(fieldImage),
		ImageGB:             r.amount(fieldImageSize),
		Types:               r.optionalTexts(fieldTypes),
		Zone:                r.optionalText(fieldZone),
		SameZone:            r.flag(fieldSameZone),
		SpreadAcrossZones:   r.flag(fieldSpreadAcrossZones),
		Spot:                r.flag(fieldSpot),
		EstimatedRunTimeS:   r.amount(fieldEstimatedRunTime),
		CheckpointIntervalS: r.amount(fieldCheckpointInterval),
		CheckpointSaveTimeS: r.amount(fieldCheckpointSaveTime),
		DeadlineS:           r.optionalAmount(fieldDeadline),
	}
	if r.err != nil {
		return JobSpec{}, r.err
	}
	spec.AnyType = spec.Types == nil // an empty list allows no type
	return spec, nil
}

func knownPriority(name string) bool {
	_, ok := PriorityRank(name)
	return ok
}

// fieldReader decodes the fields of a JSON object and records the first error. Unlike a struct decoded
// by encoding/json, it matches names case-sensitively and distinguishes missing fields from zero values.
type fieldReader struct {
	raw map[string]json.RawMessage
	err error
}

func (r *fieldReader) fail(name, problem string) {
	if r.err == nil {
		r.err = &FieldError{Field: name, Problem: problem}
	}
}

// optional decodes a field into target. It returns false if the field is absent or of the wrong type.
func (r *fieldReader) optional(name string, target any) bool {
	if r.absent(name) {
		return false
	}
	if err := json.Unmarshal(r.raw[name], target); err != nil {
		r.fail(name, "wrong type")
		return false
	}
	return true
}

// required decodes a field like optional, but records an error if the field is absent.
func (r *fieldReader) required(name string, target any) bool {
	if r.absent(name) {
		r.fail(name, "missing")
		return false
	}
	return r.optional(name, target)
}

func (r *fieldReader) absent(name string) bool {
	raw, ok := r.raw[name]
	return !ok || bytes.Equal(raw, []byte("null"))
}

func (r *fieldReader) text(name string) string {
	var s string
	if r.required(name, &s) {
		r.checkLength(name, s)
	}
	return s
}

func (r *fieldReader) optionalText(name string) string {
	var s string
	if r.optional(name, &s) {
		r.checkLength(name, s)
	}
	return s
}

// optionalTexts returns nil if the field is absent.
func (r *fieldReader) optionalTexts(name string) []string {
	var list []string
	r.optional(name, &list)
	for _, s := range list {
		r.checkLength(name, s)
	}
	return list
}

func (r *fieldReader) checkLength(name, s string) {
	if s == "" || len(s) > maxNameBytes {
		r.fail(name, "length out of range")
	}
}

// validText decodes a text and records problem as the error unless valid accepts the text.
func (r *fieldReader) validText(name string, valid func(string) bool, problem string) string {
	s := r.text(name)
	if !valid(s) {
		r.fail(name, problem)
	}
	return s
}

func (r *fieldReader) amount(name string) float64 {
	var v float64
	if r.required(name, &v) {
		r.checkAmount(name, v)
	}
	return v
}

func (r *fieldReader) optionalAmount(name string) float64 {
	var v float64
	if r.optional(name, &v) {
		r.checkAmount(name, v)
	}
	return v
}

func (r *fieldReader) checkAmount(name string, v float64) {
	if v < 0 || v > maxAmount {
		r.fail(name, "out of range")
	}
}

func (r *fieldReader) taskCount() int {
	var n int
	if r.required(fieldTasks, &n) && (n < 1 || n > MaxTasksPerJob) {
		r.fail(fieldTasks, "out of range")
	}
	return n
}

func (r *fieldReader) flag(name string) bool {
	var v bool
	r.required(name, &v)
	return v
}
