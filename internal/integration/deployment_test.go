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

// Intervals and timeouts of a deployment.
const (
	// clockInterval is the interval at which the fakes' clock catches up with the wall clock.
	clockInterval = 5 * time.Millisecond
	// checkInterval is the interval between checks of the cluster's invariants.
	checkInterval = 50 * time.Millisecond
	// replyTimeout bounds the wait of a worker or a user for a reply.
	replyTimeout = 4 * time.Second
	// waitTimeout bounds the wait of a test for a condition.
	waitTimeout = 90 * time.Second
)

// machinesPerSubnet is the number of machines with the same third byte of their loopback address.
const machinesPerSubnet = 200

// commandCopyShare is the share of the start commands of which workers get late copies.
const commandCopyShare = 0.2

// userConnections bounds the users' connections to one controller.
const userConnections = 40

// deployment runs controllers as separate processes against the fakes, whose clock follows the wall
// clock.
type deployment struct {
	tb          testing.TB
	config      config.Platform
	ctx         context.Context
	goroutines  sync.WaitGroup
	controllers []*controllerProcess
	users       *http.Client
	workerPort  int
	gate        callGate

	mutex      sync.Mutex // guards the fields below and the fakes; see withLock
	clock      *fakes.Clock
	store      *fakes.StateService
	cloud      *fakes.Cloud
	cluster    *fakes.Cluster
	byAddress  map[string]*fakes.Worker
	clients    map[string]*http.Client // HTTP clients of the workers, by machine
	cloudCalls map[string]int          // calls that the cloud has received, by request name or machine
	checkedAt  time.Time
	heartbeats heartbeatStats
}

// heartbeatStats holds statistics of the workers' heartbeats.
type heartbeatStats struct {
	sent      int
	totalWait time.Duration // sum of the times from heartbeats to their replies
	slow      int           // heartbeats with a late reply, a 503 or no reply
}

// newDeployment starts the fakes and configures the controllers. The caller starts the controllers.
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

		cloudCalls: map[string]int{},
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
	d.cluster.CommandCopyShare = commandCopyShare
	_, port, _ := net.SplitHostPort(d.serve("0.0.0.0:0", d.serveWorker))
	d.workerPort, _ = strconv.Atoi(port)
	d.addControllers()
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

// newUserClient returns the HTTP client that all users share.
func newUserClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: userConnections, MaxConnsPerHost: userConnections}
	return &http.Client{Timeout: replyTimeout, Transport: transport}
}

// addControllers starts the state service and the cloud, and configures the controllers as peers of each
// other, without starting them.
func (d *deployment) addControllers() {
	dir := d.tb.TempDir()
	addresses := reserveAddresses(d.tb, d.config.Nodes)
	host := addresses[0].host()
	external := config.External{
		State: d.serve(hostPort(host, statePort), d.serveStore),
		Cloud: d.serve(hostPort(host, cloudPort), d.serveCloud),
	}
	var members []config.Peer
	for i, address := range addresses {
		members = append(members, config.Peer{Member: fmt.Sprintf("node-%d", i), Zone: "a", Address: address.peer})
	}
	for i, member := range members {
		d.controllers = append(d.controllers, &controllerProcess{
			tb:           d.tb,
			settingsFile: filepath.Join(dir, member.Member+".toml"),
			logFile:      logFilePath(d.tb.Name(), member.Member, dir),
			config: config.Config{
				Member:   member.Member,
				Zone:     member.Zone,
				PeerBind: member.Address,
				APIAddr:  addresses[i].api,
				Peers:    slices.Concat(members[:i], members[i+1:]),
				External: external,
				Platform: d.config,
			},
		})
	}
}

// serve starts an HTTP server until the end of the test and returns its address.
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

// runDueEvents runs the events that are due on the fakes' clock; the lock must be held. Events run
// at their scheduled times: a lease expiry that is processed late still precedes a command that
// has just arrived.
func (d *deployment) runDueEvents() { d.clock.RunUntil(time.Now()) }

// withLock runs due events and calls f, with the lock held.
func (d *deployment) withLock(f func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runDueEvents()
	f()
}

// runClock advances the fakes' clock and checks the invariants until the end of the test.
func (d *deployment) runClock() {
	defer d.goroutines.Done()
	for d.ctx.Err() == nil {
		d.withLock(func() {
			if d.clock.Now().Sub(d.checkedAt) >= checkInterval {
				d.checkedAt = d.clock.Now()
				d.cluster.CheckInvariants()
			}
		})
		time.Sleep(clockInterval)
	}
}

// startWorker starts the worker of a booted machine.
func (d *deployment) startWorker(host *fakes.CloudHost) {
	machineType := d.cloud.MachineTypes[0]
	capacity := quota.Resources{CPUs: machineType.Vcpus, GPUs: machineType.Gpus, MemGB: machineType.MemGB}
	d.clients[host.ID] = &http.Client{Timeout: replyTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	d.byAddress[host.Address] = d.cluster.AddWorker(host.Machine, capacity)
}

// removeWorker removes the worker of a machine that the cloud has deleted or preempted.
func (d *deployment) removeWorker(host *fakes.CloudHost) {
	d.cluster.Remove(host.ID)
	delete(d.byAddress, host.Address)
	delete(d.clients, host.ID)
}

// waitUntil blocks until holds returns true, and fails the test after waitTimeout. It calls holds
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
			d.logDiagnostics()
			d.tb.Fatalf("timed out after %v waiting for: %s", waitTimeout, what)
		}
	}
}

// waitUntilAllJobsEnd blocks until responses have shown every job in a terminal state.
func (d *deployment) waitUntilAllJobsEnd() {
	d.tb.Helper()
	d.waitUntil("a terminal state of every job", func() bool {
		return !slices.ContainsFunc(d.cluster.Submitted, func(job *fakes.Job) bool { return !job.Ended() })
	})
}

// reportViolations fails the test for each rule violation; the lock must be held.
func (d *deployment) reportViolations() {
	d.tb.Helper()
	for _, violation := range d.cluster.Violations {
		d.tb.Error(violation)
	}
}

// sleep blocks for a duration or until the deployment stops.
func (d *deployment) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}
