package config

import (
	"reflect"
	"strings"
	"testing"
)

const settings = `
member = "n0"
area = "a"
api_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
unheard_of = { x = 1 }
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

func TestParse(t *testing.T) {
	for _, c := range []struct{ name, old, new, bad string }{
		{"as handed over", "", "", ""},
		{"no member", `member = "n0"`, "", "member"},
		{"no address", `api_addr = "10.0.0.1:8080"`, "", "api_addr"},
		{"a name as address", "10.2.0.1:2379", "state:2379", "external.state"},
		{"a peer named as this node", `member = "n1"`, `member = "n0"`, "known[0].member"},
		{"no zones", `zones = ["a"]`, "", "facts.zones"},
		{"no lease", "lease_s = 10.0", "", "facts.workers.lease_s"},
		{"negative lease", "lease_s = 10.0", "lease_s = -1.0", "facts.workers.lease_s"},
		{"wrong type", "rps = 200.0", `rps = "many"`, "line 34: facts.state.rps"},
		{"not TOML", "[external]", "[external", "line "},
		{"no processor share", "cpu = 0.12", "", "facts.machine_limits.cpu"},
		{"no memory", "memory_mb = 98.0", "memory_mb = 0.0", "facts.machine_limits.memory_mb"},
		{"memory that is no number", "memory_mb = 98.0", "memory_mb = nan", "facts.machine_limits.memory_mb"},
		{"negative sockets", "sockets = 900", "sockets = -1", "facts.machine_limits.sockets"},
		{"negative limit", "gpus_max = 8.0", "gpus_max = -8.0", "facts.teams[0]"},
		{"limits to come", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]\nvalue_kb = 2\nwrite_rps = 15.0\nburst = true", ""},
		{"a limit to come of zero", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]\nvalue_kb = 0.0", "facts.state.next.value_kb"},
		{"a negative limit to come", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]\nwrite_rps = -1", "facts.state.next.write_rps"},
		{"a limit to come that is no number", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]\nrps = nan", "facts.state.next.rps"},
		{"a limit to come in words", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]\ntxn_ops = \"four\"", "facts.state.next.txn_ops"},
		{"half an operation to come", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]\ntxn_ops = 2.5", "facts.state.next.txn_ops"},
		{"fewer operations than go together", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]\ntxn_ops = 1", "next.txn_ops"},
		{"limits to come without bounds", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]\nvalue_kb = inf", "facts.state.next.value_kb"},
		{"limits to come that are no table", "txn_ops = 8", "txn_ops = 8\nnext = 5", "facts.state.next"},
		{"an empty table of limits to come", "txn_ops = 8", "txn_ops = 8\n[facts.state.next]", ""},
		{"an objective of an unknown kind", "[[facts.objectives]]", "[[facts.objectives]]\nkind = \"up\"\nclass = \"portal\"\nfrom_s = 5.0\nshare = 0.998\n[[facts.objectives]]", ""},
		{"whole numbers as amounts", "lease_s = 10.0", "lease_s = 10", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := settings
			if c.old != "" {
				text = strings.Replace(text, c.old, c.new, 1)
			}
			cfg, err := Parse([]byte(text))
			switch {
			case c.bad == "" && err != nil:
				t.Fatal(err)
			case c.bad == "" && (cfg.Member != "n0" || cfg.Platform.Workers.LeaseS != 10 || cfg.Platform.Teams[0].GPUsMax != 8):
				t.Fatalf("read wrongly: %+v", cfg)
			case c.bad != "" && (err == nil || !strings.Contains(err.Error(), c.bad) || strings.Contains(err.Error(), "\n")):
				t.Fatalf("got %v, want one line naming %q", err, c.bad)
			}
		})
	}
}

// A machine smaller than any measured is warned of, field by field, and is no error.
func TestSmall(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits MachineLimits
		names  []string
	}{
		{"the least measured", MachineLimits{CPU: 0.036, MemoryMB: 65, Sockets: 900}, nil},
		{"half its share", MachineLimits{CPU: 0.018, MemoryMB: 65, Sockets: 900}, []string{"cpu"}},
		{"less of all", MachineLimits{CPU: 0.01, MemoryMB: 20, Sockets: 100}, []string{"cpu", "memory_mb", "sockets"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.limits.BelowMeasured()
			if len(got) != len(c.names) {
				t.Fatalf("%q, want %q named", got, c.names)
			}
			for i, n := range c.names {
				if !strings.Contains(got[i], "facts.machine_limits."+n+":") {
					t.Errorf("%q does not name %q", got[i], n)
				}
			}
		})
	}
}

// What is written fits both the present limits and the ones to come; the rate stays the
// present one until the service shows the other.
func TestLimitsToCome(t *testing.T) {
	now := StateLimits{RPS: 200, WriteRPS: 20, ValueKB: 4, TxnOps: 8}
	for _, c := range []struct {
		name           string
		next           UpcomingLimits
		coming, stored StateLimits
	}{
		{"none", nil, now, now},
		{"lower ones", UpcomingLimits{"value_kb": 2.0, "txn_ops": int64(4), "write_rps": 15.0}, StateLimits{RPS: 200, WriteRPS: 15, ValueKB: 2, TxnOps: 4}, StateLimits{RPS: 200, WriteRPS: 15, ValueKB: 2, TxnOps: 4}},
		{"a higher one: the present limit for a value holds until then", UpcomingLimits{"value_kb": 8.0, "rps": int64(100)}, StateLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 8}, StateLimits{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 8}},
	} {
		s := now
		s.Next = c.next
		if got := s.Upcoming(); !reflect.DeepEqual(got, c.coming) {
			t.Errorf("%s: coming %+v, want %+v", c.name, got, c.coming)
		}
		if got := s.StoredLimits(); !reflect.DeepEqual(got, c.stored) {
			t.Errorf("%s: stored %+v, want %+v", c.name, got, c.stored)
		}
	}
}
