package config

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"

	"juniperchute/internal/tuning"
)

// FieldError reports a missing or invalid field of the settings.
type FieldError struct {
	Field   string // qualified name, such as facts.teams[0].name
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func missing(field string) error { return &FieldError{Field: field, Problem: "missing"} }

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate returns an error for the first field that is missing or invalid.
func (c *Config) validate() error {
	return cmp.Or(
		c.validateNames(),
		c.validateAddresses(),
		c.Platform.validateZonesAndTeams(),
		c.Platform.validateObjectives(),
		c.Platform.validatePositive(),
		c.Platform.State.validate(),
	)
}

func (c *Config) validateNames() error {
	if c.Member == "" {
		return missing("member")
	}
	if c.Zone == "" {
		return missing("area")
	}
	names := map[string]bool{c.Member: true}
	for i, peer := range c.Peers {
		field := fmt.Sprintf("known[%d].member", i)
		if peer.Member == "" {
			return missing(field)
		}
		if names[peer.Member] {
			return invalid(field, "%q is named twice", peer.Member)
		}
		names[peer.Member] = true
	}
	return nil
}

func (c *Config) validateAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{field: "api_addr", value: c.APIAddr},
		{field: "peer_bind", value: c.PeerBind},
		{field: "external.cloud", value: c.External.Cloud},
		{field: "external.state", value: c.External.State},
	}
	for i, peer := range c.Peers {
		addresses = append(addresses, address{field: fmt.Sprintf("known[%d].address", i), value: peer.Address})
	}
	for _, a := range addresses {
		if a.value == "" {
			return missing(a.field)
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return invalid(a.field, "%q is not an IP address with a port", a.value)
		}
	}
	return nil
}

func (p *Platform) validateZonesAndTeams() error {
	if len(p.Zones) == 0 {
		return missing("facts.zones")
	}
	if len(p.Teams) == 0 {
		return missing("facts.teams")
	}
	names := map[string]bool{}
	for i, team := range p.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if team.Name == "" {
			return missing(field + ".name")
		}
		if names[team.Name] {
			return invalid(field+".name", "%q is named twice", team.Name)
		}
		names[team.Name] = true
		if team.CPUs < 0 || team.CPUsMax < 0 || team.GPUs < 0 || team.GPUsMax < 0 {
			return invalid(field, "negative amount")
		}
	}
	return nil
}

func (p *Platform) validateObjectives() error {
	for i, objective := range p.Objectives {
		if objective.Kind == "" || objective.WithinS < 0 {
			return invalid(fmt.Sprintf("facts.objectives[%d]", i), "invalid")
		}
	}
	return nil
}

func (p *Platform) validatePositive() error {
	for _, quantity := range []struct {
		field string
		value float64
	}{
		{field: "facts.nodes", value: float64(p.Nodes)},
		{field: "facts.workers.report_s", value: p.Workers.HeartbeatS},
		{field: "facts.workers.lease_s", value: p.Workers.LeaseS},
		{field: "facts.workers.gang_wait_s", value: p.Workers.GangWaitS},
		{field: "facts.workers.gang_peer_s", value: p.Workers.GangPeerS},
		{field: "facts.workers.cancel_s", value: p.Workers.CancelS},
		{field: "facts.state.rps", value: p.State.RPS},
		{field: "facts.state.write_rps", value: p.State.WriteRPS},
		{field: "facts.state.value_kb", value: p.State.ValueKB},
		{field: "facts.state.txn_ops", value: float64(p.State.TxnOps)},
		{field: "facts.cloud.rps", value: p.Cloud.RPS},
		{field: "facts.cloud.list_lag_s", value: p.Cloud.ListLagS},
		{field: "facts.machine_limits.cpu", value: p.MachineLimits.CPU},
		{field: "facts.machine_limits.memory_mb", value: p.MachineLimits.MemoryMB},
		{field: "facts.machine_limits.sockets", value: float64(p.MachineLimits.Sockets)},
	} {
		if !(quantity.value > 0) { // rejects NaN
			return invalid(quantity.field, "missing or not above 0")
		}
	}
	if p.ClockSkewMS < 0 {
		return invalid("facts.time_bound_ms", "negative")
	}
	return nil
}

func (l *StateLimits) validate() error {
	if err := l.Next.validate(); err != nil {
		return err
	}
	if l.RecordLimits().TxnOps < tuning.MinTxnOps {
		return invalid("facts.state.txn_ops, or next.txn_ops",
			"below %d, the changes that go together", tuning.MinTxnOps)
	}
	return nil
}

func (u UpcomingLimits) validate() error {
	for _, name := range []string{limitRPS, limitWriteRPS, limitValueKB, limitTxnOps} {
		limit, present := u[name]
		if present && !validLimit(name, limit) {
			return invalid("facts.state.next."+name, "%v is not a number above 0", limit)
		}
	}
	return nil
}

func validLimit(name string, limit any) bool {
	v, ok := number(limit)
	if !ok || !(v > 0) || math.IsInf(v, 0) {
		return false
	}
	return name != limitTxnOps || v == math.Trunc(v)
}
