package integration

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

	"juniperchute/internal/clock"
	"juniperchute/internal/controller"
	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/standin"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// BenchmarkRequest measures what a client's request costs a controller that holds
// the block: reading, checking, deciding and answering it. The client's time and the
// stand-ins' are in it.
func BenchmarkRequest(b *testing.B) {
	load := standin.LeanWorkloads()[1]
	load.Nodes = 1
	deployment := newDeployment(b, load.Config(), standin.LargeMachineType(), load.Machines)
	settings := &deployment.controllers[0].config
	runtime := controller.NewRuntime(settings, controller.Options{Shards: tuning.Shards}, clock.New(nil), slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 1)))
	ctx, stop := context.WithCancel(b.Context())
	finished := make(chan error)
	go func() { finished <- runtime.Run(ctx) }()
	defer func() { stop(); <-finished }()
	deployment.waitUntil("healthy", func() bool {
		status, _ := httpGet(deployment.users, "http://"+settings.APIAddr+"/healthz")
		return status == http.StatusOK
	})
	conn, err := net.Dial("tcp", settings.APIAddr)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	send := func(b *testing.B, status int, method, path string, body []byte) {
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
	send(b, http.StatusCreated, http.MethodPost, "/submissions", job(1))
	connection, err := peer.Dial(settings.PeerBind)
	if err != nil {
		b.Fatal(err)
	}
	defer connection.Close()
	peers := peerpb.NewPeerClient(connection)
	jobIDs := slices.Repeat([]string{"job-000001"}, 100)
	heartbeat := wire.Heartbeat{Host: "i-999999", Address: "127.0.0.1:1", Type: "g8", Zone: "a", Incarnation: 1, Token: 1}
	for i := range 8 {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Name: fmt.Sprintf("job-%06d/%d", 1, i), Attempt: 1<<20 + uint64(i), State: wire.TaskRunning})
	}
	for _, benchmark := range []struct {
		name string
		ask  func(b *testing.B)
	}{
		{"report", func(b *testing.B) {
			heartbeat.Sequence++
			raw, _ := json.Marshal(heartbeat)
			send(b, http.StatusOK, http.MethodPost, "/checkin", raw)
		}},
		{"question", func(b *testing.B) { send(b, http.StatusOK, http.MethodGet, "/submissions/job-000001", nil) }},
		{"submission again", func(b *testing.B) { send(b, http.StatusOK, http.MethodPost, "/submissions", job(1)) }},
		{"malformed", func(b *testing.B) { send(b, http.StatusBadRequest, http.MethodPost, "/submissions", job(1)[1:]) }},
		{"pulse of a peer", func(b *testing.B) {
			if _, err := peers.Pulse(b.Context(), &peerpb.PeerHeartbeat{Member: "node-1", Claims: []*peerpb.LeaseClaim{{Token: 1, Holder: "node-0"}}}); err != nil {
				b.Fatal(err)
			}
		}},
		{"peer's question about 100 jobs", func(b *testing.B) {
			if _, err := peers.Progress(b.Context(), &peerpb.ProgressRequest{Jobs: jobIDs}); err != nil {
				b.Fatal(err)
			}
		}},
		{"health", func(b *testing.B) { send(b, http.StatusOK, http.MethodGet, "/healthz", nil) }},
	} {
		b.Run(benchmark.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				benchmark.ask(b)
			}
		})
	}
}
