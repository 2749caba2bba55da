package controller

import (
	"encoding/json"
	"reflect"
	"testing"

	"juniperchute/internal/fleet"
	"juniperchute/internal/leader"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// What the version in production keeps in the state service, as it writes it. Both
// versions read and rewrite each other's records while they serve side by side.
func TestStoredFormats(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		into any
		want any
	}{
		{"a member", `{"Member":"n0","Inc":7,"Since":1700000000000}`, &leader.MemberRecord{}, &leader.MemberRecord{Member: "n0", Incarnation: 7, JoinedAtMs: 1700000000000}},
		{"the leader", `{"Member":"n0","Inc":7}`, &leader.LeaderRecord{}, &leader.LeaderRecord{Member: "n0", Incarnation: 7}},
		{"a block", `{"Holder":"n1","Inc":9,"Baton":4,"Ended":true}`, &leader.ShardRecord{}, &leader.ShardRecord{Holder: "n1", Incarnation: 9, Token: 4, PredecessorEnded: true}},
		{"a block given back", `{"Holder":"","Inc":0,"Baton":4,"Ended":false,"Deaf":"n1"}`, &leader.ShardRecord{}, &leader.ShardRecord{Token: 4, Unreachable: "n1"}},
		{"an open job", `{"Spec":{"Id":"job-1","Lane":"train","Crew":"red","Shape":"standing","Rank":"critical","Pieces":3,"Vcpus":2,"Gpus":0,"MemGb":12.8,` +
			`"Bundle":"img-1","ImageGb":1,"Builds":["g8"],"Yard":"a","Together":true,"Apart":true,"Loaners":true,"GuessS":0,"BookmarkS":5,"StowS":2,"DueS":9},"At":1700000000000,"Block":2}`,
			&submission.OpenJobRecord{}, &submission.OpenJobRecord{AcceptedAt: 1700000000000, Shard: 2, Spec: wire.JobSpec{ID: "job-1", Class: "train", Team: "red", Shape: wire.ShapeService, Priority: "critical",
				Tasks: 3, Vcpus: 2, MemGb: 12.8, Image: "img-1", ImageGb: 1, Types: []string{"g8"}, Zone: "a", SameZone: true, SpreadAcrossZones: true, Spot: true, CheckpointIntervalS: 5, CheckpointSaveTimeS: 2, DeadlineS: 9}}},
		{"an open job of any type", `{"Spec":{"Id":"job-1","Lane":"l","Crew":"red","Shape":"batch","Rank":"low","Pieces":1,"Vcpus":1,"Gpus":1,"MemGb":1,` +
			`"Bundle":"i","ImageGb":1,"AnyBuild":true,"GuessS":1,"BookmarkS":0,"StowS":0},"At":5}`,
			&submission.OpenJobRecord{}, &submission.OpenJobRecord{AcceptedAt: 5, Spec: wire.JobSpec{ID: "job-1", Class: "l", Team: "red", Shape: wire.ShapeBatch, Priority: "low",
				Tasks: 1, Vcpus: 1, Gpus: 1, MemGb: 1, Image: "i", ImageGb: 1, AnyType: true, EstimatedRunTimeS: 1}}},
		{"how a job ended", `{"Stage":"done","Done":3}`, &submission.JobEndRecord{}, &submission.JobEndRecord{Stage: "done", Done: 3}},
		{"a rental request", `{"Build":"g8","Yard":"a","Loaners":true,"Number":2,"Hosts":["i-000001","i-000002"]}`, &fleet.ProvisioningRecord{},
			&fleet.ProvisioningRecord{Type: "g8", Zone: "a", Spot: true, Number: 2, Hosts: []string{"i-000001", "i-000002"}}},
		{"a machine type", `{"Name":"g8","Vcpus":64,"Gpus":8,"MemGb":384,"LocalGb":0,"FetchGbPerS":0.5,"Price":0,"LowPrice":0,"BootS":50,"Yards":["a","b"],"Of":2}`, &fleet.MachineTypeRecord{},
			&fleet.MachineTypeRecord{MachineType: wire.MachineType{Name: "g8", Vcpus: 64, Gpus: 8, MemGb: 384, FetchGbPerS: 0.5, BootTimeS: 50, Zones: []string{"a", "b"}}, Total: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := json.Unmarshal([]byte(c.text), c.into); err != nil || !reflect.DeepEqual(c.into, c.want) {
				t.Errorf("read as %+v, %v; want %+v", c.into, err, c.want)
			}
			if raw, err := json.Marshal(c.want); err != nil || string(raw) != c.text {
				t.Errorf("written as %s, %v; want %s", raw, err, c.text)
			}
		})
	}
}
