package controller

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/leader"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// storedFormat pairs a record with its encoding by the version in production.
type storedFormat struct {
	name       string
	encoded    string
	decodeInto any // points to an empty record
	want       any
}

var storedFormats = []storedFormat{
	{
		name:       "member",
		encoded:    `{"Member":"n0","Inc":7,"Since":1700000000000}`,
		decodeInto: &leader.MemberRecord{},
		want:       &leader.MemberRecord{Member: "n0", Incarnation: 7, JoinedAtMs: 1700000000000},
	},
	{
		name:       "leader",
		encoded:    `{"Member":"n0","Inc":7}`,
		decodeInto: &leader.LeaderRecord{},
		want:       &leader.LeaderRecord{Member: "n0", Incarnation: 7},
	},
	{
		name:       "assigned shard",
		encoded:    `{"Holder":"n1","Inc":9,"Baton":4,"Ended":true}`,
		decodeInto: &leader.ShardRecord{},
		want:       &leader.ShardRecord{Holder: "n1", Incarnation: 9, Token: 4, PredecessorEnded: true},
	},
	{
		name:       "assigned shard, every earlier term has ended",
		encoded:    `{"Holder":"n1","Inc":9,"Baton":4,"Ended":true,"AllEnded":true}`,
		decodeInto: &leader.ShardRecord{},
		want: &leader.ShardRecord{Holder: "n1", Incarnation: 9, Token: 4, PredecessorEnded: true,
			EarlierTermsEnded: true},
	},
	{
		name:       "earlier terms have ended",
		encoded:    `{"Baton":4}`,
		decodeInto: &leader.EarlierTermsRecord{},
		want:       &leader.EarlierTermsRecord{Token: 4},
	},
	{
		name:       "released shard",
		encoded:    `{"Holder":"","Inc":0,"Baton":4,"Ended":false,"Deaf":"n1"}`,
		decodeInto: &leader.ShardRecord{},
		want:       &leader.ShardRecord{Token: 4, UnreachableMember: "n1"},
	},
	{
		name: "open job",
		encoded: `{"Spec":{"Id":"job-1","Lane":"train","Crew":"red","Shape":"standing","Rank":"critical","Pieces":3,` +
			`"Vcpus":2,"Gpus":0,"MemGb":12.8,"Bundle":"img-1","ImageGb":1,"Builds":["g8"],"Yard":"a",` +
			`"Together":true,"Apart":true,"Loaners":true,"GuessS":0,"BookmarkS":5,"StowS":2,"DueS":9},` +
			`"At":1700000000000,"Block":2}`,
		decodeInto: &submission.OpenJobRecord{},
		want: &submission.OpenJobRecord{
			AcceptedAt: 1700000000000,
			Shard:      2,
			Spec: wire.JobSpec{
				ID:                  "job-1",
				Class:               "train",
				Team:                "red",
				Shape:               wire.ShapeService,
				Priority:            "critical",
				Tasks:               3,
				Vcpus:               2,
				MemGB:               12.8,
				Image:               "img-1",
				ImageGB:             1,
				Types:               []string{"g8"},
				Zone:                "a",
				SameZone:            true,
				SpreadAcrossZones:   true,
				Spot:                true,
				CheckpointIntervalS: 5,
				CheckpointSaveTimeS: 2,
				DeadlineS:           9,
			},
		},
	},
	{
		name: "open job for any machine type",
		encoded: `{"Spec":{"Id":"job-1","Lane":"l","Crew":"red","Shape":"batch","Rank":"low","Pieces":1,` +
			`"Vcpus":1,"Gpus":1,"MemGb":1,"Bundle":"i","ImageGb":1,"AnyBuild":true,"GuessS":1,` +
			`"BookmarkS":0,"StowS":0},"At":5}`,
		decodeInto: &submission.OpenJobRecord{},
		want: &submission.OpenJobRecord{
			AcceptedAt: 5,
			Spec: wire.JobSpec{
				ID:                "job-1",
				Class:             "l",
				Team:              "red",
				Shape:             wire.ShapeBatch,
				Priority:          "low",
				Tasks:             1,
				Vcpus:             1,
				Gpus:              1,
				MemGB:             1,
				Image:             "i",
				ImageGB:           1,
				AnyType:           true,
				EstimatedRunTimeS: 1,
			},
		},
	},
	{
		name:       "job end",
		encoded:    `{"Stage":"done","Done":3}`,
		decodeInto: &submission.JobEndRecord{},
		want:       &submission.JobEndRecord{State: "done", Done: 3},
	},
	{
		name:       "provisioning request",
		encoded:    `{"Build":"g8","Yard":"a","Loaners":true,"Number":2,"Hosts":["i-000001","i-000002"]}`,
		decodeInto: &fleet.ProvisioningRecord{},
		want: &fleet.ProvisioningRecord{
			Type:   "g8",
			Zone:   "a",
			Spot:   true,
			Number: 2,
			Hosts:  []string{"i-000001", "i-000002"},
		},
	},
	{
		name: "machine type",
		encoded: `{"Name":"g8","Vcpus":64,"Gpus":8,"MemGb":384,"LocalGb":0,"FetchGbPerS":0.5,` +
			`"Price":0,"LowPrice":0,"BootS":50,"Yards":["a","b"],"Of":2}`,
		decodeInto: &fleet.MachineTypeRecord{},
		want: &fleet.MachineTypeRecord{
			MachineType: wire.MachineType{
				Name:            "g8",
				Vcpus:           64,
				Gpus:            8,
				MemGB:           384,
				ImagePullGBPerS: 0.5,
				BootTimeS:       50,
				Zones:           []string{"a", "b"},
			},
			Total: 2,
		},
	},
	{
		name: "page of the intent log",
		encoded: `{"i-000001":{"Duty":"return","Token":7,"At":1700000000000},` +
			`"i-000002":{"Duty":"reclaim","Token":7,"At":1700000000000}}`,
		decodeInto: &intentPage{},
		want: &intentPage{entries: []intentlog.Entry{
			{Operation: intentlog.Deprovision, Target: "i-000001", Token: 7, DecidedAt: time.UnixMilli(1700000000000)},
			{Operation: intentlog.Reclaim, Target: "i-000002", Token: 7, DecidedAt: time.UnixMilli(1700000000000)},
		}},
	},
}

// Guards against incompatible changes of stored records: during a rolling upgrade both versions read
// and rewrite each other's records.
func TestStoredFormats(t *testing.T) {
	for _, c := range storedFormats {
		t.Run(c.name, func(t *testing.T) {
			err := json.Unmarshal([]byte(c.encoded), c.decodeInto)
			if err != nil || !reflect.DeepEqual(c.decodeInto, c.want) {
				t.Errorf("decoded as %+v, %v; want %+v", c.decodeInto, err, c.want)
			}
			if raw, err := json.Marshal(c.want); err != nil || string(raw) != c.encoded {
				t.Errorf("encoded as %s, %v; want %s", raw, err, c.encoded)
			}
		})
	}
}
