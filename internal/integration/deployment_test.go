package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/standin"
	"juniperchute/internal/wire"
)

// Times of the deployment's own.
const (
	// driveEvery is how often the stand-ins' clock catches up with the wall clock.
	driveEvery = 5 * time.Millisecond
	// checkEvery is how often the rules that hold at every moment are checked.
	checkEvery = 50 * time.Millisecond
	// answerLimit is how long a worker or a user waits for an answer.
	answerLimit = 4 * time.Second
	// waitLimit is how long a test waits for something to come about.
	waitLimit = 90 * time.Second
	// machinesPerNet is how many loopback addresses one byte numbers.
	machinesPerNet = 200
)

// deployment is controllers as processes of their own, and stand-ins for all parties
// around them, driven by the wall clock.
type deployment struct {
	tb      testing.TB
	facts   config.Facts
	ctx     context.Context
	running sync.WaitGroup
	nodes   []*process
	users   *http.Client
	doPort  int
	gate    gate

	mu        sync.Mutex // of all that follows, and of the stand-ins
	clk       *standin.Clock
	state     *standin.StateService
	cloud     *standin.Cloud
	cluster   *standin.Cluster
	byAddress map[string]*standin.Worker
	clients   map[string]*http.Client // of the workers, by machine
	checkedAt time.Time
	reports   reportStats
}

// reportStats tell how reports were answered.
type reportStats struct {
	sent int
	wait time.Duration // in all
	slow int           // waited for more than a second, or got no 200
}

// newDeployment starts the stand-ins; the controllers are started by the test.
func newDeployment(tb testing.TB, facts config.Facts, machineType wire.MachineType, machines int) *deployment {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{tb: tb, facts: facts, ctx: ctx, clk: standin.NewClock(time.Now()), byAddress: map[string]*standin.Worker{}, clients: map[string]*http.Client{},
		users: &http.Client{Timeout: answerLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 40, MaxConnsPerHost: 40}}}
	rng := rand.New(rand.NewPCG(3, 3))
	d.state, d.cloud = standin.NewStateService(d.clk, rng), standin.NewCloud(d.clk, rng, []wire.MachineType{machineType})
	d.state.Page, d.state.Kept, d.cloud.Page = 1000, 10000, 500
	d.cloud.Room[standin.RoomKey(machineType.Name, "a", false)] = machines
	d.cloud.Address = func(n int) string {
		return fmt.Sprintf("127.1.%d.%d:%d", n/machinesPerNet, n%machinesPerNet+1, d.doPort)
	}
	d.cloud.Booted, d.cloud.Ended = d.booted, d.ended
	d.cluster = standin.NewCluster(d.clk, rng, facts, d)
	external := config.External{State: d.serve("127.0.0.1:0", d.serveState), Cloud: d.serve("127.0.0.1:0", d.serveCloud)}
	_, port, _ := net.SplitHostPort(d.serve("0.0.0.0:0", d.serveWorker))
	d.doPort, _ = strconv.Atoi(port)
	d.addNodes(external)
	d.running.Add(1)
	go d.drive()
	tb.Cleanup(func() {
		for _, n := range d.nodes {
			n.end(syscall.SIGTERM)
		}
		cancel()
		d.running.Wait()
	})
	return d
}

func (d *deployment) addNodes(external config.External) {
	dir := d.tb.TempDir()
	addresses := reserveAddresses(d.tb, d.facts.Nodes)
	var known []config.Known
	for i, a := range addresses {
		known = append(known, config.Known{Member: fmt.Sprintf("node-%d", i), Area: "a", Address: a.peer})
	}
	for i, k := range known {
		c := config.Config{Member: k.Member, Area: k.Area, PeerBind: k.Address, APIAddr: addresses[i].api, External: external, Facts: d.facts}
		for j, o := range known {
			if j != i {
				c.Known = append(c.Known, o)
			}
		}
		d.nodes = append(d.nodes, &process{tb: d.tb, cfg: c, file: filepath.Join(dir, c.Member+".toml")})
	}
}

func (d *deployment) serve(addr string, h http.HandlerFunc) string {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		d.tb.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	d.tb.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// catchUp runs what is due on the stand-ins' clock; the lock is held. Events run at
// their scheduled times, so that a lease's end that is executed late still comes before
// a command that has just arrived.
func (d *deployment) catchUp() { d.clk.RunUntil(time.Now()) }

// locked does something with the stand-ins, at the present time.
func (d *deployment) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catchUp()
	f()
}

func (d *deployment) drive() {
	defer d.running.Done()
	for d.ctx.Err() == nil {
		d.locked(func() {
			if d.clk.Now().Sub(d.checkedAt) >= checkEvery {
				d.checkedAt = d.clk.Now()
				d.cluster.Check()
			}
		})
		time.Sleep(driveEvery)
	}
}

// booted starts the worker of a machine.
func (d *deployment) booted(h *standin.CloudHost) {
	f := d.cloud.MachineTypes[0]
	d.clients[h.ID] = &http.Client{Timeout: answerLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	d.byAddress[h.Address] = d.cluster.AddWorker(h.Host, quota.Room{CPUs: f.Vcpus, GPUs: f.Gpus, MemGB: f.MemGb})
}

func (d *deployment) ended(h *standin.CloudHost) {
	d.cluster.Remove(h.ID)
	delete(d.byAddress, h.Address)
	delete(d.clients, h.ID)
}

// until waits for something to hold.
func (d *deployment) until(what string, ok func() bool) {
	d.tb.Helper()
	for end := time.Now().Add(waitLimit); ; time.Sleep(20 * time.Millisecond) {
		holds := false
		d.locked(func() { holds = ok() })
		if holds {
			return
		}
		if time.Now().After(end) {
			d.tb.Fatalf("after %v still not: %s", waitLimit, what)
		}
	}
}

// sleep waits unless the deployment ends.
func (d *deployment) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// logFile is where a controller logs, if INTEGRATION_LOG names a prefix.
func logFile(member string) *os.File {
	prefix := os.Getenv("INTEGRATION_LOG")
	if prefix == "" {
		return nil
	}
	f, err := os.OpenFile(prefix+"-"+member+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil
	}
	return f
}
