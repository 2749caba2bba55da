package admin

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"time"
)

func TestSettings(t *testing.T) {
	for _, c := range []struct {
		name, value string
		ok          bool
	}{
		{"fleet.max_machines", "20", true}, {"fleet.max_machines", "-1", false}, {"fleet.max_machines", "many", false},
		{"fleet.hire_paused", "true", true}, {"fleet.hire_paused", "perhaps", false},
		{"fleet.idle_return_s", "60", true}, {"fleet.idle_return_s", "1", false},
		{"placement.drop_threshold", "3", true}, {"placement.drop_threshold", "0", false},
		{"nobody.knows", "1", false},
	} {
		s, err := Defaults().With(c.name, c.value)
		if (err == nil) != c.ok {
			t.Errorf("%s = %s: %v", c.name, c.value, err)
		}
		if c.ok && s.Values()[c.name] != c.value {
			t.Errorf("%s = %s reads back as %s", c.name, c.value, s.Values()[c.name])
		}
		if !c.ok && s != Defaults() {
			t.Errorf("%s = %s changed something", c.name, c.value)
		}
	}
	// another version's settings do no harm
	s := Decode(json.RawMessage(`{"fleet.idle_return_s":"90","of.another.version":"x","fleet.max_machines":"-5"}`), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if s.IdleTimeout != 90*time.Second || s.MaxMachines != 0 {
		t.Errorf("read %+v", s)
	}
}
