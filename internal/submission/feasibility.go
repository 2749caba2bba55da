package submission

import (
	"errors"
	"net/http"
	"slices"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// limitTolerance absorbs the rounding of a job's resources, a product of its tasks and
// fractions of cores.
const limitTolerance = 1e-6

// errMachineTypesUnknown means that it cannot be decided yet whether a job can run.
var errMachineTypesUnknown = errors.New("machine types are not known yet")

// rejectionError is the reason why a submission is rejected for good.
type rejectionError struct {
	status int    // HTTP status of the response
	reason string // as the user gets it
}

func (e *rejectionError) Error() string { return e.reason }

// Rejections of jobs that can never run.
var (
	errUnknownTeam    = &rejectionError{http.StatusUnprocessableEntity, "unknown team"}
	errOverTeamLimit  = &rejectionError{http.StatusUnprocessableEntity, "needs more than the team's limit"}
	errNoMachineType  = &rejectionError{http.StatusUnprocessableEntity, "a task fits no allowed machine type"}
	errCannotBeSpread = &rejectionError{http.StatusUnprocessableEntity, "its tasks cannot be spread over zones"}
	errRecordTooLarge = &rejectionError{http.StatusBadRequest, "too large to be kept"}
)

// checkFeasible returns nil if a job can run on this deployment, a *rejectionError if it
// never can, or errMachineTypesUnknown.
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
	mustSpread := runsAllTasksAtOnce(spec) && spec.SpreadAcrossZones && spec.Tasks > 1
	if mustSpread && (spec.SameZone || len(zones) == 1) {
		return errCannotBeSpread
	}
	return nil
}

// runsAllTasksAtOnce reports whether a job is of use only while all its tasks run, as a
// gang and a service are. An array gets on with one task at a time.
func runsAllTasksAtOnce(spec *wire.JobSpec) bool { return spec.Shape != wire.ShapeBatch }

// checkTeamLimit checks that the tasks that have to run at once stay within their team's limit.
func checkTeamLimit(spec *wire.JobSpec, teams []config.Team) error {
	index := slices.IndexFunc(teams, func(candidate config.Team) bool { return candidate.Name == spec.Team })
	if index < 0 {
		return errUnknownTeam
	}
	tasks := 1.0
	if runsAllTasksAtOnce(spec) {
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

// feasibleZones returns the zones in which some machine type that the job allows holds
// one of its tasks.
func feasibleZones(spec *wire.JobSpec, machineTypes map[string]wire.MachineType) map[string]bool {
	required := quota.Resources{CPUs: spec.Vcpus, GPUs: spec.Gpus, MemGB: spec.MemGb}
	zones := map[string]bool{}
	for _, machineType := range machineTypes {
		if !spec.AnyType && !slices.Contains(spec.Types, machineType.Name) {
			continue
		}
		capacity := quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGb}
		if !capacity.Fits(required) {
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
