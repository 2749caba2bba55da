package submission

import (
	"errors"
	"net/http"
	"slices"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// limitTolerance absorbs floating-point rounding in the product of a task count and fractional resources.
const limitTolerance = 1e-6

// errMachineTypesUnknown means that the feasibility of a job cannot be decided yet. The user may retry.
var errMachineTypesUnknown = errors.New("machine types are not known yet")

// rejectionError is the permanent reason for the rejection of a submission.
type rejectionError struct {
	status int    // HTTP status of the response
	reason string // sent to the user
}

func (e *rejectionError) Error() string { return e.reason }

// Rejections of jobs that can never run. The texts are part of the API.
var (
	errUnknownTeam    = &rejectionError{http.StatusUnprocessableEntity, "unknown team"}
	errOverTeamLimit  = &rejectionError{http.StatusUnprocessableEntity, "needs more than the team's limit"}
	errNoMachineType  = &rejectionError{http.StatusUnprocessableEntity, "a task fits no allowed machine type"}
	errCannotBeSpread = &rejectionError{http.StatusUnprocessableEntity, "its tasks cannot be spread over zones"}
	errRecordTooLarge = &rejectionError{http.StatusBadRequest, "too large to be kept"}
)

// checkFeasible checks whether a job can run on this deployment. It returns a *rejectionError if the job
// can never run, and errMachineTypesUnknown if that cannot be decided yet.
func checkFeasible(spec *wire.JobSpec, teams []config.Team, machineTypes map[string]wire.MachineType) error {
	if err := checkTeamLimit(spec, teams); err != nil {
		return err
	}
	if len(machineTypes) == 0 {
		return errMachineTypesUnknown
	}
	zones := feasibleZones(spec, machineTypes)
	if len(zones) == 0 {
		return errNoMachineType
	}
	mustSpread := needsAllTasks(spec) && spec.SpreadAcrossZones && spec.Tasks > 1
	if mustSpread && (spec.SameZone || len(zones) == 1) {
		return errCannotBeSpread
	}
	return nil
}

// needsAllTasks reports whether all tasks of a job have to run at the same time, as those of a gang or a
// service do. A job array makes progress with any number of running tasks.
func needsAllTasks(spec *wire.JobSpec) bool { return spec.Shape != wire.ShapeBatch }

// checkTeamLimit checks that the team exists and that the tasks that have to run at the same time fit into
// the team's limit.
func checkTeamLimit(spec *wire.JobSpec, teams []config.Team) error {
	index := slices.IndexFunc(teams, func(candidate config.Team) bool { return candidate.Name == spec.Team })
	if index < 0 {
		return errUnknownTeam
	}
	tasks := 1.0
	if needsAllTasks(spec) {
		tasks = float64(spec.Tasks)
	}
	team := teams[index]
	overCPUs := team.CPUsMax > 0 && tasks*spec.Vcpus > team.CPUsMax+limitTolerance
	overGPUs := team.GPUsMax > 0 && tasks*spec.Gpus > team.GPUsMax+limitTolerance
	if overCPUs || overGPUs {
		return errOverTeamLimit
	}
	return nil
}

// feasibleZones returns the allowed zones that offer an allowed machine type into which one task of the
// job fits.
func feasibleZones(spec *wire.JobSpec, machineTypes map[string]wire.MachineType) map[string]bool {
	required := quota.Resources{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGB}
	zones := map[string]bool{}
	for _, machineType := range machineTypes {
		if !spec.AnyType && !slices.Contains(spec.Types, machineType.Name) {
			continue
		}
		capacity := quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGB}
		if !capacity.Covers(required) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}
