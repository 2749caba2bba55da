package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Sizes of the deployment whose holders are frozen.
const (
	freezeMachines = 12
	burstJobs      = 5
	burstEvery     = 9 * time.Second
	jobRun         = 1500 * time.Millisecond
	// longRun is longer than a worker's lease: such tasks run whenever a holder stalls.
	longRun = 9 * time.Second
	// stalled is how long past the successor's first action the old holder stays frozen.
	stalled = 1 * time.Second
	// clockJump is by how much the clock of a holder is moved forward: past its lease.
	clockJump = 10 * time.Second
)

// freezes is a deployment whose holder is stopped, or whose clock jumps, at chosen steps
// of an action.
type freezes struct {
	*deployment
	t       *testing.T
	actions *standin.ActionCheck
	jobs    int
	endLoad chan struct{}
	traces  []string        // the controllers' files
	took    []time.Duration // from each stall to the next tenure's first action
}

func newFreezes(t *testing.T) *freezes {
	facts := standin.Facts([]string{"a"}, []config.Team{{Name: "red", GPUs: 8, GPUsMax: 20}, {Name: "blue"}}, 1, 6)
	facts.Workers.CancelS = 20
	f := &freezes{t: t, endLoad: make(chan struct{})}
	f.deployment = newDeployment(t, facts, upgradeType(), freezeMachines)
	f.cloud.QuickBoots = true
	f.locked(func() {
		f.state.Put("c/settings", []byte(`{"fleet.idle_return_s":"5"}`))
		f.actions = standin.NewActionCheck(f.cluster, f.state, f.cloud)
	})
	dir := t.TempDir()
	for _, n := range f.nodes {
		file, trace := filepath.Join(dir, n.cfg.Member+".toml"), filepath.Join(dir, n.cfg.Member+".json")
		f.traces = append(f.traces, trace)
		if err := os.WriteFile(file, fmt.Appendf(nil, "duties = true\n[trace]\nfile = %q\n", trace), 0o600); err != nil {
			t.Fatal(err)
		}
		n.start(func(settings string) *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), controllerVariable+"="+settings, switchesVariable+"="+file)
			return cmd
		})
	}
	f.until("the log of duties in force", func() bool { return strings.Contains(string(f.state.Keys["c/switches"].Value), "duties") })
	f.running.Add(1)
	go f.load()
	return f
}

// load is the users: bursts of short jobs, between which machines are idle and returned.
func (f *freezes) load() {
	defer f.running.Done()
	for {
		for i := range burstJobs {
			spec := wire.JobSpec{ID: fmt.Sprintf("job-%06d", f.jobs), Team: []string{"red", "blue"}[i%2], Class: "sweep", Shape: wire.ShapeBatch,
				Priority: "normal", Tasks: 4, Vcpus: 2, Gpus: 1, MemGb: 8, Image: "img", ImageGb: 1, AnyType: true, EstimatedRunTimeS: jobRun.Seconds()}
			f.jobs++
			run := jobRun
			if i == 0 {
				run = longRun
			}
			f.add(spec, run)
		}
		select {
		case <-f.endLoad:
			return
		case <-f.ctx.Done():
			return
		case <-time.After(burstEvery):
		}
	}
}

// writesEntry tells whether a call enters an action of a duty.
func writesEntry(d intentlog.Operation) func(call any) bool {
	return func(call any) bool {
		c, ok := call.(store.Call)
		return ok && slices.ContainsFunc(c.Transaction.Writes, func(w wire.Write) bool {
			if d == intentlog.Provision {
				return strings.HasPrefix(w.Put, fleet.UnderRentals) && !strings.Contains(string(w.Value), "Hosts")
			}
			return strings.HasPrefix(w.Put, intentlog.Prefix) && strings.Contains(string(w.Value), string(intentlog.Deprovision))
		})
	}
}

// callsCloud tells whether a call is one of a duty's.
func callsCloud(d intentlog.Operation) func(call any) bool {
	return func(call any) bool {
		c, ok := call.(fleet.Call)
		return ok && (d == intentlog.Provision && c.Op == fleet.OpRent || d == intentlog.Deprovision && c.Op == fleet.OpDelete)
	}
}

// step is a step of an action at which its holder stalls.
type step struct {
	name string
	at   moment
	want func(d intentlog.Operation) func(call any) bool
}

var steps = []step{
	{"before the entry", onTheWay, writesEntry},
	{"between entry and call", answered, writesEntry},
	{"with the call held up", onTheWay, callsCloud},
	{"between call and settlement", answered, callsCloud},
}

// stallKind is what happens to a holder.
type stallKind struct {
	name          string
	frozen, moved bool // its process is stopped for longer than its lease; its clock is moved forward
}

var stallKinds = []stallKind{
	{"frozen", true, false},
	{"clock moved", false, true},
	{"frozen, and its clock moved as it wakes", true, true},
}

// stall holds the holder's next call of a step and stalls the holder. Once the next tenure
// has acted, the call and the holder go on.
func (f *freezes) stall(s step, d intentlog.Operation, kind stallKind) {
	f.t.Helper()
	held := f.gate.hold(s.at, s.want(d))
	if !held.wait(waitLimit) {
		f.t.Fatalf("no call %s of %s came", s.name, d)
	}
	old := -1
	f.locked(func() { old = f.NodeIndex(f.holderName()) })
	if old < 0 {
		f.t.Fatal("nobody holds the block")
	}
	token, carriedOut := f.progress()
	from := time.Now()
	if kind.frozen {
		f.signal(old, syscall.SIGSTOP)
	}
	if kind.moved {
		f.signal(old, syscall.SIGUSR1)
	}
	f.until("a next tenure's first action", func() bool {
		return f.actions.CarriedOut() > carriedOut && f.currentToken() > token
	})
	f.took = append(f.took, time.Since(from))
	f.sleep(stalled)
	held.release()
	f.signal(old, syscall.SIGCONT)
}

func (f *freezes) signal(node int, s os.Signal) {
	if err := f.nodes[node].cmd.Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// progress is the newest token that was given and how many actions were carried out.
func (f *freezes) progress() (token uint64, carriedOut int) {
	f.locked(func() { token, carriedOut = f.currentToken(), f.actions.CarriedOut() })
	return token, carriedOut
}

// finish ends the load, waits until every job has ended and every entry is settled, and
// checks what the stand-ins saw.
func (f *freezes) finish() {
	f.t.Helper()
	close(f.endLoad)
	f.until("every job's end", func() bool {
		return !slices.ContainsFunc(f.cluster.Order, func(j *standin.Job) bool { return !j.Ended() })
	})
	f.until("every machine returned", func() bool { return len(f.cloud.Hosts) == 0 })
	f.locked(func() {
		f.cluster.Check()
		for _, v := range f.cluster.Broken {
			f.t.Error(v)
		}
		var sum time.Duration
		for _, d := range f.took {
			sum += d
		}
		f.t.Logf("%d stalls; carried out: %v with %d writes of the log; first action of the next tenure after %.2f member leases on average",
			len(f.took), f.actions.Effects, f.actions.EntryWrites, sum.Seconds()/float64(max(1, len(f.took)))/tuning.MemberLease.Seconds())
	})
}

// stallRounds is how often each step is hit: once in CI, more often when asked for.
func stallRounds() int {
	if n, err := strconv.Atoi(os.Getenv("INTEGRATION_STALLS")); err == nil {
		return n
	}
	return 1
}

// TestStalledHolder freezes the holder, or moves its clock forward, at each step of a
// rental and of a return, and lets it go on once its successor has acted. What the
// stand-in cloud carried out is compared with the log: nothing is carried out twice, late
// with an effect, or on a machine that has work.
func TestStalledHolder(t *testing.T) {
	for _, d := range []intentlog.Operation{intentlog.Provision, intentlog.Deprovision} {
		for _, s := range steps {
			for _, kind := range stallKinds {
				t.Run(fmt.Sprintf("%s/%s/%s", d, s.name, kind.name), func(t *testing.T) {
					t.Parallel()
					f := newFreezes(t)
					for range stallRounds() {
						f.stall(s, d, kind)
					}
					f.finish()
				})
			}
		}
	}
}
