package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/wire"
)

// leanWorld is a deployment of the size of a lean one in simulated time, loaded and
// steady.
func leanWorld(s labSize) *world {
	machineTypes := []wire.MachineType{{Name: "g8", Vcpus: 64, Gpus: 8, MemGb: 384, FetchGbPerS: 1, Price: 5, LowPrice: 2, BootS: 5, Zones: []string{"a"}}}
	cfg := facts([]string{"a"}, []config.Team{{Name: "red"}}, s.reportS, s.leaseS)
	cfg.Facts.State = config.State{RPS: s.stateRPS, WriteRPS: s.writes, ValueKB: 8, TxnOps: 16}
	w := newWorld(nil, 5, cfg, 1, machineTypes)
	w.state.page, w.state.kept, w.cloud.page = 1000, 10000, 500
	w.cloud.room[roomKey("g8", "a", false)] = s.machines
	n := 0
	add := func(gang bool) {
		spec := wire.Submission{ID: fmt.Sprintf("job-%06d", n), Team: "red", Class: "sweep", Shape: wire.ShapeBatch, Priority: "low", Tasks: s.tasks,
			Vcpus: 6, Gpus: 1, MemGb: 36, Bundle: fmt.Sprintf("img-%d", n%12), ImageGb: 2, AnyType: true, GuessS: s.run.Seconds(), BookmarkS: 20, StowS: 3}
		if gang {
			spec.Class, spec.Shape, spec.Priority, spec.Tasks, spec.Vcpus, spec.Gpus, spec.MemGb = "model", wire.ShapeGang, "normal", 2, 57, 8, 310
		}
		n++
		w.add(spec, s.run)
	}
	for i := range s.machines / 2 {
		add(i%2 == 0)
	}
	var more func()
	owed := [2]float64{}
	more = func() {
		for i, rate := range []float64{s.arrays, s.gangs} {
			for owed[i] += rate / 10; owed[i] >= 1; owed[i]-- {
				add(i == 1)
			}
		}
		w.clk.in(100*time.Millisecond, more)
	}
	more()
	for w.clk.now.Sub(begin) < 45*time.Second {
		w.clk.step()
	}
	return w
}

// BenchmarkSteady measures a second of a lean deployment's decisions, at all its
// controllers, without what carries them out. The stand-ins' time is in it.
func BenchmarkSteady(b *testing.B) {
	for _, s := range labSizes {
		b.Run(s.name, func(b *testing.B) {
			w := leanWorld(s)
			first := w.longest
			w.longest = 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for end := w.clk.now.Add(time.Second); w.clk.now.Before(end); {
					w.clk.step()
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(len(w.workers)), "machines")
			b.ReportMetric(float64(w.longest.Microseconds()), "us/longest-turn")
			b.ReportMetric(float64(first.Microseconds()), "us/longest-turn-at-first")
			if w.holder() == nil {
				b.Fatal("no holder")
			}
		})
	}
}

// BenchmarkRequest measures what a client's request costs a controller that holds
// the block: reading, checking, deciding and answering it. The client's time and the
// stand-ins' are in it.
func BenchmarkRequest(b *testing.B) {
	s := labSizes[1]
	s.nodes = 1
	l := newLab(b, s)
	r := NewRuntime(&l.nodes[0].cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 1)))
	ctx, stop := context.WithCancel(b.Context())
	over := make(chan error)
	go func() { over <- r.Run(ctx) }()
	defer func() { stop(); <-over }()
	l.until("healthy", r.healthy.Load)
	conn, err := net.Dial("tcp", r.cfg.APIAddr)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	ask := func(b *testing.B, status int, method, path string, body []byte) {
		raw := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", method, path, len(body))
		if _, err := conn.Write(append(raw, body...)); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != status {
			b.Fatalf("%s %s answered %d, %v", method, path, resp.StatusCode, err)
		}
	}
	job := func(n int) []byte {
		return fmt.Appendf(nil, `{"Id":"job-%06d","Lane":"train","Crew":"red","Shape":"gang","Rank":"high","Pieces":16,"Vcpus":8.0,"Gpus":1.0,"MemGb":64.0,`+
			`"Bundle":"img-07","ImageGb":6.2,"Builds":["g8"],"Yard":null,"Together":true,"Apart":false,"Loaners":true,"GuessS":240.0,"BookmarkS":30.0,"StowS":4.0,"DueS":900.0}`, n)
	}
	ask(b, http.StatusCreated, http.MethodPost, "/submissions", job(1))
	line, err := peer.Dial(r.cfg.PeerBind)
	if err != nil {
		b.Fatal(err)
	}
	defer line.Close()
	peers := peerpb.NewPeerClient(line)
	many := slices.Repeat([]string{"job-000001"}, 100)
	rep := wire.Report{Host: "i-999999", Address: "127.0.0.1:1", Type: "g8", Zone: "a", Session: 1, Token: 1}
	for i := range 8 {
		rep.Tasks = append(rep.Tasks, wire.Task{Task: fmt.Sprintf("job-%06d/%d", 1, i), Attempt: 1<<20 + uint64(i), Stage: wire.TaskRunning})
	}
	for _, c := range []struct {
		name string
		ask  func(b *testing.B)
	}{
		{"report", func(b *testing.B) {
			rep.Seq++
			raw, _ := json.Marshal(rep)
			ask(b, http.StatusOK, http.MethodPost, "/checkin", raw)
		}},
		{"question", func(b *testing.B) { ask(b, http.StatusOK, http.MethodGet, "/submissions/job-000001", nil) }},
		{"submission again", func(b *testing.B) { ask(b, http.StatusOK, http.MethodPost, "/submissions", job(1)) }},
		{"malformed", func(b *testing.B) { ask(b, http.StatusBadRequest, http.MethodPost, "/submissions", job(1)[1:]) }},
		{"pulse of a peer", func(b *testing.B) {
			if _, err := peers.Pulse(b.Context(), &peerpb.PulseMessage{Member: "node-1", Holdings: []*peerpb.Holding{{Token: 1, Holder: "node-0"}}}); err != nil {
				b.Fatal(err)
			}
		}},
		{"peer's question about 100 jobs", func(b *testing.B) {
			if _, err := peers.Progress(b.Context(), &peerpb.ProgressRequest{Jobs: many}); err != nil {
				b.Fatal(err)
			}
		}},
		{"health", func(b *testing.B) { ask(b, http.StatusOK, http.MethodGet, "/healthz", nil) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				c.ask(b)
			}
		})
	}
}
