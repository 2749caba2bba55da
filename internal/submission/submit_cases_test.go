package submission

import (
	"net/http"
	"strings"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// submitTest is a submission of newSpec(change), the results of the resulting state service calls, and the
// expected response.
type submitTest struct {
	name                string
	change              func(spec *wire.JobSpec)
	machineTypesUnknown bool
	progress            *Progress // that the lease holder reports; nil: the fixture's, with running tasks
	results             []store.Result
	wantStatus          int
	wantState           string // "" for an error response
}

var submitTests = []submitTest{
	{
		name:       "new job",
		results:    []store.Result{success},
		wantStatus: http.StatusCreated,
		wantState:  wire.JobPending,
	},
	{
		name:       "open job",
		results:    []store.Result{conflict, storedJob(wire.JobPending), storedJob(wire.JobPending)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobRunning,
	},
	{
		name:       "open job, no task runs",
		progress:   &Progress{Known: true},
		results:    []store.Result{conflict, storedJob(wire.JobPending), storedJob(wire.JobPending)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobPending,
	},
	{
		name:       "open job, whether a task runs is not known",
		progress:   &Progress{},
		results:    []store.Result{conflict, storedJob(wire.JobPending)},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "open job that ends while its progress is queried",
		results:    []store.Result{conflict, storedJob(wire.JobPending), notFound, storedJob(wire.JobDone)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobDone,
	},
	{
		name:       "completed job",
		results:    []store.Result{conflict, notFound, storedJob(wire.JobDone)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobDone,
	},
	{
		name:       "write executed without a response",
		results:    []store.Result{noResponse, conflict, storedJob(wire.JobPending), storedJob(wire.JobPending)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobRunning,
	},
	{
		name:       "write executed without a response, whether a task runs is not known",
		progress:   &Progress{},
		results:    []store.Result{noResponse, conflict, acceptedAt(startTime)},
		wantStatus: http.StatusCreated,
		wantState:  wire.JobPending,
	},
	{
		name:       "no response to the write and its retry",
		results:    []store.Result{noResponse, noResponse},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "state service unavailable",
		results:    []store.Result{outage},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "rate limit exceeded",
		results:    []store.Result{throttled},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "unknown team",
		change:     func(spec *wire.JobSpec) { spec.Team = "green" },
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name:       "unknown team, accepted before, whether a task runs is not known",
		change:     func(spec *wire.JobSpec) { spec.Team = "green" },
		progress:   &Progress{},
		results:    []store.Result{storedJob(wire.JobPending)},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "unknown team, accepted before",
		change:     func(spec *wire.JobSpec) { spec.Team = "green" },
		results:    []store.Result{storedJob(wire.JobPending), storedJob(wire.JobPending)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobRunning,
	},
	{
		name:       "gang over the team's limit",
		change:     func(spec *wire.JobSpec) { spec.Tasks = 9 },
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name: "array over the team's limit in total",
		change: func(spec *wire.JobSpec) {
			spec.Tasks = 9
			spec.Shape = wire.ShapeBatch
		},
		results:    []store.Result{success},
		wantStatus: http.StatusCreated,
		wantState:  wire.JobPending,
	},
	{
		name:       "task too large for every machine type",
		change:     func(spec *wire.JobSpec) { spec.MemGB = 800 },
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name: "only unknown machine types",
		change: func(spec *wire.JobSpec) {
			spec.AnyType = false
			spec.Types = []string{"x"}
		},
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name:       "no machine type allowed",
		change:     func(spec *wire.JobSpec) { spec.AnyType = false },
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name:       "unknown zone",
		change:     func(spec *wire.JobSpec) { spec.Zone = "z" },
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name: "gang restricted to the same zone and spread",
		change: func(spec *wire.JobSpec) {
			spec.SameZone = true
			spec.SpreadAcrossZones = true
		},
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name: "single task restricted to the same zone and spread",
		change: func(spec *wire.JobSpec) {
			spec.SameZone = true
			spec.SpreadAcrossZones = true
			spec.Tasks = 1
		},
		results:    []store.Result{success},
		wantStatus: http.StatusCreated,
		wantState:  wire.JobPending,
	},
	{
		name: "service within the team's limit",
		change: func(spec *wire.JobSpec) {
			spec.Shape = wire.ShapeService
			spec.Tasks = 8
			spec.EstimatedRunTimeS = 0
		},
		results:    []store.Result{success},
		wantStatus: http.StatusCreated,
		wantState:  wire.JobPending,
	},
	{
		name: "service over the team's limit",
		change: func(spec *wire.JobSpec) {
			spec.Shape = wire.ShapeService
			spec.Tasks = 9
		},
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name: "service over the team's limit, accepted before",
		change: func(spec *wire.JobSpec) {
			spec.Shape = wire.ShapeService
			spec.Tasks = 9
		},
		results:    []store.Result{storedJob(wire.JobPending), storedJob(wire.JobPending)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobRunning,
	},
	{
		name: "service over the team's limit, accepted and cancelled before",
		change: func(spec *wire.JobSpec) {
			spec.Shape = wire.ShapeService
			spec.Tasks = 9
		},
		results:    []store.Result{notFound, storedJob(wire.JobCancelled)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobCancelled,
	},
	{
		name: "service that fits no allowed machine type",
		change: func(spec *wire.JobSpec) {
			spec.Shape = wire.ShapeService
			spec.AnyType = false
			spec.Types = []string{"c1"}
		},
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name: "service restricted to zone a and spread",
		change: func(spec *wire.JobSpec) {
			spec.Shape = wire.ShapeService
			spec.SpreadAcrossZones = true
			spec.Zone = "a"
		},
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name: "service restricted to the same zone and spread",
		change: func(spec *wire.JobSpec) {
			spec.Shape = wire.ShapeService
			spec.SameZone = true
			spec.SpreadAcrossZones = true
		},
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusUnprocessableEntity,
	},
	{
		name:                "service, machine types unknown",
		change:              func(spec *wire.JobSpec) { spec.Shape = wire.ShapeService },
		machineTypesUnknown: true,
		results:             []store.Result{notFound, notFound},
		wantStatus:          http.StatusServiceUnavailable,
	},
	{
		name:       "record size rejected by the state service",
		results:    []store.Result{invalid, notFound, notFound},
		wantStatus: http.StatusBadRequest,
	},
	{
		name:       "record size rejected by the state service, accepted before",
		results:    []store.Result{invalid, storedJob(wire.JobPending), storedJob(wire.JobPending)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobRunning,
	},
	{
		name:       "unreadable open job record",
		results:    []store.Result{conflict, storedValue(`{"Spec":{"Id":"job-1","Shape":"swarm","Pieces":1}}`)},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "unreadable job end record",
		results:    []store.Result{conflict, notFound, storedValue(`{"Stage":"paused"}`)},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:                "machine types unknown",
		machineTypesUnknown: true,
		results:             []store.Result{notFound, notFound},
		wantStatus:          http.StatusServiceUnavailable,
	},
	{
		name:                "machine types unknown, accepted before",
		machineTypesUnknown: true,
		results:             []store.Result{storedJob(wire.JobPending), storedJob(wire.JobPending)},
		wantStatus:          http.StatusOK,
		wantState:           wire.JobRunning,
	},
	{
		name:       "record too large",
		change:     func(spec *wire.JobSpec) { spec.Image = strings.Repeat("x", 5000) },
		results:    []store.Result{notFound, notFound},
		wantStatus: http.StatusBadRequest,
	},
	{
		name:       "record too large, accepted before",
		change:     func(spec *wire.JobSpec) { spec.Image = strings.Repeat("x", 5000) },
		results:    []store.Result{storedJob(wire.JobPending), storedJob(wire.JobPending)},
		wantStatus: http.StatusOK,
		wantState:  wire.JobRunning,
	},
	{
		name:       "record too large, state service unavailable",
		change:     func(spec *wire.JobSpec) { spec.Image = strings.Repeat("x", 5000) },
		results:    []store.Result{outage},
		wantStatus: http.StatusServiceUnavailable,
	},
	{
		name:       "unknown team, state service unavailable",
		change:     func(spec *wire.JobSpec) { spec.Team = "green" },
		results:    []store.Result{outage},
		wantStatus: http.StatusServiceUnavailable,
	},
}
