package config

import (
	"reflect"
	"strings"
	"testing"
)

// validSettings is the input that the cases of TestParse modify.
const validSettings = `
member = "n0"
area = "a"
api_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
unknown = { x = 1 }
[[known]]
member = "n1"
area = "a"
address = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
nodes = 2
zones = ["a"]
time_bound_ms = 100.0
[[facts.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0
[[facts.objectives]]
kind = "wait"
class = "x"
within_s = 15.0
share = 0.75
[facts.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 45.0
gang_peer_s = 6.0
cancel_s = 35.0
[facts.state]
rps = 200.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 8
[facts.cloud]
rps = 8.0
list_lag_s = 3.0
[facts.machine_limits]
cpu = 0.12
memory_mb = 98.0
sockets = 900
`

type parseCase struct {
	name     string
	old, new string // text of validSettings and its replacement
	fault    string // field that the error names; "" if valid
}

var parseCases = []parseCase{
	{
		name: "valid settings",
	},
	{
		name:  "member missing",
		old:   `member = "n0"`,
		fault: "member",
	},
	{
		name:  "address missing",
		old:   `api_addr = "10.0.0.1:8080"`,
		fault: "api_addr",
	},
	{
		name:  "host name instead of IP address",
		old:   "10.2.0.1:2379",
		new:   "state:2379",
		fault: "external.state",
	},
	{
		name:  "peer with the name of this member",
		old:   `member = "n1"`,
		new:   `member = "n0"`,
		fault: "known[0].member",
	},
	{
		name:  "zones missing",
		old:   `zones = ["a"]`,
		fault: "facts.zones",
	},
	{
		name:  "lease missing",
		old:   "lease_s = 10.0",
		fault: "facts.workers.lease_s",
	},
	{
		name:  "negative lease",
		old:   "lease_s = 10.0",
		new:   "lease_s = -1.0",
		fault: "facts.workers.lease_s",
	},
	{
		name:  "wrong type",
		old:   "rps = 200.0",
		new:   `rps = "many"`,
		fault: "line 34: facts.state.rps",
	},
	{
		name:  "not TOML",
		old:   "[external]",
		new:   "[external",
		fault: "line ",
	},
	{
		name:  "CPU limit missing",
		old:   "cpu = 0.12",
		fault: "facts.machine_limits.cpu",
	},
	{
		name:  "memory limit of zero",
		old:   "memory_mb = 98.0",
		new:   "memory_mb = 0.0",
		fault: "facts.machine_limits.memory_mb",
	},
	{
		name:  "memory limit NaN",
		old:   "memory_mb = 98.0",
		new:   "memory_mb = nan",
		fault: "facts.machine_limits.memory_mb",
	},
	{
		name:  "negative socket limit",
		old:   "sockets = 900",
		new:   "sockets = -1",
		fault: "facts.machine_limits.sockets",
	},
	{
		name:  "negative team limit",
		old:   "gpus_max = 8.0",
		new:   "gpus_max = -8.0",
		fault: "facts.teams[0]",
	},
	{
		name: "upcoming limits",
		old:  "txn_ops = 8",
		new:  "txn_ops = 8\n[facts.state.next]\nvalue_kb = 2\nwrite_rps = 15.0\nburst = true",
	},
	{
		name:  "upcoming limit of zero",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\nvalue_kb = 0.0",
		fault: "facts.state.next.value_kb",
	},
	{
		name:  "negative upcoming limit",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\nwrite_rps = -1",
		fault: "facts.state.next.write_rps",
	},
	{
		name:  "upcoming limit NaN",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\nrps = nan",
		fault: "facts.state.next.rps",
	},
	{
		name:  "upcoming limit of type string",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\ntxn_ops = \"four\"",
		fault: "facts.state.next.txn_ops",
	},
	{
		name:  "fractional upcoming limit of operations",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\ntxn_ops = 2.5",
		fault: "facts.state.next.txn_ops",
	},
	{
		name:  "upcoming limit below the minimum of operations",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\ntxn_ops = 1",
		fault: "next.txn_ops",
	},
	{
		name:  "infinite upcoming limit",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\nvalue_kb = inf",
		fault: "facts.state.next.value_kb",
	},
	{
		name:  "upcoming limits not a table",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\nnext = 5",
		fault: "facts.state.next",
	},
	{
		name: "empty table of upcoming limits",
		old:  "txn_ops = 8",
		new:  "txn_ops = 8\n[facts.state.next]",
	},
	{
		name: "objective of an unknown kind",
		old:  "[[facts.objectives]]",
		new: "[[facts.objectives]]\nkind = \"up\"\nclass = \"portal\"\nfrom_s = 5.0\nshare = 0.998\n" +
			"[[facts.objectives]]",
	},
	{
		name: "integer where a float is expected",
		old:  "lease_s = 10.0",
		new:  "lease_s = 10",
	},
}

func TestParse(t *testing.T) {
	for _, c := range parseCases {
		t.Run(c.name, func(t *testing.T) {
			text := validSettings
			if c.old != "" {
				text = strings.Replace(text, c.old, c.new, 1)
			}
			cfg, err := Parse([]byte(text))
			if c.fault == "" {
				checkParsed(t, cfg, err)
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.fault) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("got %v, want one line naming %q", err, c.fault)
			}
		})
	}
}

func checkParsed(t *testing.T, cfg *Config, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Member != "n0" || cfg.Platform.Workers.LeaseS != 10 || cfg.Platform.Teams[0].GPUsMax != 8 {
		t.Fatalf("got %+v, want the values of validSettings", cfg)
	}
}

// Each machine limit below the recommended minimum yields its own warning.
func TestBelowRecommended(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits MachineLimits
		want   []string // limits that the warnings name
	}{
		{
			name:   "at the recommended minimum",
			limits: MachineLimits{CPU: 0.036, MemoryMB: 65, Sockets: 900},
		},
		{
			name:   "half the recommended CPU",
			limits: MachineLimits{CPU: 0.018, MemoryMB: 65, Sockets: 900},
			want:   []string{"cpu"},
		},
		{
			name:   "all limits too low",
			limits: MachineLimits{CPU: 0.01, MemoryMB: 20, Sockets: 100},
			want:   []string{"cpu", "memory_mb", "sockets"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.limits.BelowRecommended()
			if len(got) != len(c.want) {
				t.Fatalf("got warnings %q, want one for each of %q", got, c.want)
			}
			for i, name := range c.want {
				if !strings.Contains(got[i], "facts.machine_limits."+name+":") {
					t.Errorf("%q does not name %q", got[i], name)
				}
			}
		})
	}
}

// Guards against records that fit only the current or only the upcoming limits.
func TestUpcomingLimits(t *testing.T) {
	current := StateLimits{RPS: 200, WriteRPS: 20, ValueKB: 4, TxnOps: 8}
	for _, c := range []struct {
		name                     string
		next                     UpcomingLimits
		wantUpcoming, wantStored StateLimits
	}{
		{
			name:         "no upcoming limits",
			wantUpcoming: current,
			wantStored:   current,
		},
		{
			name:         "lower limits",
			next:         UpcomingLimits{"value_kb": 2.0, "txn_ops": int64(4), "write_rps": 15.0},
			wantUpcoming: StateLimits{RPS: 200, WriteRPS: 15, ValueKB: 2, TxnOps: 4},
			wantStored:   StateLimits{RPS: 200, WriteRPS: 15, ValueKB: 2, TxnOps: 4},
		},
		{
			name:         "higher value size: stored values keep the current limit",
			next:         UpcomingLimits{"value_kb": 8.0, "rps": int64(100)},
			wantUpcoming: StateLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 8},
			wantStored:   StateLimits{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		},
	} {
		limits := current
		limits.Next = c.next
		if got := limits.Upcoming(); !reflect.DeepEqual(got, c.wantUpcoming) {
			t.Errorf("%s: upcoming %+v, want %+v", c.name, got, c.wantUpcoming)
		}
		if got := limits.RecordLimits(); !reflect.DeepEqual(got, c.wantStored) {
			t.Errorf("%s: stored %+v, want %+v", c.name, got, c.wantStored)
		}
	}
}
