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
	"juniperchute/internal/config"
	"juniperchute/internal/controller"
	"juniperchute/internal/fakes"
	"juniperchute/internal/peer"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// queriedJobs is the number of jobs in a peer's progress query.
const queriedJobs = 100

// requestBenchmarks are the requests that BenchmarkRequest measures.
var requestBenchmarks = []struct {
	name string
	send func(f *requestFixture, b *testing.B)
}{
	{
		name: "heartbeat",
		send: func(f *requestFixture, b *testing.B) {
			f.heartbeat.Sequence++
			raw, _ := json.Marshal(f.heartbeat)
			f.http(b, http.MethodPost, "/checkin", raw, http.StatusOK)
		},
	},
	{
		name: "query",
		send: func(f *requestFixture, b *testing.B) {
			f.http(b, http.MethodGet, "/submissions/job-000001", nil, http.StatusOK)
		},
	},
	{
		name: "submission again",
		send: func(f *requestFixture, b *testing.B) {
			f.http(b, http.MethodPost, "/submissions", gangSubmission(1), http.StatusOK)
		},
	},
	{
		name: "malformed",
		send: func(f *requestFixture, b *testing.B) {
			f.http(b, http.MethodPost, "/submissions", gangSubmission(1)[1:], http.StatusBadRequest)
		},
	},
	{
		name: "heartbeat of a peer",
		send: func(f *requestFixture, b *testing.B) {
			heartbeat := &peerpb.PeerHeartbeat{
				Member: "node-1",
				Claims: []*peerpb.LeaseClaim{{Token: 1, Holder: "node-0"}},
			}
			if _, err := f.peer.Pulse(b.Context(), heartbeat); err != nil {
				b.Fatal(err)
			}
		},
	},
	{
		name: "peer's query about 100 jobs",
		send: func(f *requestFixture, b *testing.B) {
			if _, err := f.peer.Progress(b.Context(), &peerpb.ProgressRequest{Jobs: f.jobIDs}); err != nil {
				b.Fatal(err)
			}
		},
	},
	{
		name: "health",
		send: func(f *requestFixture, b *testing.B) { f.http(b, http.MethodGet, "/healthz", nil, http.StatusOK) },
	},
}

// BenchmarkRequest measures the time and allocations of a request to the shard's lease holder, from
// decoding to the reply. The results include the client and the fakes.
func BenchmarkRequest(b *testing.B) {
	fixture := newRequestFixture(b)
	for _, benchmark := range requestBenchmarks {
		b.Run(benchmark.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				benchmark.send(fixture, b)
			}
		})
	}
}

// requestFixture runs a controller in the test process with a client's and a peer's connection.
type requestFixture struct {
	connection net.Conn
	replies    *bufio.Reader
	peer       peerpb.PeerClient

	heartbeat wire.Heartbeat // heartbeat of a machine that runs tasks of the submitted job
	jobIDs    []string       // jobs in a peer's query
}

// newRequestFixture starts a controller, waits until it is healthy and submits a job.
func newRequestFixture(b *testing.B) *requestFixture {
	workload := fakes.SmallWorkloads()[1]
	workload.Nodes = 1
	deployment := newDeployment(b, workload.Config(), fakes.LargeMachineType(), workload.Machines)
	settings := &deployment.controllers[0].config
	runInProcess(b, settings)
	deployment.waitUntil("healthy", func() bool {
		status, _ := httpGet(deployment.users, "http://"+settings.APIAddr+"/healthz")
		return status == http.StatusOK
	})
	connection, err := net.Dial("tcp", settings.APIAddr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { connection.Close() })
	peerConnection, err := peer.NewConnection(settings.PeerBind)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { peerConnection.Close() })
	fixture := &requestFixture{
		connection: connection,
		replies:    bufio.NewReader(connection),
		peer:       peerpb.NewPeerClient(peerConnection),
		heartbeat:  busyHeartbeat(),
		jobIDs:     slices.Repeat([]string{"job-000001"}, queriedJobs),
	}
	fixture.http(b, http.MethodPost, "/submissions", gangSubmission(1), http.StatusCreated)
	return fixture
}

// runInProcess runs a controller in the test process until the end of the benchmark.
func runInProcess(b *testing.B, settings *config.Config) {
	options := controller.Options{Shards: tuning.Shards}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	rng := rand.New(rand.NewPCG(1, 1))
	runtime := controller.NewRuntime(settings, options, clock.New(nil), log, rng)
	ctx, stop := context.WithCancel(context.Background())
	finished := make(chan error)
	go func() { finished <- runtime.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		<-finished
	})
}

// http sends a request on the client's connection and fails the benchmark on another status.
func (f *requestFixture) http(b *testing.B, method, path string, body []byte, status int) {
	const header = "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
	raw := fmt.Appendf(nil, header, method, path, len(body))
	if _, err := f.connection.Write(append(raw, body...)); err != nil {
		b.Fatal(err)
	}
	response, err := http.ReadResponse(f.replies, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != status {
		b.Fatalf("%s %s: status %d, want %d, %v", method, path, response.StatusCode, status, err)
	}
}

// gangSubmission returns the submission of a gang of 16 tasks.
func gangSubmission(number int) []byte {
	return fmt.Appendf(nil, `{"Id":"job-%06d","Lane":"train","Crew":"red","Shape":"gang","Rank":"high",`+
		`"Pieces":16,"Vcpus":8.0,"Gpus":1.0,"MemGb":64.0,"Bundle":"img-07","ImageGb":6.2,"Builds":["g8"],"Yard":null,`+
		`"Together":true,"Apart":false,"Loaners":true,"GuessS":240.0,"BookmarkS":30.0,"StowS":4.0,`+
		`"DueS":900.0}`, number)
}

// busyHeartbeat returns the heartbeat of a machine that runs eight tasks of the submitted gang.
func busyHeartbeat() wire.Heartbeat {
	heartbeat := wire.Heartbeat{
		Host:        "i-999999",
		Address:     "127.0.0.1:1",
		Type:        "g8",
		Zone:        "a",
		Incarnation: 1,
		Token:       1,
	}
	for i := range 8 {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Name:    wire.TaskName("job-000001", i),
			Attempt: 1<<tuning.AttemptBits + uint64(i),
			State:   wire.TaskRunning,
		})
	}
	return heartbeat
}
