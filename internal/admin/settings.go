// Package admin is the administration API: the operators' settings and the
// service's status.
package admin

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"juniperchute/internal/tuning"
)

// Key is the control record of the operators' settings.
const Key = "c/settings"

// Settings are what operators may change while the service runs.
type Settings struct {
	BackupWithdrawThreshold int
	MaxMachines             int
	ScaleOutPaused          bool
	IdleTimeout             time.Duration
}

// Defaults are the settings where operators have said nothing.
func Defaults() Settings {
	return Settings{BackupWithdrawThreshold: tuning.BackupWithdrawThreshold, IdleTimeout: tuning.MachineIdleTimeout}
}

type setting struct {
	get func(s *Settings) string
	set func(s *Settings, v string) error
}

func parseInt(v string, from, to int) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil || n < from || n > to {
		return 0, fmt.Errorf("%q is not a whole number from %d to %d", v, from, to)
	}
	return n, nil
}

var settings = map[string]setting{
	"placement.drop_threshold": {
		func(s *Settings) string { return strconv.Itoa(s.BackupWithdrawThreshold) },
		func(s *Settings, v string) (err error) { s.BackupWithdrawThreshold, err = parseInt(v, 1, 1000); return },
	},
	"fleet.max_machines": {
		func(s *Settings) string { return strconv.Itoa(s.MaxMachines) },
		func(s *Settings, v string) (err error) { s.MaxMachines, err = parseInt(v, 0, 100000); return },
	},
	"fleet.hire_paused": {
		func(s *Settings) string { return strconv.FormatBool(s.ScaleOutPaused) },
		func(s *Settings, v string) (err error) {
			if s.ScaleOutPaused, err = strconv.ParseBool(v); err != nil {
				err = fmt.Errorf("%q is not true or false", v)
			}
			return
		},
	},
	"fleet.idle_return_s": {
		func(s *Settings) string { return strconv.Itoa(int(s.IdleTimeout.Seconds())) },
		func(s *Settings, v string) error {
			n, err := parseInt(v, 5, 3600)
			s.IdleTimeout = time.Duration(n) * time.Second
			return err
		},
	},
}

// Values lists all settings as text.
func (s Settings) Values() map[string]string {
	out := map[string]string{}
	for name, d := range settings {
		out[name] = d.get(&s)
	}
	return out
}

// With checks a change and returns the settings with it made.
func (s Settings) With(name, value string) (Settings, error) {
	d, ok := settings[name]
	if !ok {
		return s, fmt.Errorf("no setting is called %q", name)
	}
	out := s
	if err := d.set(&out, value); err != nil {
		return s, fmt.Errorf("%s: %w", name, err)
	}
	return out, nil
}

// Decode takes the settings from their record. What it does not know or cannot
// use is left at its default, so that versions may differ.
func Decode(raw json.RawMessage, log *slog.Logger) Settings {
	s := Defaults()
	var values map[string]string
	if err := json.Unmarshal(raw, &values); err != nil {
		log.Error("operators' settings cannot be read", "error", err)
		return s
	}
	for name, v := range values {
		n, err := s.With(name, v)
		if err != nil {
			log.Error("operators' setting ignored", "error", err)
			continue
		}
		s = n
	}
	return s
}
