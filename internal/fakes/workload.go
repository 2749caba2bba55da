package fakes

import (
	"fmt"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// DeploymentConfig returns the platform configuration of a small deployment with the given zones,
// teams, and heartbeat interval and lease of the workers in seconds.
func DeploymentConfig(zones []string, teams []config.Team, heartbeatS, leaseS float64) config.Platform {
	return config.Platform{
		Nodes:         3,
		Zones:         zones,
		ClockSkewMS:   100,
		Teams:         teams,
		Objectives:    []config.Objective{{Kind: "finished", Class: "sweep", WithinS: 60, Share: 0.8}},
		Workers:       config.Workers{HeartbeatS: heartbeatS, LeaseS: leaseS, GangWaitS: 20, GangPeerS: 4, CancelS: 35},
		State:         config.StateLimits{RPS: 200, WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		Cloud:         config.CloudLimits{RPS: 8, ListLagS: 3},
		MachineLimits: config.MachineLimits{CPU: 0.1, MemoryMB: 98, Sockets: 900},
	}
}

// Workload describes the size of a benchmark's deployment and the jobs that its users submit.
type Workload struct {
	Name       string
	Nodes      int // number of controllers
	Machines   int
	Limits     config.MachineLimits // of a controller's process
	HeartbeatS float64              // heartbeat interval of the workers in seconds
	LeaseS     float64              // lease of the workers in seconds

	ArraysPerS    float64
	GangsPerS     float64
	TasksPerArray int
	RunTime       time.Duration // of each task

	// Rate limits of the state service.
	RequestsPerS float64
	WritesPerS   float64
}

// SmallWorkloads returns the workloads of 180 and 600 machines.
func SmallWorkloads() []Workload {
	return []Workload{
		{
			Name:          "exams",
			Nodes:         3,
			Machines:      180,
			Limits:        config.MachineLimits{CPU: 0.036, MemoryMB: 65, Sockets: 900},
			HeartbeatS:    1.5,
			LeaseS:        10,
			ArraysPerS:    0.4,
			GangsPerS:     0.4,
			TasksPerArray: 20,
			RunTime:       70 * time.Second,
			RequestsPerS:  200,
			WritesPerS:    20,
		},
		{
			Name:          "dispatch",
			Nodes:         7,
			Machines:      600,
			Limits:        config.MachineLimits{CPU: 0.09, MemoryMB: 114, Sockets: 1500},
			HeartbeatS:    4,
			LeaseS:        18,
			ArraysPerS:    1,
			GangsPerS:     0.9,
			TasksPerArray: 75,
			RunTime:       40 * time.Second,
			RequestsPerS:  250,
			WritesPerS:    25,
		},
	}
}

// LargestWorkload returns a workload of 4,000 machines, the largest for a single lease holder.
func LargestWorkload() Workload {
	return Workload{
		Name:          "4,000 machines",
		Nodes:         3,
		Machines:      4000,
		Limits:        config.MachineLimits{CPU: 0.432, MemoryMB: 271, Sockets: 2179},
		HeartbeatS:    5,
		LeaseS:        26.5,
		ArraysPerS:    2.4,
		GangsPerS:     3.5,
		TasksPerArray: 150,
		RunTime:       60 * time.Second,
		RequestsPerS:  400,
		WritesPerS:    40,
	}
}

// LargeMachineType returns the type of the machines that run workloads.
func LargeMachineType() wire.MachineType {
	return wire.MachineType{
		Name:            "g8",
		Vcpus:           64,
		Gpus:            8,
		MemGB:           384,
		ImagePullGBPerS: 1,
		Price:           5,
		SpotPrice:       2,
		BootTimeS:       5,
		Zones:           []string{"a"},
	}
}

// Config returns the platform configuration of the workload's deployment.
func (w Workload) Config() config.Platform {
	platform := DeploymentConfig([]string{"a"}, []config.Team{{Name: "red"}}, w.HeartbeatS, w.LeaseS)
	platform.Nodes, platform.MachineLimits = w.Nodes, w.Limits
	platform.State = config.StateLimits{RPS: w.RequestsPerS, WriteRPS: w.WritesPerS, ValueKB: 8, TxnOps: 16}
	platform.Objectives = []config.Objective{
		{Kind: "finished", Class: "sweep", WithinS: 250},
		{Kind: "finished", Class: "model", WithinS: 350},
	}
	return platform
}

// Array returns the job array with the given number. The number determines the job ID and image.
func (w Workload) Array(number int) wire.JobSpec {
	return wire.JobSpec{
		ID:                  fmt.Sprintf("job-%06d", number),
		Team:                "red",
		Class:               "sweep",
		Shape:               wire.ShapeBatch,
		Priority:            "low",
		Tasks:               w.TasksPerArray,
		Vcpus:               6,
		Gpus:                1,
		MemGB:               36,
		Image:               fmt.Sprintf("img-%d", number%12),
		ImageGB:             2,
		AnyType:             true,
		EstimatedRunTimeS:   w.RunTime.Seconds(),
		CheckpointIntervalS: 20,
		CheckpointSaveTimeS: 3,
	}
}

// Gang returns the gang with the given number. The number determines the job ID and image.
func (w Workload) Gang(number int) wire.JobSpec {
	spec := w.Array(number)
	spec.Class, spec.Shape, spec.Priority = "model", wire.ShapeGang, "normal"
	spec.Tasks, spec.Vcpus, spec.Gpus, spec.MemGB = 2, 57, 8, 310
	return spec
}

// SubmissionBody returns the JSON body of a submission. It does not use the controllers' encoder, so
// tests detect an encoder that deviates from the protocol.
func SubmissionBody(spec wire.JobSpec) map[string]any {
	body := map[string]any{
		"Id":        spec.ID,
		"Lane":      spec.Class,
		"Crew":      spec.Team,
		"Shape":     spec.Shape,
		"Rank":      spec.Priority,
		"Pieces":    spec.Tasks,
		"Vcpus":     spec.Vcpus,
		"Gpus":      spec.Gpus,
		"MemGb":     spec.MemGB,
		"Bundle":    spec.Image,
		"ImageGb":   spec.ImageGB,
		"Builds":    nil,
		"Yard":      nil,
		"Together":  spec.SameZone,
		"Apart":     spec.SpreadAcrossZones,
		"Loaners":   spec.Spot,
		"GuessS":    spec.EstimatedRunTimeS,
		"BookmarkS": spec.CheckpointIntervalS,
		"StowS":     spec.CheckpointSaveTimeS,
		"DueS":      nil,
	}
	if !spec.AnyType {
		body["Builds"] = spec.Types
	}
	if spec.Zone != "" {
		body["Yard"] = spec.Zone
	}
	return body
}
