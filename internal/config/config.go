// Package config reads the platform's settings file.
package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"juniperchute/internal/tuning"
)

// Peer is another controller node.
type Peer struct {
	Member  string `toml:"member"`
	Area    string `toml:"area"`
	Address string `toml:"address"`
}

// Team is a team's guarantee and limit; a limit of 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one of the users' aims for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers are the facts about workers, in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	GangWaitS  float64 `toml:"gang_wait_s"`
	GangPeerS  float64 `toml:"gang_peer_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are the limits that the service will have from some moment on,
	// unannounced. One that is not named stays as it is.
	Next UpcomingLimits `toml:"next"`
}

// UpcomingLimits is a table of limits to come, as written; fields not known are ignored.
type UpcomingLimits map[string]any

// Upcoming are the limits to come, those not named as they are now.
func (s StateLimits) Upcoming() StateLimits {
	out := StateLimits{RPS: s.RPS, WriteRPS: s.WriteRPS, ValueKB: s.ValueKB, TxnOps: s.TxnOps}
	for name, to := range map[string]*float64{"rps": &out.RPS, "write_rps": &out.WriteRPS, "value_kb": &out.ValueKB} {
		if v, ok := number(s.Next[name]); ok {
			*to = v
		}
	}
	if v, ok := number(s.Next["txn_ops"]); ok {
		out.TxnOps = int(v)
	}
	return out
}

// StoredLimits are the limits for what is stored: whatever is written has to fit the service
// before and after the change, as nobody tells when it comes.
func (s StateLimits) StoredLimits() StateLimits {
	c := s.Upcoming()
	c.ValueKB, c.TxnOps = min(c.ValueKB, s.ValueKB), min(c.TxnOps, s.TxnOps)
	return c
}

func number(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	}
	return 0, false
}

func (n UpcomingLimits) check() error {
	for _, name := range []string{"rps", "write_rps", "value_kb", "txn_ops"} {
		raw, named := n[name]
		if !named {
			continue
		}
		if v, ok := number(raw); !ok || !(v > 0) || math.IsInf(v, 0) || name == "txn_ops" && v != math.Trunc(v) {
			return fmt.Errorf("facts.state.next.%s: %v is not a number above 0", name, raw)
		}
	}
	return nil
}

// CloudLimits are the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits are those of the machine the process runs on.
type MachineLimits struct {
	CPU      float64 `toml:"cpu"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// BelowMeasured names the fields that are smaller than any this service was measured with:
// it runs, as the fleet may be small too, but nobody has seen it keep up.
func (l MachineLimits) BelowMeasured() []string {
	var out []string
	for _, f := range []struct {
		name         string
		value, least float64
	}{
		{"cpu", l.CPU, tuning.MeasuredCPU},
		{"memory_mb", l.MemoryMB, tuning.MeasuredMemoryMB},
		{"sockets", float64(l.Sockets), tuning.MeasuredSockets},
	} {
		if f.value < f.least {
			out = append(out, fmt.Sprintf("facts.machine_limits.%s: %g is below %g, the least measured", f.name, f.value, f.least))
		}
	}
	return out
}

// Platform describe the deployment.
type Platform struct {
	Nodes         int           `toml:"nodes"`
	Zones         []string      `toml:"zones"`
	TimeBoundMS   float64       `toml:"time_bound_ms"`
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       Workers       `toml:"workers"`
	State         StateLimits   `toml:"state"`
	Cloud         CloudLimits   `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// External are the addresses of the outside services.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Config is the whole settings file.
type Config struct {
	Member   string   `toml:"member"`
	Area     string   `toml:"area"`
	APIAddr  string   `toml:"api_addr"`
	PeerBind string   `toml:"peer_bind"`
	Peers    []Peer   `toml:"known"`
	External External `toml:"external"`
	Platform Platform `toml:"facts"`
}

// Load reads and checks a settings file. Unknown fields are ignored.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads and checks settings.
func Parse(raw []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(raw, &c); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return nil, fmt.Errorf("line %d: %s: %s", row, strings.Join(de.Key(), "."), de.Error())
		}
		return nil, err
	}
	return &c, c.check()
}

// check finds the first field that is missing or invalid.
func (c *Config) check() error {
	for _, check := range []func() error{c.checkNames, c.checkAddresses, c.Platform.checkTeams, c.Platform.checkObjectives, c.Platform.checkAmounts, c.Platform.State.check} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkNames() error {
	for _, f := range []struct{ name, value string }{{"member", c.Member}, {"area", c.Area}} {
		if f.value == "" {
			return fmt.Errorf("%s: missing", f.name)
		}
	}
	names := map[string]bool{c.Member: true}
	for i, k := range c.Peers {
		if k.Member == "" {
			return fmt.Errorf("known[%d].member: missing", i)
		}
		if names[k.Member] {
			return fmt.Errorf("known[%d].member: %q is named twice", i, k.Member)
		}
		names[k.Member] = true
	}
	return nil
}

func (c *Config) checkAddresses() error {
	type address struct{ name, value string }
	addresses := []address{
		{"api_addr", c.APIAddr}, {"peer_bind", c.PeerBind},
		{"external.cloud", c.External.Cloud}, {"external.state", c.External.State},
	}
	for i, k := range c.Peers {
		addresses = append(addresses, address{fmt.Sprintf("known[%d].address", i), k.Address})
	}
	for _, a := range addresses {
		if a.value == "" {
			return fmt.Errorf("%s: missing", a.name)
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s: %q is not an IP address with a port", a.name, a.value)
		}
	}
	return nil
}

func (f *Platform) checkTeams() error {
	if len(f.Zones) == 0 {
		return errors.New("facts.zones: missing")
	}
	if len(f.Teams) == 0 {
		return errors.New("facts.teams: missing")
	}
	teams := map[string]bool{}
	for i, t := range f.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if t.Name == "" {
			return fmt.Errorf("%s.name: missing", field)
		}
		if teams[t.Name] {
			return fmt.Errorf("%s.name: %q is named twice", field, t.Name)
		}
		teams[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("%s: negative amount", field)
		}
	}
	return nil
}

func (f *Platform) checkObjectives() error {
	for i, o := range f.Objectives {
		if o.Kind == "" || o.WithinS < 0 {
			return fmt.Errorf("facts.objectives[%d]: invalid", i)
		}
	}
	return nil
}

func (f *Platform) checkAmounts() error {
	for _, p := range []struct {
		name  string
		value float64
	}{
		{"facts.nodes", float64(f.Nodes)},
		{"facts.workers.report_s", f.Workers.HeartbeatS},
		{"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.gang_wait_s", f.Workers.GangWaitS},
		{"facts.workers.gang_peer_s", f.Workers.GangPeerS},
		{"facts.workers.cancel_s", f.Workers.CancelS},
		{"facts.state.rps", f.State.RPS},
		{"facts.state.write_rps", f.State.WriteRPS},
		{"facts.state.value_kb", f.State.ValueKB},
		{"facts.state.txn_ops", float64(f.State.TxnOps)},
		{"facts.cloud.rps", f.Cloud.RPS},
		{"facts.cloud.list_lag_s", f.Cloud.ListLagS},
		{"facts.machine_limits.cpu", f.MachineLimits.CPU},
		{"facts.machine_limits.memory_mb", f.MachineLimits.MemoryMB},
		{"facts.machine_limits.sockets", float64(f.MachineLimits.Sockets)},
	} {
		if !(p.value > 0) { // NaN too
			return fmt.Errorf("%s: missing or not above 0", p.name)
		}
	}
	if f.TimeBoundMS < 0 {
		return errors.New("facts.time_bound_ms: negative")
	}
	return nil
}

func (s *StateLimits) check() error {
	if err := s.Next.check(); err != nil {
		return err
	}
	if s.StoredLimits().TxnOps < tuning.MinTxnOps {
		return fmt.Errorf("facts.state.txn_ops, or next.txn_ops: below %d, the changes that go together", tuning.MinTxnOps)
	}
	return nil
}

// Seconds turns an amount of seconds into a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
