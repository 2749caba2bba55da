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
	// driveInterval is how often the stand-ins' clock catches up with the wall clock.
	driveInterval = 5 * time.Millisecond
	// checkInterval is how often the rules that hold at every moment are checked.
	checkInterval = 50 * time.Millisecond
	// replyTimeout is how long a worker or a user waits for an answer.
	replyTimeout = 4 * time.Second
	// waitTimeout is how long a test waits for something to come about.
	waitTimeout = 90 * time.Second
	// machinesPerSubnet is how many loopback addresses one byte numbers.
	machinesPerSubnet = 200
)

// deployment is controllers as processes of their own, and stand-ins for all parties
// around them, driven by the wall clock.
type deployment struct {
	tb          testing.TB
	config      config.Platform
	ctx         context.Context
	goroutines  sync.WaitGroup
	controllers []*controllerProcess
	users       *http.Client
	workerPort  int
	gate        callGate

	mutex      sync.Mutex // of all that follows, and of the stand-ins
	clock      *standin.Clock
	store      *standin.StateService
	cloud      *standin.Cloud
	cluster    *standin.Cluster
	byAddress  map[string]*standin.Worker
	clients    map[string]*http.Client // of the workers, by machine
	checkedAt  time.Time
	heartbeats heartbeatStats
}

// heartbeatStats tell how reports were answered.
type heartbeatStats struct {
	sent      int
	totalWait time.Duration // in all
	slow      int           // waited for more than a second, or got no 200
}

// newDeployment starts the stand-ins; the controllers are started by the test.
func newDeployment(tb testing.TB, settings config.Platform, machineType wire.MachineType, machines int) *deployment {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{tb: tb, config: settings, ctx: ctx, clock: standin.NewClock(time.Now()), byAddress: map[string]*standin.Worker{}, clients: map[string]*http.Client{},
		users: &http.Client{Timeout: replyTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 40, MaxConnsPerHost: 40}}}
	rng := rand.New(rand.NewPCG(3, 3))
	d.store, d.cloud = standin.NewStateService(d.clock), standin.NewCloud(d.clock, rng, []wire.MachineType{machineType})
	d.store.PageSize, d.store.MaxHistory, d.cloud.PageSize = 1000, 10000, 500
	d.cloud.Available[standin.CapacityKey(machineType.Name, "a", false)] = machines
	d.cloud.Address = func(n int) string {
		return fmt.Sprintf("127.1.%d.%d:%d", n/machinesPerSubnet, n%machinesPerSubnet+1, d.workerPort)
	}
	d.cloud.OnBooted, d.cloud.OnRemoved = d.startWorker, d.removeWorker
	d.cluster = standin.NewCluster(d.clock, rng, settings, d)
	external := config.External{State: d.serve("127.0.0.1:0", d.serveStore), Cloud: d.serve("127.0.0.1:0", d.serveCloud)}
	_, port, _ := net.SplitHostPort(d.serve("0.0.0.0:0", d.serveWorker))
	d.workerPort, _ = strconv.Atoi(port)
	d.addControllers(external)
	d.goroutines.Add(1)
	go d.runClock()
	tb.Cleanup(func() {
		for _, n := range d.controllers {
			n.stop(syscall.SIGTERM)
		}
		cancel()
		d.goroutines.Wait()
	})
	return d
}

func (d *deployment) addControllers(external config.External) {
	dir := d.tb.TempDir()
	addresses := reserveAddresses(d.tb, d.config.Nodes)
	var known []config.Peer
	for i, a := range addresses {
		known = append(known, config.Peer{Member: fmt.Sprintf("node-%d", i), Area: "a", Address: a.peer})
	}
	for i, member := range known {
		controller := config.Config{Member: member.Member, Area: member.Area, PeerBind: member.Address, APIAddr: addresses[i].api, External: external, Platform: d.config}
		for j, other := range known {
			if j != i {
				controller.Peers = append(controller.Peers, other)
			}
		}
		d.controllers = append(d.controllers, &controllerProcess{tb: d.tb, config: controller, settingsFile: filepath.Join(dir, controller.Member+".toml")})
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

// runDueEvents runs what is due on the stand-ins' clock; the lock is held. Events run at
// their scheduled times, so that a lease's end that is executed late still comes before
// a command that has just arrived.
func (d *deployment) runDueEvents() { d.clock.RunUntil(time.Now()) }

// withLock does something with the stand-ins, at the present time.
func (d *deployment) withLock(f func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runDueEvents()
	f()
}

func (d *deployment) runClock() {
	defer d.goroutines.Done()
	for d.ctx.Err() == nil {
		d.withLock(func() {
			if d.clock.Now().Sub(d.checkedAt) >= checkInterval {
				d.checkedAt = d.clock.Now()
				d.cluster.Check()
			}
		})
		time.Sleep(driveInterval)
	}
}

// startWorker starts the worker of a machine.
func (d *deployment) startWorker(host *standin.CloudHost) {
	machineType := d.cloud.MachineTypes[0]
	d.clients[host.ID] = &http.Client{Timeout: replyTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	d.byAddress[host.Address] = d.cluster.AddWorker(host.Machine, quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGb})
}

func (d *deployment) removeWorker(host *standin.CloudHost) {
	d.cluster.Remove(host.ID)
	delete(d.byAddress, host.Address)
	delete(d.clients, host.ID)
}

// waitUntil waits for something to hold.
func (d *deployment) waitUntil(what string, ok func() bool) {
	d.tb.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		holds := false
		d.withLock(func() { holds = ok() })
		if holds {
			return
		}
		if time.Now().After(end) {
			d.tb.Fatalf("after %v still not: %s", waitTimeout, what)
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
