package fakes

import (
	"testing"

	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// TestFits guards against jobs wrongly reported as fitting or not fitting on the free machines.
func TestFits(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(spec *wire.JobSpec)
		used   quota.Resources
		want   bool
	}{
		{
			name:   "an array fits if one task fits",
			change: func(spec *wire.JobSpec) { spec.Gpus = 8 },
			want:   true,
		},
		{
			name:   "a gang larger than the free resources does not fit",
			change: func(spec *wire.JobSpec) { spec.Shape, spec.Gpus, spec.Tasks = wire.ShapeGang, 8, 4 },
			want:   false,
		},
		{
			name:   "a gang fits if all tasks fit",
			change: func(spec *wire.JobSpec) { spec.Shape, spec.Gpus = wire.ShapeGang, 8 },
			want:   true,
		},
		{
			name:   "a same-zone gang larger than a zone does not fit",
			change: func(spec *wire.JobSpec) { spec.Shape, spec.Gpus, spec.SameZone = wire.ShapeGang, 8, true },
			want:   false,
		},
		{
			name: "a spread gang fits in two zones",
			change: func(spec *wire.JobSpec) {
				spec.Shape, spec.Gpus, spec.SpreadAcrossZones = wire.ShapeGang, 8, true
			},
			want: true,
		},
		{
			name:   "a job of a team at its limit does not fit",
			change: func(spec *wire.JobSpec) { spec.Team = "red" },
			used:   quota.Resources{GPUs: 4},
			want:   false,
		},
		{
			name:   "a task larger than any machine does not fit",
			change: func(spec *wire.JobSpec) { spec.MemGB = 65 },
			want:   false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := testCluster()
			job := cluster.addTestJob(test.change)
			if got := cluster.Fits(job, test.used, func(*Worker) bool { return true }); got != test.want {
				t.Errorf("Fits returned %t, want %t", got, test.want)
			}
		})
	}
}
