package controller

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
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

// effects is a runtime whose effects' results are caught.
func effects(t *testing.T, state string) *Runtime {
	cfg := facts([]string{"a"}, []config.Team{{Name: "red"}}, 1.5, 10)
	cfg.External = config.External{Cloud: "127.0.0.1:1", State: state}
	cfg.Platform.State.WriteRPS = 0.1
	cfg.Platform.MachineLimits.Sockets = 2179
	r := NewRuntime(cfg, Options{Shards: tuning.Shards}, clock.New(nil), slog.New(slog.NewTextHandler(io.Discard, nil)), rand.New(rand.NewPCG(1, 1)))
	r.effects.ctx = t.Context()
	t.Cleanup(func() { close(r.done) })
	return r
}

// A question goes out although writes of every class wait for the service's rate:
// users timed out behind a morning's submissions.
func TestQuestionsBesideWrites(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"Epoch":1}`) }))
	defer srv.Close()
	r := effects(t, srv.Listener.Addr().String())
	written := 0
	for class := range store.Priorities {
		for range 3 * tuning.StoreWritesInFlight {
			r.effects.CallState(store.Call{Op: store.OpTransaction, Priority: store.Priority(class), Transaction: wire.Transaction{Writes: []wire.Write{store.Delete("a")}}},
				func(time.Time, store.Result) { written++ })
		}
	}
	read := false
	r.effects.CallState(store.Call{Op: store.OpWatch, Priority: store.PriorityUser, Prefix: "q/"}, func(_ time.Time, res store.Result) { read = res.OK() })
	for !read {
		(<-r.events)(time.Now())
	}
	if written >= store.Priorities*tuning.StoreWritesInFlight {
		t.Errorf("%d writes came first", written)
	}
}

// A command that could only be sent when the lease may be over is not sent, and one
// that starts tasks does not wait behind questions to machines that hang.
func TestCommands(t *testing.T) {
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
	r := effects(t, "127.0.0.1:1")
	later := time.Now().Add(time.Hour)
	hung := 0
	for range 2 * cap(r.effects.commandSlots) {
		r.effects.SendCommands(hangs.Addr().String(), wire.DirectCommands{Commands: []wire.Command{}}, later, func(time.Time, *wire.Heartbeat, error) { hung++ })
	}
	results := map[string]error{}
	for name, by := range map[string]time.Time{"in time": later, "too late": time.Now()} {
		r.effects.SendCommands(srv.Listener.Addr().String(), wire.DirectCommands{Commands: []wire.Command{{Verb: wire.VerbRun, Task: name}}}, by,
			func(_ time.Time, _ *wire.Heartbeat, err error) { results[name] = err })
	}
	for len(results) < 2 {
		(<-r.events)(time.Now())
	}
	if results["in time"] != nil || !errors.Is(results["too late"], term.ErrDeadlinePassed) || len(asked) != 1 || !strings.Contains(asked[0], "in time") {
		t.Errorf("%v, asked %v", results, asked)
	}
	if hung > 0 {
		t.Errorf("%d questions to hanging machines came first", hung)
	}
	if n := threads(t); n > 200 {
		t.Errorf("%d threads with %d connections hanging", n, 2*cap(r.effects.commandSlots))
	}
}

// threads is how many threads this process has, 0 where that is not told.
func threads(t *testing.T) (n int) {
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
// the owner is told before it handles anything else.
func TestSuspendedBeforeAnEffect(t *testing.T) {
	asked := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		asked <- req.URL.Path
		fmt.Fprint(w, `{"Host":"i-1"}`)
	}))
	defer srv.Close()
	address := srv.Listener.Addr().String()
	r := effects(t, "127.0.0.1:1")
	r.effects.cloud = cloud.NewClient(address, http.DefaultTransport)
	var suspended atomic.Int64
	r.effects.clock = clock.New(func() (time.Duration, error) { return time.Duration(suspended.Load()), nil })
	deadline := r.effects.clock.Now().Add(10 * time.Second)
	cloudError, commandError := cloud.ErrNoResponse, error(nil)
	call := func() {
		r.effects.CallCloud(cloud.Call{Operation: cloud.DeleteMachines, Hosts: []string{"i-1"}, Deadline: deadline}, func(_ time.Time, res cloud.Result) { cloudError = res.Err() })
		(<-r.events)(r.effects.clock.Now())
	}
	command := func() {
		r.effects.SendCommands(address, wire.DirectCommands{Commands: []wire.Command{{Verb: wire.VerbRun}}}, deadline, func(_ time.Time, _ *wire.Heartbeat, err error) { commandError = err })
		(<-r.events)(r.effects.clock.Now())
	}
	call()
	command()
	if len(asked) != 2 || cloudError != nil || commandError != nil {
		t.Fatalf("before: cloud %v, worker %v, %d calls", cloudError, commandError, len(asked))
	}
	suspended.Store(int64(time.Minute))
	call()
	r.effects.clock = clock.New(func() (time.Duration, error) { return time.Duration(suspended.Load()), nil })
	suspended.Store(int64(2 * time.Minute)) // the command has to look for itself
	command()
	if len(asked) != 2 || !errors.Is(cloudError, cloud.ErrNoResponse) || !errors.Is(commandError, term.ErrDeadlinePassed) {
		t.Errorf("after: cloud %v, worker %v, %d calls", cloudError, commandError, len(asked))
	}
	r.clock = r.effects.clock
	told := time.Duration(0)
	r.runEvent("event", func(time.Time) { told = r.suspendedFor })
	if told < time.Minute {
		t.Errorf("the owner was told of %v", told)
	}
}

// A machine that is younger than what is known of the rentals may be another block's.
func TestForeign(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := facts([]string{"a"}, []config.Team{{Name: "red"}}, 1.5, 10)
	held := &heldState{}
	core := NewController(cfg, Options{Shards: 2}, held, rand.New(rand.NewPCG(1, 1)), func() time.Time { return now }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	core.provisionRequests.Tick(now)
	held.then(now, store.Result{SentAt: now, Revision: 5, KeyValues: []wire.KeyValue{
		{Key: "h/1/b1-2-1", Value: []byte(`{"Number":1,"Hosts":["i-1"]}`), Version: 4}}})
	for _, c := range []struct {
		name, host string
		there      time.Time
		want       bool
	}{
		{"named by the other block's rental", "i-1", now.Add(-time.Minute), true},
		{"named by none", "i-2", now.Add(-time.Minute), false},
		{"there after the rentals were read", "i-2", now.Add(time.Second), true},
	} {
		if got := core.MayBelongToOtherShard(0, c.host, c.there); got != c.want {
			t.Errorf("%s: foreign %v", c.name, got)
		}
	}
}

// heldState is an Effects that keeps the newest call of the state service.
type heldState struct {
	Effects
	then func(now time.Time, r store.Result)
}

func (e *heldState) CallState(_ store.Call, then func(now time.Time, r store.Result)) { e.then = then }
