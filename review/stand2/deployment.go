package stand2

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

const (
	clockInterval = 5 * time.Millisecond
	checkInterval = 25 * time.Millisecond
	reportTimeout = 4 * time.Second // of a worker's report, by the protocol
)

// Options describe a deployment.
type Options struct {
	Dir         string // of the case; record.txt is written there
	Platform    config.Platform
	MachineType wire.MachineType
	Machines    int // that the cloud can rent out
}

// Deployment is a running deployment. Lock guards the fakes and all fields without a comment of their own.
type Deployment struct {
	Options
	Lock        sync.Mutex
	Clock       *fakes.Clock
	Store       *fakes.StateService
	Cloud       *fakes.Cloud
	Cluster     *fakes.Cluster
	Controllers []*Controller
	Violations  []string
	// OnDelete is called before a deletion request of a controller reaches the cloud; it may be nil.
	// It is called without the lock.
	OnDelete func(c *Controller, hosts []string)

	start     time.Time
	temp      string
	record    *os.File
	recordMu  sync.Mutex
	done      chan struct{}
	closing   sync.Once
	wait      sync.WaitGroup
	byAddress map[string]*fakes.Worker
	clients   map[string]*http.Client // of the workers, by host
	relays    []*relay
	checkedAt time.Time
	deleting  string          // controller whose call the cloud carries out
	twice     map[string]bool // tasks that were seen on two machines at once
	states    map[string]string
	sessions  map[string]uint64
}

// Controller is one controller of a deployment.
type Controller struct {
	Name    string
	Config  config.Config
	Cut     *Gate // of everything between this controller and the rest
	command *exec.Cmd
	logFile *os.File
}

// New starts the stand-ins and configures the controllers, without starting them.
func New(options Options) (*Deployment, error) {
	d := &Deployment{
		Options: options, start: time.Now(), done: make(chan struct{}),
		byAddress: map[string]*fakes.Worker{}, clients: map[string]*http.Client{},
		twice: map[string]bool{}, states: map[string]string{}, sessions: map[string]uint64{},
	}
	var err error
	if d.record, err = os.Create(filepath.Join(options.Dir, "record.txt")); err != nil {
		return nil, err
	}
	if d.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	d.Clock = fakes.NewClock(time.Now())
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	d.Store = fakes.NewStateService(d.Clock)
	d.Store.PageSize, d.Store.MaxHistory = 1000, 10000
	limits := options.Platform.State
	d.Store.Limits = fakes.StateLimits{
		MaxValueBytes: int(limits.ValueKB * 1024), MaxTxnOps: limits.TxnOps,
		WritesPerS: limits.WriteRPS, RequestsPerS: limits.RPS,
	}
	d.Cloud = fakes.NewCloud(d.Clock, rng, []wire.MachineType{options.MachineType})
	d.Cloud.PageSize, d.Cloud.FastBoot = 500, true
	zone := options.MachineType.Zones[0]
	d.Cloud.Available[fakes.CapacityKey(options.MachineType.Name, zone, false)] = options.Machines
	d.Cloud.Address = func(int) string { return d.listen("127.0.0.1:0", http.HandlerFunc(d.serveWorker)) }
	d.Cloud.OnBooted, d.Cloud.OnRemoved = d.startWorker, d.removeWorker
	d.Cluster = fakes.NewCluster(d.Clock, rng, options.Platform, d)
	d.Cluster.OnTaskStart = func(w *fakes.Worker, t *fakes.Task) {
		d.Logf("worker %s: start of %s attempt %d", w.Host.ID, wire.TaskName(t.Job.Spec.ID, t.Index), t.Attempt)
		d.checkStart(w, t)
	}
	if err := d.addControllers(); err != nil {
		return nil, err
	}
	d.wait.Add(1)
	go d.runClock()
	return d, nil
}

// Logf writes a line to the record.
func (d *Deployment) Logf(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	fmt.Fprintf(d.record, "%9.3f ", time.Since(d.start).Seconds())
	fmt.Fprintf(d.record, format+"\n", args...)
}

// With runs due events of the fakes and calls f, with the lock held.
func (d *Deployment) With(f func()) {
	d.Lock.Lock()
	defer d.Lock.Unlock()
	d.Clock.RunUntil(time.Now())
	f()
}

// freeAddress returns a free loopback address below the ephemeral ports, so that no outgoing connection
// takes it while its controller is down.
func freeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

func (d *Deployment) addControllers() error {
	var members []config.Peer
	for i := range d.Platform.Nodes {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		members = append(members, config.Peer{
			Member: fmt.Sprintf("chuteling-%d", i), Zone: d.Platform.Zones[0], Address: address,
		})
		d.Controllers = append(d.Controllers, &Controller{Name: members[i].Member, Cut: newGate()})
	}
	for i, member := range members {
		c := d.Controllers[i]
		api, err := freeAddress()
		if err != nil {
			return err
		}
		c.Config = config.Config{
			Member: member.Member, Zone: member.Zone, PeerBind: member.Address, APIAddr: api, Platform: d.Platform,
			External: config.External{
				State: d.listen("127.0.0.1:0", d.stateHandler(c)),
				Cloud: d.listen("127.0.0.1:0", d.cloudHandler(c)),
			},
		}
		for j, peer := range members {
			if j == i {
				continue
			}
			relay, err := d.relay(peer.Address, c.Cut, d.Controllers[j].Cut)
			if err != nil {
				return err
			}
			peer.Address = relay
			c.Config.Peers = append(c.Config.Peers, peer)
		}
	}
	return nil
}

// listen starts an HTTP server until the end of the case and returns its address.
func (d *Deployment) listen(address string, handler http.Handler) string {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err) // without a port the case cannot run; main turns it into status 2
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-d.done
		server.Close()
	}()
	return listener.Addr().String()
}

// Start starts the process of a controller with the command of the deploy file.
func (d *Deployment) Start(c *Controller) error {
	settings := filepath.Join(d.temp, c.Name+".toml")
	raw, err := toml.Marshal(c.Config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		return err
	}
	run, err := runCommand()
	if err != nil {
		return err
	}
	if c.logFile == nil {
		if c.logFile, err = os.Create(filepath.Join(d.temp, c.Name+".log")); err != nil {
			return err
		}
	}
	arguments := append(strings.Fields(run), settings)
	c.command = exec.Command(arguments[0], arguments[1:]...)
	c.command.Env = append(os.Environ(), "LOG_LEVEL=info")
	c.command.Stdout, c.command.Stderr = c.logFile, c.logFile
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.command.Start(); err != nil {
		return err
	}
	d.Logf("%s: process %d started", c.Name, c.command.Process.Pid)
	return nil
}

// runCommand returns the value of run in deploy/service.toml.
func runCommand() (string, error) {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return "", err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil || deploy.Run == "" {
		return "", fmt.Errorf("no run command in deploy/service.toml: %v", err)
	}
	return deploy.Run, nil
}

// Kill kills the process of a controller.
func (d *Deployment) Kill(c *Controller) {
	if c.command == nil {
		return
	}
	d.Logf("%s: process %d killed", c.Name, c.command.Process.Pid)
	_ = c.command.Process.Kill()
	_ = c.command.Wait()
	c.command = nil
}

// Signal sends a signal to the process of a controller.
func (d *Deployment) Signal(c *Controller, signal syscall.Signal) {
	d.Logf("%s: signal %v", c.Name, signal)
	_ = c.command.Process.Signal(signal)
}

// Close ends all processes and adds the controllers' logs to the record.
func (d *Deployment) Close() { d.closing.Do(d.closeAll) }

func (d *Deployment) closeAll() {
	for _, c := range d.Controllers {
		d.Kill(c)
	}
	close(d.done)
	for _, r := range d.relays {
		r.close()
	}
	for _, c := range d.Controllers {
		c.Cut.Open()
	}
	d.wait.Wait()
	for _, c := range d.Controllers {
		raw, _ := os.ReadFile(filepath.Join(d.temp, c.Name+".log"))
		fmt.Fprintf(d.record, "\nlog of %s\n%s", c.Name, raw)
	}
	d.record.Close()
	_ = os.RemoveAll(d.temp)
}

// Sleep blocks for a duration.
func (d *Deployment) Sleep(t time.Duration) { time.Sleep(t) }

// WaitFor waits until holds returns true, and reports whether it did within the time. holds is called
// with the lock held.
func (d *Deployment) WaitFor(limit time.Duration, what string, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ok := false
		d.With(func() { ok = holds() })
		if ok {
			d.Logf("reached: %s", what)
			return true
		}
	}
	d.Logf("not reached within %v: %s", limit, what)
	return false
}

func (d *Deployment) startWorker(host *fakes.CloudHost) {
	t := d.MachineType
	d.clients[host.ID] = &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	d.byAddress[host.Address] = d.Cluster.AddWorker(host.Machine,
		quota.Resources{CPUs: t.Vcpus, GPUs: t.Gpus, MemGB: t.MemGB})
	d.Logf("cloud: %s is up", host.ID)
}

func (d *Deployment) removeWorker(host *fakes.CloudHost) {
	d.Logf("cloud: %s is gone", host.ID)
	d.Cluster.Remove(host.ID)
	delete(d.byAddress, host.Address)
	delete(d.clients, host.ID)
}

func (d *Deployment) runClock() {
	defer d.wait.Done()
	for {
		select {
		case <-d.done:
			return
		case <-time.After(clockInterval):
		}
		d.With(func() {
			if now := time.Now(); now.Sub(d.checkedAt) >= checkInterval {
				d.checkedAt = now
				d.check()
			}
		})
	}
}

// ActsFor reports whether the cloud is carrying out a call of a controller; the lock must be held.
func (d *Deployment) ActsFor(c *Controller) bool { return d.deleting == c.Name }

// Holder returns the controller that holds the shard's lease by the state service's records, or nil. The
// lock must be held.
func (d *Deployment) Holder() *Controller {
	item, ok := d.Store.Keys["c/b/0"]
	if !ok {
		return nil
	}
	i := slices.IndexFunc(d.Controllers, func(c *Controller) bool {
		return strings.Contains(string(item.Value), `"`+c.Name+`"`)
	})
	if i < 0 {
		return nil
	}
	return d.Controllers[i]
}
