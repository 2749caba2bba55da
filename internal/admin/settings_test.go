package admin

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"
)

func TestSettings(t *testing.T) {
	for _, c := range []struct {
		name, value string
		valid       bool
	}{
		{name: "fleet.max_machines", value: "20", valid: true},
		{name: "fleet.max_machines", value: "-1"},
		{name: "fleet.max_machines", value: "many"},
		{name: "fleet.hire_paused", value: "true", valid: true},
		{name: "fleet.hire_paused", value: "perhaps"},
		{name: "fleet.idle_return_s", value: "60", valid: true},
		{name: "fleet.idle_return_s", value: "1"},
		{name: "placement.drop_threshold", value: "3", valid: true},
		{name: "placement.drop_threshold", value: "0"},
		{name: "unknown.setting", value: "1"},
	} {
		s, err := Defaults().With(c.name, c.value)
		if (err == nil) != c.valid {
			t.Errorf("%s = %s: error %v, want valid %t", c.name, c.value, err, c.valid)
		}
		if c.valid && s.Values()[c.name] != c.value {
			t.Errorf("%s = %s reads back as %s", c.name, c.value, s.Values()[c.name])
		}
		if !c.valid && s != Defaults() {
			t.Errorf("rejected %s = %s changed the settings", c.name, c.value)
		}
	}
	// unusable settings of another version keep their defaults
	record := `{"fleet.idle_return_s":"90","of.another.version":"x","fleet.max_machines":"-5"}`
	s := Decode(json.RawMessage(record), slog.New(slog.DiscardHandler))
	if s.IdleTimeout != 90*time.Second || s.MaxMachines != 0 {
		t.Errorf("decoded %+v", s)
	}
}
