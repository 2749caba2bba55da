package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Flavor is a machine type of the cloud.
type Flavor struct {
	Name                   string
	Vcpus, Gpus, MemGb     float64
	LocalGb, FetchGbPerS   float64
	Price, LowPrice, BootS float64
	Yards                  []string
}

// Cloud rents machines. The list of machines lags by ListLag.
type Cloud struct {
	Flavors  []Flavor
	Latency  time.Duration
	RPS      float64
	ListLag  time.Duration
	Boot     time.Duration
	Capacity map[string]int // ordinary machines left, by zone
	Up       func(host *Host)
	Gone     func(id string)
	Record   *Record

	mu      sync.Mutex
	hosts   map[string]*Host
	hires   map[string][]string
	created int
	down    bool
	calls   bucket
}

// Host is a machine of the cloud.
type Host struct {
	ID                   string `json:"Id"`
	Address, Build, Yard string
	Loaners              bool
	Stage                string
	AgeS                 float64
	hired, gone          time.Time
}

// NewCloud returns a cloud without machines.
func NewCloud(record *Record) *Cloud {
	return &Cloud{Record: record, Capacity: map[string]int{}, hosts: map[string]*Host{},
		hires: map[string][]string{}}
}

// SetDown starts or ends an outage of the cloud's interface.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetCapacity sets the number of ordinary machines left in a zone.
func (c *Cloud) SetCapacity(zone string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Capacity[zone] = count
}

// ServeHTTP answers a request.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(c.Latency / 2)
	c.mu.Lock()
	status, body := c.execute(req)
	c.mu.Unlock()
	time.Sleep(c.Latency / 2)
	reply(w, status, body)
}

func (c *Cloud) execute(req *http.Request) (int, any) {
	switch {
	case c.down:
		c.Record.Printf("cloud: %s %s: 503 trouble", req.Method, req.URL.Path)
		return http.StatusServiceUnavailable, map[string]string{"error": "trouble"}
	case !c.calls.take(c.RPS, 2, 1):
		return http.StatusTooManyRequests, map[string]string{"error": "too many"}
	case req.URL.Path == "/flavors":
		return http.StatusOK, map[string]any{"Builds": c.Flavors}
	case req.URL.Path == "/machines/delete":
		return c.remove(req)
	case req.Method == http.MethodPost:
		return c.hire(req)
	}
	return c.list(req)
}

func (c *Cloud) hire(req *http.Request) (int, any) {
	var body struct {
		Hire, Build, Yard string
		Loaners           bool
		Number            int
	}
	if json.NewDecoder(req.Body).Decode(&body) != nil || body.Number < 1 || body.Number > 50 {
		return http.StatusBadRequest, struct{}{}
	}
	if hosts, ok := c.hires[body.Hire]; ok {
		return http.StatusOK, map[string]any{"Hosts": hosts}
	}
	count := min(body.Number, c.Capacity[body.Yard])
	if count < 1 || body.Loaners {
		return http.StatusServiceUnavailable, map[string]string{"error": "no capacity"}
	}
	c.Capacity[body.Yard] -= count
	var names []string
	for range count {
		c.created++
		host := &Host{ID: fmt.Sprintf("i-%06d", c.created), Build: body.Build, Yard: body.Yard,
			Address: address(FreePort()), Stage: "booting", hired: time.Now()}
		c.hosts[host.ID] = host
		names = append(names, host.ID)
		time.AfterFunc(c.Boot, func() {
			c.mu.Lock()
			up := host.gone.IsZero()
			if up {
				host.Stage = "running"
			}
			c.mu.Unlock()
			if up {
				c.Up(host)
			}
		})
	}
	c.hires[body.Hire] = names
	c.Record.Printf("cloud: rented %v in zone %s", names, body.Yard)
	return http.StatusOK, map[string]any{"Hosts": names}
}

func (c *Cloud) remove(req *http.Request) (int, any) {
	var body struct{ Hosts []string }
	if json.NewDecoder(req.Body).Decode(&body) != nil || len(body.Hosts) > 100 {
		return http.StatusBadRequest, struct{}{}
	}
	for _, id := range body.Hosts {
		if host := c.hosts[id]; host != nil && host.gone.IsZero() {
			host.gone = time.Now()
			c.Capacity[host.Yard]++
			c.Gone(id)
			c.Record.Printf("cloud: deleted %s", id)
		}
	}
	return http.StatusOK, struct{}{}
}

// Take takes a machine away.
func (c *Cloud) Take(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if host := c.hosts[id]; host != nil && host.gone.IsZero() {
		host.gone = time.Now()
		c.Capacity[host.Yard]++
		c.Gone(id)
		c.Record.Printf("cloud: took %s", id)
	}
}

func (c *Cloud) list(req *http.Request) (int, any) {
	after := req.URL.Query().Get("After")
	page, _ := strconv.Atoi(req.URL.Query().Get("Page"))
	if page < 1 || page > 500 {
		page = 500
	}
	at := time.Now().Add(-c.ListLag)
	hosts := []Host{}
	for _, host := range c.hosts {
		if host.ID > after && host.hired.Before(at) && (host.gone.IsZero() || host.gone.After(at)) {
			listed := *host
			listed.AgeS = at.Sub(host.hired).Seconds()
			hosts = append(hosts, listed)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	more := len(hosts) > page
	if more {
		hosts = slices.Clone(hosts[:page])
	}
	return http.StatusOK, map[string]any{"Hosts": hosts, "More": more}
}
