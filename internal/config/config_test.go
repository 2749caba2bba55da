package config

import (
	"reflect"
	"strings"
	"testing"
)

// settings are valid; the cases of TestParse replace a part of them.
const settings = `
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
	old, new string // the part of the settings to be replaced, and by what
	fault    string // named by the error; "" for none
}

var parseCases = []parseCase{
	{
		name: "as handed over",
	},
	{
		name:  "no member",
		old:   `member = "n0"`,
		fault: "member",
	},
	{
		name:  "no address",
		old:   `api_addr = "10.0.0.1:8080"`,
		fault: "api_addr",
	},
	{
		name:  "a name as address",
		old:   "10.2.0.1:2379",
		new:   "state:2379",
		fault: "external.state",
	},
	{
		name:  "a peer named as this node",
		old:   `member = "n1"`,
		new:   `member = "n0"`,
		fault: "known[0].member",
	},
	{
		name:  "no zones",
		old:   `zones = ["a"]`,
		fault: "facts.zones",
	},
	{
		name:  "no lease",
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
		name:  "no processor share",
		old:   "cpu = 0.12",
		fault: "facts.machine_limits.cpu",
	},
	{
		name:  "no memory",
		old:   "memory_mb = 98.0",
		new:   "memory_mb = 0.0",
		fault: "facts.machine_limits.memory_mb",
	},
	{
		name:  "memory that is no number",
		old:   "memory_mb = 98.0",
		new:   "memory_mb = nan",
		fault: "facts.machine_limits.memory_mb",
	},
	{
		name:  "negative sockets",
		old:   "sockets = 900",
		new:   "sockets = -1",
		fault: "facts.machine_limits.sockets",
	},
	{
		name:  "negative limit",
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
		name:  "an upcoming limit of zero",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\nvalue_kb = 0.0",
		fault: "facts.state.next.value_kb",
	},
	{
		name:  "a negative upcoming limit",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\nwrite_rps = -1",
		fault: "facts.state.next.write_rps",
	},
	{
		name:  "an upcoming limit that is not a number",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\nrps = nan",
		fault: "facts.state.next.rps",
	},
	{
		name:  "an upcoming limit in words",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\ntxn_ops = \"four\"",
		fault: "facts.state.next.txn_ops",
	},
	{
		name:  "an upcoming limit of half an operation",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\ntxn_ops = 2.5",
		fault: "facts.state.next.txn_ops",
	},
	{
		name:  "fewer operations than go together",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\ntxn_ops = 1",
		fault: "next.txn_ops",
	},
	{
		name:  "an infinite upcoming limit",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\n[facts.state.next]\nvalue_kb = inf",
		fault: "facts.state.next.value_kb",
	},
	{
		name:  "upcoming limits that are no table",
		old:   "txn_ops = 8",
		new:   "txn_ops = 8\nnext = 5",
		fault: "facts.state.next",
	},
	{
		name: "an empty table of upcoming limits",
		old:  "txn_ops = 8",
		new:  "txn_ops = 8\n[facts.state.next]",
	},
	{
		name: "an objective of an unknown kind",
		old:  "[[facts.objectives]]",
		new: "[[facts.objectives]]\nkind = \"up\"\nclass = \"portal\"\nfrom_s = 5.0\nshare = 0.998\n" +
			"[[facts.objectives]]",
	},
	{
		name: "whole numbers as amounts",
		old:  "lease_s = 10.0",
		new:  "lease_s = 10",
	},
}

func TestParse(t *testing.T) {
	for _, c := range parseCases {
		t.Run(c.name, func(t *testing.T) {
			text := settings
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
		t.Fatalf("read wrongly: %+v", cfg)
	}
}

// A machine smaller than any measured is warned of, limit by limit, and is no error.
func TestBelowMeasured(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits MachineLimits
		want   []string // the limits named
	}{
		{
			name:   "the least measured",
			limits: MachineLimits{CPU: 0.036, MemoryMB: 65, Sockets: 900},
		},
		{
			name:   "half the processor share",
			limits: MachineLimits{CPU: 0.018, MemoryMB: 65, Sockets: 900},
			want:   []string{"cpu"},
		},
		{
			name:   "less of all",
			limits: MachineLimits{CPU: 0.01, MemoryMB: 20, Sockets: 100},
			want:   []string{"cpu", "memory_mb", "sockets"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.limits.BelowRecommended()
			if len(got) != len(c.want) {
				t.Fatalf("%q, want %q named", got, c.want)
			}
			for i, name := range c.want {
				if !strings.Contains(got[i], "facts.machine_limits."+name+":") {
					t.Errorf("%q does not name %q", got[i], name)
				}
			}
		})
	}
}

// What is written fits both the present limits and the upcoming ones; the rate stays the present
// one until the service shows the other.
func TestUpcomingLimits(t *testing.T) {
	present := StateLimits{RPS: 200, WriteRPS: 20, ValueKB: 4, TxnOps: 8}
	for _, c := range []struct {
		name                     string
		next                     UpcomingLimits
		wantUpcoming, wantStored StateLimits
	}{
		{
			name:         "none",
			wantUpcoming: present,
			wantStored:   present,
		},
		{
			name:         "lower ones",
			next:         UpcomingLimits{"value_kb": 2.0, "txn_ops": int64(4), "write_rps": 15.0},
			wantUpcoming: StateLimits{RPS: 200, WriteRPS: 15, ValueKB: 2, TxnOps: 4},
			wantStored:   StateLimits{RPS: 200, WriteRPS: 15, ValueKB: 2, TxnOps: 4},
		},
		{
			name:         "a higher one: the present limit for a value holds until then",
			next:         UpcomingLimits{"value_kb": 8.0, "rps": int64(100)},
			wantUpcoming: StateLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 8},
			wantStored:   StateLimits{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		},
	} {
		limits := present
		limits.Next = c.next
		if got := limits.Upcoming(); !reflect.DeepEqual(got, c.wantUpcoming) {
			t.Errorf("%s: upcoming %+v, want %+v", c.name, got, c.wantUpcoming)
		}
		if got := limits.StoredLimits(); !reflect.DeepEqual(got, c.wantStored) {
			t.Errorf("%s: stored %+v, want %+v", c.name, got, c.wantStored)
		}
	}
}
