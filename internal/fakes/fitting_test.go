package fakes

import (
	"testing"

	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// TestFits checks whether a job could start on the machines there are.
func TestFits(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(spec *wire.JobSpec)
		used   quota.Resources
		want   bool
	}{
		{
			name:   "an array needs resources for one task",
			change: func(spec *wire.JobSpec) { spec.Gpus = 8 },
			want:   true,
		},
		{
			name:   "a gang needs resources for all",
			change: func(spec *wire.JobSpec) { spec.Shape, spec.Gpus, spec.Tasks = wire.ShapeGang, 8, 4 },
			want:   false,
		},
		{
			name:   "a gang that fits",
			change: func(spec *wire.JobSpec) { spec.Shape, spec.Gpus = wire.ShapeGang, 8 },
			want:   true,
		},
		{
			name:   "a gang in one zone that has too little",
			change: func(spec *wire.JobSpec) { spec.Shape, spec.Gpus, spec.SameZone = wire.ShapeGang, 8, true },
			want:   false,
		},
		{
			name: "a gang spread over zones",
			change: func(spec *wire.JobSpec) {
				spec.Shape, spec.Gpus, spec.SpreadAcrossZones = wire.ShapeGang, 8, true
			},
			want: true,
		},
		{
			name:   "a team at its limit",
			change: func(spec *wire.JobSpec) { spec.Team = "red" },
			used:   quota.Resources{GPUs: 4},
			want:   false,
		},
		{
			name:   "a task larger than any machine",
			change: func(spec *wire.JobSpec) { spec.MemGb = 65 },
			want:   false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := testCluster()
			job := cluster.addTestJob(test.change)
			if got := cluster.Fits(job, test.used, func(*Worker) bool { return true }); got != test.want {
				t.Errorf("fits: %t", got)
			}
		})
	}
}
