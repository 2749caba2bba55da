package fakes

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/wire"
)

// Cloud fakes the cloud provider: it creates and deletes machines, and its machine lists are
// eventually consistent. Tests may change the exported fields at any time.
type Cloud struct {
	MachineTypes           []wire.MachineType
	Available              map[string]int // remaining capacity in machines, by CapacityKey
	Hosts                  map[string]*CloudHost
	Created                int     // machines created so far; the next machine's number
	Unavailable            bool    // fail every call with cloud.ErrUnavailable
	FastBoot               bool    // machines boot within two seconds
	BootFailureProbability float64 // probability that a machine never finishes booting
	PageSize               int     // maximum number of machines in a page of a list
	Address                func(n int) string
	OnBooted               func(h *CloudHost) // called when a machine has booted; must be set
	OnRemoved              func(h *CloudHost) // called after a deletion or preemption; must be set
	OnCreate               func(name string)  // called when a provisioning request is first executed; may be nil
	OnDelete               func(host string)  // called before a machine is deleted; may be nil

	clock   *Clock
	rng     *rand.Rand
	granted map[string][]string // machines created by each provisioning request, by its name
	history []snapshot          // oldest first
}

// CloudHost is a machine that exists in the cloud, booting or running.
type CloudHost struct {
	wire.Machine
	CreatedAt time.Time
}

// snapshot holds the state of all machines at one time, sorted by name.
type snapshot struct {
	at    time.Time
	hosts []wire.Machine
}

const (
	// cloudPageSize is small so that short tests exercise pagination.
	cloudPageSize = 10
	// snapshotInterval and maxSnapshots bound the history from which stale lists are served.
	snapshotInterval = 500 * time.Millisecond
	maxSnapshots     = 40
	// maxListLag bounds the staleness of a list, in snapshots.
	maxListLag = 8
)

// NewCloud returns a cloud without machines. Provisioning requests fail with cloud.ErrNoCapacity
// until Available is set.
func NewCloud(clock *Clock, rng *rand.Rand, machineTypes []wire.MachineType) *Cloud {
	cloud := &Cloud{
		MachineTypes: machineTypes,
		Available:    map[string]int{},
		Hosts:        map[string]*CloudHost{},
		PageSize:     cloudPageSize,
		Address:      func(n int) string { return fmt.Sprintf("addr-i-%06d", n) },
		clock:        clock,
		rng:          rng,
		granted:      map[string][]string{},
	}
	cloud.takeSnapshot()
	return cloud
}

// takeSnapshot records the current machines and schedules the next snapshot.
func (c *Cloud) takeSnapshot() {
	taken := snapshot{at: c.clock.Now()}
	for _, host := range c.Hosts {
		listed := host.Machine
		listed.AgeS = c.clock.Now().Sub(host.CreatedAt).Seconds()
		taken.hosts = append(taken.hosts, listed)
	}
	sort.Slice(taken.hosts, func(i, j int) bool { return taken.hosts[i].ID < taken.hosts[j].ID })
	c.history = append(c.history, taken)
	if len(c.history) > maxSnapshots {
		c.history = c.history[1:]
	}
	c.clock.Schedule(snapshotInterval, c.takeSnapshot)
}

// CapacityKey returns the key in Available of a machine type in a zone, as spot or on demand.
func CapacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprint(machineType, zone, spot)
}

// Call executes a call synchronously.
func (c *Cloud) Call(call cloud.Call) cloud.Result {
	if c.Unavailable {
		return cloud.Failure(cloud.ErrUnavailable)
	}
	switch call.Operation {
	case cloud.ListMachineTypes:
		return cloud.Success(cloud.Response{MachineTypes: c.MachineTypes})
	case cloud.CreateMachines:
		return c.createMachines(call.Request)
	case cloud.DeleteMachines:
		c.deleteMachines(call.Hosts)
		return cloud.Success(cloud.Response{})
	}
	return c.list(call.After)
}

// deleteMachines deletes the machines that still exist.
func (c *Cloud) deleteMachines(ids []string) {
	for _, id := range ids {
		if c.OnDelete != nil && c.Hosts[id] != nil {
			c.OnDelete(id)
		}
		c.Remove(id)
	}
}

// createMachines creates machines. Requests are idempotent by name: a repeated request returns the
// machines of the first one.
func (c *Cloud) createMachines(request wire.ProvisionRequest) cloud.Result {
	if hosts, ok := c.granted[request.Name]; ok {
		return cloud.Success(cloud.Response{Hosts: hosts})
	}
	capacityKey := CapacityKey(request.Type, request.Zone, request.Spot)
	count := min(request.Count, c.Available[capacityKey])
	if count <= 0 {
		return cloud.Failure(cloud.ErrNoCapacity)
	}
	if c.OnCreate != nil {
		c.OnCreate(request.Name)
	}
	c.Available[capacityKey] -= count
	var names []string
	for range count {
		names = append(names, c.startMachine(request))
	}
	c.granted[request.Name] = names
	return cloud.Success(cloud.Response{Hosts: names})
}

// startMachine creates one machine, starts its boot and returns its name.
func (c *Cloud) startMachine(request wire.ProvisionRequest) string {
	id, address := fmt.Sprintf("i-%06d", c.Created), c.Address(c.Created)
	c.Created++
	host := &CloudHost{
		CreatedAt: c.clock.Now(),
		Machine: wire.Machine{
			ID:      id,
			Address: address,
			Type:    request.Type,
			Zone:    request.Zone,
			Spot:    request.Spot,
			State:   wire.MachineBooting,
		},
	}
	c.Hosts[id] = host
	if c.rng.Float64() < c.BootFailureProbability {
		return id
	}
	c.clock.Schedule(c.randomBootTime(), func() {
		if c.Hosts[id] == host {
			host.State = wire.MachineRunning
			c.OnBooted(host)
		}
	})
	return id
}

// randomBootTime draws the boot time of one machine. With FastBoot it discards the first draw and uses a
// second one, so the sequence of random numbers depends on FastBoot.
func (c *Cloud) randomBootTime() time.Duration {
	boot := time.Duration(1+c.rng.IntN(8)) * time.Second
	if c.FastBoot {
		boot = time.Duration(c.rng.IntN(2000)) * time.Millisecond
	}
	return boot
}

// list returns a page of machines after a name, from a random recent snapshot.
func (c *Cloud) list(after string) cloud.Result {
	index := max(0, len(c.history)-1-c.rng.IntN(maxListLag))
	var page wire.MachinePage
	for _, host := range c.history[index].hosts {
		if host.ID > after {
			page.Machines = append(page.Machines, host)
		}
		if len(page.Machines) == c.PageSize {
			page.More = true
			break
		}
	}
	return cloud.Success(cloud.Response{Page: page})
}

// Remove removes a machine, for a deletion call or a preemption by the cloud. Unknown machines
// are ignored.
func (c *Cloud) Remove(id string) {
	host := c.Hosts[id]
	if host == nil {
		return
	}
	delete(c.Hosts, id)
	c.Available[CapacityKey(host.Type, host.Zone, host.Spot)]++
	c.OnRemoved(host)
}
