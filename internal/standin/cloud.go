package standin

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/wire"
)

// Cloud is a stand-in for the cloud, by the protocol.
type Cloud struct {
	MachineTypes []wire.MachineType
	Room         map[string]int // machines left of each kind, by RoomKey
	Hosts        map[string]*CloudHost
	Created      int     // machines created so far
	Down         bool    // its interface answers 503
	QuickBoots   bool    // machines are up within two seconds
	NeverBoot    float64 // share of the boots that never end
	Page         int     // machines that a list shows at most
	Address      func(n int) string
	Booted       func(h *CloudHost)
	Ended        func(h *CloudHost)
	OnRent       func(name string) // told of each rental carried out; nil: nobody
	OnDelete     func(host string) // told of each machine about to be deleted; nil: nobody

	clk     *Clock
	rng     *rand.Rand
	rentals map[string][]string
	history []snapshot
}

// CloudHost is a rented machine.
type CloudHost struct {
	wire.Machine
	Born time.Time
}

type snapshot struct {
	at    time.Time
	hosts []wire.Machine
}

const (
	// cloudPage is small, so that lists of several pages happen in short tests.
	cloudPage = 10
	// snapshotEvery and snapshotsKept say how old a list may be.
	snapshotEvery = 500 * time.Millisecond
	snapshotsKept = 40
	// listLag is how many snapshots a list lags behind at most.
	listLag = 8
)

// NewCloud makes a cloud that has no machines rented and, until Room is set, none left.
func NewCloud(clk *Clock, rng *rand.Rand, machineTypes []wire.MachineType) *Cloud {
	c := &Cloud{clk: clk, rng: rng, MachineTypes: machineTypes, Room: map[string]int{}, rentals: map[string][]string{}, Hosts: map[string]*CloudHost{},
		Page: cloudPage, Address: func(n int) string { return fmt.Sprintf("addr-i-%06d", n) }}
	c.snap()
	return c
}

func (c *Cloud) snap() {
	s := snapshot{at: c.clk.Now()}
	for _, h := range c.Hosts {
		w := h.Machine
		w.AgeS = c.clk.Now().Sub(h.Born).Seconds()
		s.hosts = append(s.hosts, w)
	}
	sort.Slice(s.hosts, func(i, j int) bool { return s.hosts[i].ID < s.hosts[j].ID })
	c.history = append(c.history, s)
	if len(c.history) > snapshotsKept {
		c.history = c.history[1:]
	}
	c.clk.In(snapshotEvery, c.snap)
}

// RoomKey names a kind of machine.
func RoomKey(machineType, zone string, spot bool) string { return fmt.Sprint(machineType, zone, spot) }

// Call executes a call.
func (c *Cloud) Call(call fleet.Call) fleet.Result {
	if c.Down {
		return fleet.Result{Status: 503, Error: "trouble"}
	}
	switch call.Op {
	case fleet.OpMachineTypes:
		return fleet.Result{Status: 200, MachineTypes: c.MachineTypes}
	case fleet.OpRent:
		return c.rent(call.Rental)
	case fleet.OpDelete:
		for _, id := range call.Hosts {
			if c.OnDelete != nil && c.Hosts[id] != nil {
				c.OnDelete(id)
			}
			c.Remove(id)
		}
		return fleet.Result{Status: 200}
	}
	return c.list(call.After)
}

// rent rents machines. A request that was granted before gets the same answer.
func (c *Cloud) rent(request wire.ProvisionRequest) fleet.Result {
	if hosts, ok := c.rentals[request.Name]; ok {
		return fleet.Result{Status: 200, Hosts: hosts}
	}
	kind := RoomKey(request.Type, request.Zone, request.Spot)
	n := min(request.Count, c.Room[kind])
	if n <= 0 {
		return fleet.Result{Status: 503, Error: fleet.NoCapacity}
	}
	if c.OnRent != nil {
		c.OnRent(request.Name)
	}
	c.Room[kind] -= n
	var names []string
	for range n {
		names = append(names, c.create(request))
	}
	c.rentals[request.Name] = names
	return fleet.Result{Status: 200, Hosts: names}
}

// create starts the boot of one machine and returns its name.
func (c *Cloud) create(request wire.ProvisionRequest) string {
	id, addr := fmt.Sprintf("i-%06d", c.Created), c.Address(c.Created)
	c.Created++
	host := &CloudHost{Born: c.clk.Now(), Machine: wire.Machine{ID: id, Address: addr, Type: request.Type, Zone: request.Zone, Spot: request.Spot, State: wire.MachineBooting}}
	c.Hosts[id] = host
	if c.rng.Float64() < c.NeverBoot {
		return id
	}
	boot := time.Duration(1+c.rng.IntN(8)) * time.Second
	if c.QuickBoots {
		boot = time.Duration(c.rng.IntN(2000)) * time.Millisecond
	}
	c.clk.In(boot, func() {
		if c.Hosts[id] == host {
			host.State = wire.MachineRunning
			c.Booted(host)
		}
	})
	return id
}

// list shows the machines as they were a while ago.
func (c *Cloud) list(after string) fleet.Result {
	i := max(0, len(c.history)-1-c.rng.IntN(listLag))
	r := fleet.Result{Status: 200}
	for _, h := range c.history[i].hosts {
		if h.ID > after {
			r.Page.Machines = append(r.Page.Machines, h)
		}
		if len(r.Page.Machines) == c.Page {
			r.Page.More = true
			break
		}
	}
	return r
}

// Remove ends a machine: deleted, or taken by the cloud.
func (c *Cloud) Remove(id string) {
	h := c.Hosts[id]
	if h == nil {
		return
	}
	delete(c.Hosts, id)
	c.Room[RoomKey(h.Type, h.Zone, h.Spot)]++
	c.Ended(h)
}
