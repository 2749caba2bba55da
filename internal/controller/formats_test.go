package controller

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/leader"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
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
			&submission.OpenRec{}, &submission.OpenRec{At: 1700000000000, Block: 2, Spec: wire.JobSpec{ID: "job-1", Class: "train", Team: "red", Shape: wire.ShapeService, Priority: "critical",
				Tasks: 3, Vcpus: 2, MemGb: 12.8, Image: "img-1", ImageGb: 1, Types: []string{"g8"}, Zone: "a", SameZone: true, SpreadAcrossZones: true, Spot: true, CheckpointIntervalS: 5, CheckpointSaveTimeS: 2, DeadlineS: 9}}},
		{"an open job of any type", `{"Spec":{"Id":"job-1","Lane":"l","Crew":"red","Shape":"batch","Rank":"low","Pieces":1,"Vcpus":1,"Gpus":1,"MemGb":1,` +
			`"Bundle":"i","ImageGb":1,"AnyBuild":true,"GuessS":1,"BookmarkS":0,"StowS":0},"At":5}`,
			&submission.OpenRec{}, &submission.OpenRec{At: 5, Spec: wire.JobSpec{ID: "job-1", Class: "l", Team: "red", Shape: wire.ShapeBatch, Priority: "low",
				Tasks: 1, Vcpus: 1, Gpus: 1, MemGb: 1, Image: "i", ImageGb: 1, AnyType: true, EstimatedRunTimeS: 1}}},
		{"how a job ended", `{"Stage":"done","Done":3}`, &submission.JobRec{}, &submission.JobRec{Stage: "done", Done: 3}},
		{"a rental request", `{"Build":"g8","Yard":"a","Loaners":true,"Number":2,"Hosts":["i-000001","i-000002"]}`, &fleet.RentalRec{},
			&fleet.RentalRec{Type: "g8", Zone: "a", Spot: true, Number: 2, Hosts: []string{"i-000001", "i-000002"}}},
		{"a machine type", `{"Name":"g8","Vcpus":64,"Gpus":8,"MemGb":384,"LocalGb":0,"FetchGbPerS":0.5,"Price":0,"LowPrice":0,"BootS":50,"Yards":["a","b"],"Of":2}`, &fleet.MachineTypeRec{},
			&fleet.MachineTypeRec{MachineType: wire.MachineType{Name: "g8", Vcpus: 64, Gpus: 8, MemGb: 384, FetchGbPerS: 0.5, BootTimeS: 50, Zones: []string{"a", "b"}}, Of: 2}},
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

// Tallies of jobs with more tasks than one entry may tell of under the limits to come:
// what an earlier version left is read, made smaller when it is rewritten, and never
// lost; small jobs' entries are what they always were.
func TestCompletionBitmapsUnderLowerLimits(t *testing.T) {
	const presentKB, limitKB = 8.0, 2.0
	now := time.Unix(0, 0)
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	cfg := testConfig([]string{"a"}, nil, 1.5, 10)
	reg := worker.NewRegistry(cfg.Platform.Workers, quiet)
	board := placement.NewBoard(cfg.Platform, 1, quota.NewBook(nil, 0, 1), reg, nil, quiet, func(time.Time, *placement.Job) {})
	add := func(id string, tasks int) *placement.Job {
		return board.AddJob(now, wire.JobSpec{ID: id, Shape: wire.ShapeBatch, Tasks: tasks}, now, 1, true)
	}
	for _, c := range []struct {
		name  string
		tasks int
		keys  int  // by which its completions are kept in the end
		old   bool // the first of them is the one that was there
	}{
		{"a usual job", 300, 1, true},
		{"one that fills the entry", 10000, 1, true},
		{"two parts", 16384, 2, false},
		{"the largest", wire.MaxTasksPerJob, 13, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			id := "job-" + fmt.Sprint(c.tasks)
			want := map[int]bool{}
			chunk := int(presentKB*1024) * tuning.TallyBits
			old := map[string][]byte{} // as the version in production writes them
			for first := 0; first < c.tasks; first += chunk {
				bits := make([]byte, (min(chunk, c.tasks-first)+7)/8)
				for n := first; n < min(first+chunk, c.tasks); n += 7 {
					bits[(n-first)/8] |= 1 << ((n - first) % 8)
					want[n] = true
				}
				old[fmt.Sprintf("%s/%d", id, first/chunk)] = bits
			}
			var items []wire.KeyValue
			for k, bits := range old {
				raw, _ := json.Marshal(map[string][]byte{k: bits})
				items = append(items, wire.KeyValue{Key: fmt.Sprintf("t/0/%d", len(items)), Value: raw, Version: uint64(len(items) + 1)})
			}
			kv := map[string]wire.KeyValue{}
			for _, it := range items {
				kv[it.Key] = it
			}
			revision := uint64(100)
			call := func(c store.Call, then func(time.Time, store.Result)) {
				revision++
				for _, w := range c.Transaction.Writes {
					if len(w.Value) > limitKB*1024 {
						t.Errorf("%s is written with %d bytes", w.Put, len(w.Value))
					}
					delete(kv, w.Delete)
					if w.Put != "" {
						kv[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Version: revision}
					}
				}
				then(now, store.Result{Status: 200, Revision: revision})
			}
			tenure := func() (*completionBitmaps, *placement.Job) {
				board.CloseJob(now, id, now)
				j := add(id, c.tasks)
				tl := newCompletionBitmaps(store.NewPages("t/0/", limitKB, time.Second, store.PriorityCompletion, store.VersionEquals("c/b/0", 1), call, quiet, func(time.Time) { t.Error("lost") }), presentKB)
				var all []wire.KeyValue
				for _, it := range kv {
					all = append(all, it)
				}
				tl.load(all, board.Job)
				for range 8 {
					now = now.Add(2 * time.Second)
					tl.pages.Tick(now)
				}
				return tl, j
			}
			for round := range 2 { // and what was written is read again
				_, j := tenure()
				fresh, bits := j.Unsaved(0, c.tasks)
				got := 0
				for n := range c.tasks {
					if bits[n/8]&(1<<(n%8)) != 0 {
						got++
						if !want[n] {
							t.Fatalf("round %d: task %d was not completed", round, n)
						}
					}
				}
				if got != len(want) || len(fresh) != 0 {
					t.Fatalf("round %d: %d completions of %d, %d not durable", round, got, len(want), len(fresh))
				}
			}
			keys := map[string]bool{}
			for _, it := range kv {
				entries := map[string]json.RawMessage{}
				_ = json.Unmarshal(it.Value, &entries)
				for k := range entries {
					keys[k] = true
				}
			}
			if len(keys) != c.keys || c.old != keys[id+"/0"] {
				t.Errorf("kept as %d entries: %v", len(keys), keys)
			}
			tl, _ := tenure()
			tl.forget(id)
			tl.pages.Tick(now)
			now = now.Add(tuning.PruneEvery)
			tl.pages.Tick(now)
			if len(kv) != 0 {
				t.Errorf("%d pages are left of a job that is over", len(kv))
			}
		})
	}
}
