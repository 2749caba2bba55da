package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Times of a deployment.
const (
	// driveInterval is how often the fakes' clock catches up with the wall clock.
	driveInterval = 5 * time.Millisecond
	// checkInterval is how often the rules that hold at every moment are checked.
	checkInterval = 50 * time.Millisecond
	// replyTimeout is how long a worker or a user waits for a reply.
	replyTimeout = 4 * time.Second
	// waitTimeout is how long a test waits for something to hold.
	waitTimeout = 90 * time.Second
)

// machinesPerSubnet is how many loopback addresses one byte numbers.
const machinesPerSubnet = 200

// userConnections is how many connections the users have to one controller at most.
const userConnections = 40

// deployment is controllers as processes of their own, and fakes of all parties around them, driven
// by the wall clock.
type deployment struct {
	tb          testing.TB
	config      config.Platform
	ctx         context.Context
	goroutines  sync.WaitGroup
	controllers []*controllerProcess
	users       *http.Client
	workerPort  int
	gate        callGate

	mutex      sync.Mutex // guards all that follows, and the fakes; see withLock
	clock      *fakes.Clock
	store      *fakes.StateService
	cloud      *fakes.Cloud
	cluster    *fakes.Cluster
	byAddress  map[string]*fakes.Worker
	clients    map[string]*http.Client // of the workers, by machine
	checkedAt  time.Time
	heartbeats heartbeatStats
}

// heartbeatStats count the workers' heartbeats and their replies.
type heartbeatStats struct {
	sent      int
	totalWait time.Duration // from heartbeats to their replies, summed
	slow      int           // heartbeats that waited for more than a second, were refused or got no reply
}

// newDeployment starts the fakes; the test starts the controllers.
func newDeployment(tb testing.TB, settings config.Platform, machineType wire.MachineType, machines int) *deployment {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{
		tb:        tb,
		config:    settings,
		ctx:       ctx,
		users:     newUserClient(),
		clock:     fakes.NewClock(time.Now()),
		byAddress: map[string]*fakes.Worker{},
		clients:   map[string]*http.Client{},
	}
	rng := rand.New(rand.NewPCG(3, 3))
	d.store = fakes.NewStateService(d.clock)
	d.store.PageSize, d.store.MaxHistory = 1000, 10000
	d.cloud = fakes.NewCloud(d.clock, rng, []wire.MachineType{machineType})
	d.cloud.PageSize = 500
	d.cloud.Available[fakes.CapacityKey(machineType.Name, "a", false)] = machines
	d.cloud.Address = func(n int) string {
		return fmt.Sprintf("127.1.%d.%d:%d", n/machinesPerSubnet, n%machinesPerSubnet+1, d.workerPort)
	}
	d.cloud.OnBooted, d.cloud.OnRemoved = d.startWorker, d.removeWorker
	d.cluster = fakes.NewCluster(d.clock, rng, settings, d)
	_, port, _ := net.SplitHostPort(d.serve("0.0.0.0:0", d.serveWorker))
	d.workerPort, _ = strconv.Atoi(port)
	d.addControllers(config.External{
		State: d.serve("127.0.0.1:0", d.serveStore),
		Cloud: d.serve("127.0.0.1:0", d.serveCloud),
	})
	d.goroutines.Add(1)
	go d.runClock()
	tb.Cleanup(func() {
		for _, controller := range d.controllers {
			controller.stop(syscall.SIGTERM)
		}
		cancel()
		d.goroutines.Wait()
	})
	return d
}

// newUserClient is the HTTP client of all users.
func newUserClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: userConnections, MaxConnsPerHost: userConnections}
	return &http.Client{Timeout: replyTimeout, Transport: transport}
}

// addControllers makes the controllers, which know each other, without starting them.
func (d *deployment) addControllers(external config.External) {
	dir := d.tb.TempDir()
	addresses := reserveAddresses(d.tb, d.config.Nodes)
	var members []config.Peer
	for i, address := range addresses {
		members = append(members, config.Peer{Member: fmt.Sprintf("node-%d", i), Area: "a", Address: address.peer})
	}
	for i, member := range members {
		d.controllers = append(d.controllers, &controllerProcess{
			tb:           d.tb,
			settingsFile: filepath.Join(dir, member.Member+".toml"),
			config: config.Config{
				Member:   member.Member,
				Area:     member.Area,
				PeerBind: member.Address,
				APIAddr:  addresses[i].api,
				Peers:    slices.Concat(members[:i], members[i+1:]),
				External: external,
				Platform: d.config,
			},
		})
	}
}

// serve serves an address until the test's end, and returns it with its port.
func (d *deployment) serve(address string, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.tb.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	d.tb.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// runDueEvents runs what is due on the fakes' clock; the lock is held. Events run at
// their scheduled times, so that a lease's end that is executed late still comes before
// a command that has just arrived.
func (d *deployment) runDueEvents() { d.clock.RunUntil(time.Now()) }

// withLock does something with the fakes, at the present time.
func (d *deployment) withLock(f func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runDueEvents()
	f()
}

// runClock has the fakes' clock follow the wall clock, and the rules checked, until the test's end.
func (d *deployment) runClock() {
	defer d.goroutines.Done()
	for d.ctx.Err() == nil {
		d.withLock(func() {
			if d.clock.Now().Sub(d.checkedAt) >= checkInterval {
				d.checkedAt = d.clock.Now()
				d.cluster.CheckInvariants()
			}
		})
		time.Sleep(driveInterval)
	}
}

// startWorker starts the worker of a machine.
func (d *deployment) startWorker(host *fakes.CloudHost) {
	machineType := d.cloud.MachineTypes[0]
	capacity := quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGb}
	d.clients[host.ID] = &http.Client{Timeout: replyTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	d.byAddress[host.Address] = d.cluster.AddWorker(host.Machine, capacity)
}

// removeWorker removes the worker of a machine that has ended.
func (d *deployment) removeWorker(host *fakes.CloudHost) {
	d.cluster.Remove(host.ID)
	delete(d.byAddress, host.Address)
	delete(d.clients, host.ID)
}

// waitUntil waits for something to hold, and fails the test if it does not in time. holds is called
// with the lock held.
func (d *deployment) waitUntil(what string, holds func() bool) {
	d.tb.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		done := false
		d.withLock(func() { done = holds() })
		if done {
			return
		}
		if time.Now().After(end) {
			d.tb.Fatalf("after %v still not: %s", waitTimeout, what)
		}
	}
}

// waitUntilAllJobsEnd waits until the users know of every job that it has ended.
func (d *deployment) waitUntilAllJobsEnd() {
	d.tb.Helper()
	d.waitUntil("every job's end", func() bool {
		return !slices.ContainsFunc(d.cluster.Submitted, func(job *fakes.Job) bool { return !job.Ended() })
	})
}

// reportViolations fails the test for each rule that was broken; the lock is held.
func (d *deployment) reportViolations() {
	d.tb.Helper()
	for _, violation := range d.cluster.Violations {
		d.tb.Error(violation)
	}
}

// sleep waits unless the deployment ends.
func (d *deployment) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}
