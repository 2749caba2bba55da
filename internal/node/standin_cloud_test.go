package node

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/wire"
)

// cloud is a stand-in for the cloud, by the protocol.
type cloud struct {
	clk          *clock
	rng          *rand.Rand
	machineTypes []wire.MachineType
	room         map[string]int // by kind
	rentals      map[string][]string
	hosts        map[string]*cloudHost
	seq          int
	down         bool
	atOnce       bool    // machines are up within two seconds
	never        float64 // part of the boots that never end
	history      []snapshot
	page         int // machines a list shows at most
	address      func(n int) string
	booted       func(h *cloudHost)
	ended        func(h *cloudHost)
}

type cloudHost struct {
	wire.Host
	born time.Time
}

type snapshot struct {
	at    time.Time
	hosts []wire.Host
}

func newCloud(clk *clock, rng *rand.Rand, machineTypes []wire.MachineType) *cloud {
	c := &cloud{clk: clk, rng: rng, machineTypes: machineTypes, room: map[string]int{}, rentals: map[string][]string{}, hosts: map[string]*cloudHost{},
		page: 10, address: func(n int) string { return fmt.Sprintf("addr-i-%06d", n) }}
	c.snap()
	return c
}

func (c *cloud) snap() {
	s := snapshot{at: c.clk.now}
	for _, h := range c.hosts {
		w := h.Host
		w.AgeS = c.clk.now.Sub(h.born).Seconds()
		s.hosts = append(s.hosts, w)
	}
	sort.Slice(s.hosts, func(i, j int) bool { return s.hosts[i].ID < s.hosts[j].ID })
	c.history = append(c.history, s)
	if len(c.history) > 40 {
		c.history = c.history[1:]
	}
	c.clk.in(500*time.Millisecond, c.snap)
}

func roomKey(build, zone string, spot bool) string { return fmt.Sprint(build, zone, spot) }

func (c *cloud) call(call fleet.Call) fleet.Result {
	if c.down {
		return fleet.Result{Status: 503, Error: "trouble"}
	}
	switch call.Op {
	case fleet.OpMachineTypes:
		return fleet.Result{Status: 200, MachineTypes: c.machineTypes}
	case fleet.OpRent:
		h := call.Rental
		if hosts, ok := c.rentals[h.Rental]; ok {
			return fleet.Result{Status: 200, Hosts: hosts}
		}
		n := min(h.Number, c.room[roomKey(h.Type, h.Zone, h.Spot)])
		if n <= 0 {
			return fleet.Result{Status: 503, Error: fleet.NoCapacity}
		}
		c.room[roomKey(h.Type, h.Zone, h.Spot)] -= n
		var names []string
		for range n {
			id, addr := fmt.Sprintf("i-%06d", c.seq), c.address(c.seq)
			c.seq++
			ch := &cloudHost{born: c.clk.now, Host: wire.Host{ID: id, Address: addr, Type: h.Type, Zone: h.Zone, Spot: h.Spot, Stage: wire.HostBooting}}
			c.hosts[id] = ch
			names = append(names, id)
			if c.rng.Float64() < c.never {
				continue
			}
			boot := time.Duration(1+c.rng.IntN(8)) * time.Second
			if c.atOnce {
				boot = time.Duration(c.rng.IntN(2000)) * time.Millisecond
			}
			c.clk.in(boot, func() {
				if c.hosts[id] == ch {
					ch.Stage = wire.HostRunning
					c.booted(ch)
				}
			})
		}
		c.rentals[h.Rental] = names
		return fleet.Result{Status: 200, Hosts: names}
	case fleet.OpDelete:
		for _, id := range call.Hosts {
			c.remove(id)
		}
		return fleet.Result{Status: 200}
	}
	i := max(0, len(c.history)-1-c.rng.IntN(8))
	r := fleet.Result{Status: 200}
	for _, h := range c.history[i].hosts {
		if h.ID > call.After {
			r.Page.Hosts = append(r.Page.Hosts, h)
		}
		if len(r.Page.Hosts) == c.page {
			r.Page.More = true
			break
		}
	}
	return r
}

// remove ends a machine: deleted, or taken by the cloud.
func (c *cloud) remove(id string) {
	h := c.hosts[id]
	if h == nil {
		return
	}
	delete(c.hosts, id)
	c.room[roomKey(h.Type, h.Zone, h.Spot)]++
	c.ended(h)
}
