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

// newTestRuntime is a controller whose effects' results wait to be handled by the test.
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

// A read goes out although writes of every priority wait for the service's rate: users
// timed out behind a morning's submissions.
func TestReadsBesideWrites(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"Epoch":1}`)
	}))
	defer srv.Close()
	r := newTestRuntime(t, srv.Listener.Addr().String())
	written := 0
	deletion := wire.Transaction{Writes: []wire.Write{store.Delete("a")}}
	for priority := range store.Priorities {
		write := store.Call{
			Op:          store.OpTransaction,
			Priority:    store.Priority(priority),
			Transaction: deletion,
		}
		for range 3 * tuning.StoreWritesInFlight {
			r.effects.CallState(write, func(time.Time, store.Result) { written++ })
		}
	}
	read := false
	watch := store.Call{Op: store.OpWatch, Priority: store.PriorityUser, Prefix: "q/"}
	r.effects.CallState(watch, func(_ time.Time, res store.Result) { read = res.OK() })
	for !read {
		(<-r.events)(time.Now())
	}
	if written >= store.Priorities*tuning.StoreWritesInFlight {
		t.Errorf("%d writes came first", written)
	}
}

// A command that could only be sent when the lease may be over is not sent, and one
// that starts tasks does not wait behind heartbeat requests to machines that hang.
func TestDirectCommands(t *testing.T) {
	var asked []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		raw, _ := io.ReadAll(req.Body)
		asked = append(asked, string(raw))
		fmt.Fprint(w, `{"Host":"i-1"}`)
	}))
	defer srv.Close()
	hangs, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never says anything
	if err != nil {
		t.Fatal(err)
	}
	defer hangs.Close()
	r := newTestRuntime(t, unreachableAddress)
	later := time.Now().Add(time.Hour)
	hung, hanging := 0, 2*cap(r.effects.commandSlots)
	noCommands := wire.DirectCommands{Commands: []wire.Command{}}
	for range hanging {
		r.effects.SendCommands(hangs.Addr().String(), noCommands, later,
			func(time.Time, *wire.Heartbeat, error) { hung++ })
	}
	results := map[string]error{}
	for name, by := range map[string]time.Time{"in time": later, "too late": time.Now()} {
		start := wire.DirectCommands{Commands: []wire.Command{{Verb: wire.VerbRun, Task: name}}}
		r.effects.SendCommands(srv.Listener.Addr().String(), start, by,
			func(_ time.Time, _ *wire.Heartbeat, err error) { results[name] = err })
	}
	for len(results) < 2 {
		(<-r.events)(time.Now())
	}
	if results["in time"] != nil || !errors.Is(results["too late"], term.ErrDeadlinePassed) {
		t.Errorf("%v", results)
	}
	if len(asked) != 1 || !strings.Contains(asked[0], "in time") {
		t.Errorf("sent %v", asked)
	}
	if hung > 0 {
		t.Errorf("%d heartbeat requests to hanging machines came first", hung)
	}
	if n := threadCount(t); n > 200 {
		t.Errorf("%d threads with %d connections hanging", n, hanging)
	}
}

// threadCount is how many threads this process has.
func threadCount(t *testing.T) (n int) {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Skip("threads cannot be counted here")
	}
	_, rest, _ := strings.Cut(string(raw), "Threads:")
	if _, err := fmt.Sscan(rest, &n); err != nil {
		t.Fatal(err)
	}
	return n
}

// What a lease that ended while the machine was suspended must not do is not sent, and
// the owner loop knows of it before it handles anything else.
func TestSuspendedBeforeAnEffect(t *testing.T) {
	asked := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		asked <- req.URL.Path
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
	if len(asked) != 2 || cloudError != nil || commandError != nil {
		t.Fatalf("before: cloud %v, worker %v, %d calls", cloudError, commandError, len(asked))
	}
	suspended.Store(int64(time.Minute))
	call()
	r.effects.clock = clock.New(suspendedFor)
	suspended.Store(int64(2 * time.Minute)) // the command has to look for itself
	command()
	notSent := errors.Is(cloudError, cloud.ErrNoResponse) && errors.Is(commandError, term.ErrDeadlinePassed)
	if len(asked) != 2 || !notSent {
		t.Errorf("after: cloud %v, worker %v, %d calls", cloudError, commandError, len(asked))
	}
	r.clock = r.effects.clock
	reported := time.Duration(0)
	r.runEvent("event", func(time.Time) { reported = r.suspendedFor })
	if reported < time.Minute {
		t.Errorf("the owner loop knows of a suspension of %v", reported)
	}
}

// A machine that is newer than what is known of the provisioning requests may belong to
// another shard.
func TestMayBelongToOtherShard(t *testing.T) {
	now := time.Unix(1000, 0)
	held := &heldStateCalls{}
	controller := newTestController(testConfig(oneZone, steadyTeams, 1.5, 10), 2, held, now)
	controller.provisionRequests.Tick(now)
	request := wire.KeyValue{Key: "h/1/b1-2-1", Value: []byte(`{"Number":1,"Hosts":["i-1"]}`), Version: 4}
	held.then(now, store.Result{SentAt: now, Revision: 5, KeyValues: []wire.KeyValue{request}})
	for _, c := range []struct {
		name      string
		host      string
		createdAt time.Time
		want      bool
	}{
		{
			name:      "named by the other shard's provisioning request",
			host:      "i-1",
			createdAt: now.Add(-time.Minute),
			want:      true,
		},
		{
			name:      "named by none",
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
			t.Errorf("%s: may belong to another shard %v", c.name, got)
		}
	}
}

// heldStateCalls is a double of Effects that keeps the newest call of the state service.
type heldStateCalls struct {
	Effects
	then func(now time.Time, r store.Result)
}

func (e *heldStateCalls) CallState(_ store.Call, then func(now time.Time, r store.Result)) {
	e.then = then
}
