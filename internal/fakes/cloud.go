package fakes

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/wire"
)

// Cloud is the fake of the cloud: it provisions and deprovisions machines, and its lists lag. Tests
// may change the exported fields at any time.
type Cloud struct {
	MachineTypes           []wire.MachineType
	Available              map[string]int // machines left of each kind, by CapacityKey
	Hosts                  map[string]*CloudHost
	Created                int     // machines created so far
	Unavailable            bool    // every call fails with cloud.ErrUnavailable
	FastBoot               bool    // machines are up within two seconds
	BootFailureProbability float64 // share of the boots that never end
	PageSize               int     // machines that a list shows at most
	Address                func(n int) string
	OnBooted               func(h *CloudHost) // called once a machine runs; must be set
	OnRemoved              func(h *CloudHost) // called after a machine has ended; must be set
	OnCreate               func(name string)  // called when a provisioning request is carried out; may be nil
	OnDelete               func(host string)  // called before a machine is deleted; may be nil

	clock   *Clock
	rng     *rand.Rand
	granted map[string][]string // the machines of each provisioning request carried out, by name
	history []snapshot          // the oldest first
}

// CloudHost is a provisioned machine.
type CloudHost struct {
	wire.Machine
	CreatedAt time.Time
}

// snapshot is all machines at a moment, in the order of their names.
type snapshot struct {
	at    time.Time
	hosts []wire.Machine
}

const (
	// cloudPageSize is small, so that lists of several pages happen in short tests.
	cloudPageSize = 10
	// snapshotInterval and maxSnapshots say how old a list may be.
	snapshotInterval = 500 * time.Millisecond
	maxSnapshots     = 40
	// maxListLag is how many snapshots a list lags behind at most.
	maxListLag = 8
)

// NewCloud makes a cloud that has no machines provisioned and, until Available is set, none left.
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

// takeSnapshot records the machines of now, again and again.
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

// CapacityKey names a kind of machine, of which the cloud has so many left.
func CapacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprint(machineType, zone, spot)
}

// Call carries out a call at once.
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

// deleteMachines ends the machines that are still there.
func (c *Cloud) deleteMachines(ids []string) {
	for _, id := range ids {
		if c.OnDelete != nil && c.Hosts[id] != nil {
			c.OnDelete(id)
		}
		c.Remove(id)
	}
}

// createMachines provisions machines. A request that was granted before gets the same answer.
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

// startMachine starts the boot of one machine and returns its name.
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

// randomBootTime draws a time for one boot. It draws twice for a fast boot.
func (c *Cloud) randomBootTime() time.Duration {
	boot := time.Duration(1+c.rng.IntN(8)) * time.Second
	if c.FastBoot {
		boot = time.Duration(c.rng.IntN(2000)) * time.Millisecond
	}
	return boot
}

// list shows the machines as they were a while ago.
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

// Remove ends a machine, on a deletion or on the cloud's own account. One that is not there is ignored.
func (c *Cloud) Remove(id string) {
	host := c.Hosts[id]
	if host == nil {
		return
	}
	delete(c.Hosts, id)
	c.Available[CapacityKey(host.Type, host.Zone, host.Spot)]++
	c.OnRemoved(host)
}
