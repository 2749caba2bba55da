package controller

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"juniperchute/internal/clock"
	"juniperchute/internal/cloud"
	"juniperchute/internal/config"
	"juniperchute/internal/store"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// newTestRuntime returns a runtime without a running event loop: the test takes the results of
// effects from the events queue.
func newTestRuntime(t *testing.T, stateAddress string) *Runtime {
	cfg := testConfig(oneZone, steadyTeams, 1.5, 10)
	cfg.External = config.External{Cloud: unreachableAddress, State: stateAddress}
	cfg.Platform.State.WriteRPS = 0.1
	cfg.Platform.MachineLimits.Sockets = 2179
	rng := rand.New(rand.NewPCG(1, 1))
	r := NewRuntime(cfg, Options{Shards: tuning.Shards}, clock.New(nil), discardLogger(), rng)
	r.effects.ctx = t.Context()
	t.Cleanup(func() { close(r.done) })
	return r
}

// Guards against users' timeouts under a backlog of submissions: a read must be sent while writes
// of each priority wait for the rate limiter.
func TestReadsBypassThrottledWrites(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"Epoch":1}`)
	}))
	defer srv.Close()
	r := newTestRuntime(t, srv.Listener.Addr().String())
	written := 0
	deletion := wire.Transaction{Writes: []wire.Write{store.Delete("a")}}
	for priority := range store.NumPriorities {
		write := store.Call{
			Op:          store.OpTransaction,
			Priority:    store.Priority(priority),
			Transaction: deletion,
		}
		for range 3 * tuning.MaxStoreWritesInFlight {
			r.effects.CallState(write, func(time.Time, store.Result) { written++ })
		}
	}
	read := false
	watch := store.Call{Op: store.OpWatch, Priority: store.PriorityUser, Prefix: "q/"}
	r.effects.CallState(watch, func(_ time.Time, res store.Result) { read = res.OK() })
	for !read {
		(<-r.events)(time.Now())
	}
	if written >= store.NumPriorities*tuning.MaxStoreWritesInFlight {
		t.Errorf("%d writes completed before the read", written)
	}
}

// A command must not be sent after the lease deadline, and a command that starts tasks must not
// wait for heartbeat requests to hung workers.
func TestDirectCommandsNotDelayedByHungWorkers(t *testing.T) {
	var bodies []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		raw, _ := io.ReadAll(req.Body)
		bodies = append(bodies, string(raw))
		fmt.Fprint(w, `{"Host":"i-1"}`)
	}))
	defer srv.Close()
	hung, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer hung.Close()
	r := newTestRuntime(t, unreachableAddress)
	future := time.Now().Add(time.Hour)
	ended, hungRequests := 0, 2*cap(r.effects.commandSemaphore)
	noCommands := wire.DirectCommands{Commands: []wire.Command{}}
	for range hungRequests {
		r.effects.SendCommands(hung.Addr().String(), noCommands, future,
			func(time.Time, *wire.Heartbeat, error) { ended++ })
	}
	results := map[string]error{}
	for name, deadline := range map[string]time.Time{"before deadline": future, "after deadline": time.Now()} {
		start := wire.DirectCommands{Commands: []wire.Command{{Verb: wire.VerbRun, Task: name}}}
		r.effects.SendCommands(srv.Listener.Addr().String(), start, deadline,
			func(_ time.Time, _ *wire.Heartbeat, err error) { results[name] = err })
	}
	for len(results) < 2 {
		(<-r.events)(time.Now())
	}
	if results["before deadline"] != nil || !errors.Is(results["after deadline"], term.ErrDeadlinePassed) {
		t.Errorf("got results %v, want ErrDeadlinePassed only after the deadline", results)
	}
	if len(bodies) != 1 || !strings.Contains(bodies[0], "before deadline") {
		t.Errorf("got commands %v, want only the one before its deadline", bodies)
	}
	if ended > 0 {
		t.Errorf("%d heartbeat requests to hung workers ended before the commands", ended)
	}
	if n := threadCount(t); n > 200 {
		t.Errorf("%d threads with %d hung connections, want at most 200", n, hungRequests)
	}
}

// threadCount returns the number of threads of this process.
func threadCount(t *testing.T) (n int) {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Skip("/proc/self/status is not available")
	}
	_, rest, _ := strings.Cut(string(raw), "Threads:")
	if _, err := fmt.Sscan(rest, &n); err != nil {
		t.Fatal(err)
	}
	return n
}

// Cloud calls and commands must not be sent if their deadline passed while the machine was
// suspended, and the event loop must detect the suspension before it handles an event.
func TestEffectsAreNotSentAfterSuspension(t *testing.T) {
	paths := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		paths <- req.URL.Path
		fmt.Fprint(w, `{"Host":"i-1"}`)
	}))
	defer srv.Close()
	address := srv.Listener.Addr().String()
	r := newTestRuntime(t, unreachableAddress)
	r.effects.cloud = cloud.NewClient(address, http.DefaultTransport)
	var suspended atomic.Int64
	suspendedFor := func() (time.Duration, error) { return time.Duration(suspended.Load()), nil }
	r.effects.clock = clock.New(suspendedFor)
	deadline := r.effects.clock.Now().Add(10 * time.Second)
	cloudError, commandError := cloud.ErrNoResponse, error(nil)
	deletion := cloud.Call{Operation: cloud.DeleteMachines, Hosts: []string{"i-1"}, Deadline: deadline}
	call := func() {
		r.effects.CallCloud(deletion, func(_ time.Time, res cloud.Result) { cloudError = res.Err() })
		(<-r.events)(r.effects.clock.Now())
	}
	start := wire.DirectCommands{Commands: []wire.Command{{Verb: wire.VerbRun}}}
	command := func() {
		r.effects.SendCommands(address, start, deadline,
			func(_ time.Time, _ *wire.Heartbeat, err error) { commandError = err })
		(<-r.events)(r.effects.clock.Now())
	}
	call()
	command()
	if len(paths) != 2 || cloudError != nil || commandError != nil {
		t.Fatalf("before the suspension: cloud error %v, command error %v, %d calls",
			cloudError, commandError, len(paths))
	}
	suspended.Store(int64(time.Minute))
	call()
	r.effects.clock = clock.New(suspendedFor)
	suspended.Store(int64(2 * time.Minute)) // the command must detect the suspension itself
	command()
	notSent := errors.Is(cloudError, cloud.ErrNoResponse) && errors.Is(commandError, term.ErrDeadlinePassed)
	if len(paths) != 2 || !notSent {
		t.Errorf("after the suspension: cloud error %v, command error %v, %d calls",
			cloudError, commandError, len(paths))
	}
	r.clock = r.effects.clock
	detected := time.Duration(0)
	r.runEvent("event", func(time.Time) { detected = r.suspendedFor })
	if detected < time.Minute {
		t.Errorf("event loop detected a suspension of %v, want at least a minute", detected)
	}
}

// Guards against deleting another shard's machine: a machine created after the last read of the
// provisioning requests may belong to another shard.
func TestMayBelongToOtherShard(t *testing.T) {
	now := time.Unix(1000, 0)
	effects := &capturedStateCall{}
	controller := newTestController(testConfig(oneZone, steadyTeams, 1.5, 10), 2, effects, now)
	controller.provisionRequests.Tick(now)
	request := wire.KeyValue{Key: "h/1/b1-2-1", Value: []byte(`{"Number":1,"Hosts":["i-1"]}`), Version: 4}
	effects.reply(now, store.Result{SentAt: now, Revision: 5, KeyValues: []wire.KeyValue{request}})
	for _, c := range []struct {
		name      string
		host      string
		createdAt time.Time
		want      bool
	}{
		{
			name:      "named by another shard's provisioning request",
			host:      "i-1",
			createdAt: now.Add(-time.Minute),
			want:      true,
		},
		{
			name:      "not named by a provisioning request",
			host:      "i-2",
			createdAt: now.Add(-time.Minute),
			want:      false,
		},
		{
			name:      "created after the provisioning requests were read",
			host:      "i-2",
			createdAt: now.Add(time.Second),
			want:      true,
		},
	} {
		if got := controller.MayBelongToOtherShard(0, c.host, c.createdAt); got != c.want {
			t.Errorf("%s: MayBelongToOtherShard: got %v, want %v", c.name, got, c.want)
		}
	}
}

// capturedStateCall is a fake of Effects that captures the callback of the latest state call.
type capturedStateCall struct {
	Effects
	reply func(now time.Time, r store.Result)
}

func (e *capturedStateCall) CallState(_ store.Call, then func(now time.Time, r store.Result)) {
	e.reply = then
}
