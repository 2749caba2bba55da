// Package admin holds what operators change and ask of a running service: its settings and its
// version. Package peer has the calls of the administration API.
package admin

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"juniperchute/internal/tuning"
)

// Key is the control record of the operators' settings: a JSON object of texts by name.
const SettingsKey = "c/settings"

// Settings are what operators may change while the service runs. They hold for all controllers.
type Settings struct {
	BackupWithdrawThreshold int           // preemptions after which a task's backup copy is withdrawn
	MaxMachines             int           // at a time, with those requested; 0: no limit
	ScaleOutPaused          bool          // provision no machines
	IdleTimeout             time.Duration // after which a machine without work is terminated
}

// Defaults are the settings that operators have not changed.
func Defaults() Settings {
	return Settings{
		BackupWithdrawThreshold: tuning.BackupWithdrawThreshold,
		IdleTimeout:             tuning.MachineIdleTimeout,
	}
}

// UnknownSettingError means that there is no setting of a name. Operators read its text.
type UnknownSettingError struct{ Name string }

func (e *UnknownSettingError) Error() string { return fmt.Sprintf("no setting is called %q", e.Name) }

// InvalidValueError means that a setting cannot have a value. Operators read its text.
type InvalidValueError struct {
	Name  string
	Value string
	Want  string // what the value has to be
}

func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("%s: %q is not %s", e.Name, e.Value, e.Want)
}

// setting converts one of the Settings from and to text.
type setting struct {
	want   string // which values are valid
	format func(Settings) string
	// parse reports whether the value is valid, and changes the settings only if it is.
	parse func(s *Settings, value string) bool
}

// settings are all settings by their names, which are part of the administration API.
var settings = map[string]setting{
	"placement.drop_threshold": intSetting(1, 1000, func(s *Settings) *int { return &s.BackupWithdrawThreshold }),
	"fleet.max_machines":       intSetting(0, 100000, func(s *Settings) *int { return &s.MaxMachines }),
	"fleet.hire_paused":        boolSetting(func(s *Settings) *bool { return &s.ScaleOutPaused }),
	"fleet.idle_return_s":      secondsSetting(5, 3600, func(s *Settings) *time.Duration { return &s.IdleTimeout }),
}

func intSetting(least, most int, field func(*Settings) *int) setting {
	return setting{
		want:   fmt.Sprintf("a whole number from %d to %d", least, most),
		format: func(s Settings) string { return strconv.Itoa(*field(&s)) },
		parse: func(s *Settings, value string) bool {
			n, ok := parseInt(value, least, most)
			if ok {
				*field(s) = n
			}
			return ok
		},
	}
}

func boolSetting(field func(*Settings) *bool) setting {
	return setting{
		want:   "true or false",
		format: func(s Settings) string { return strconv.FormatBool(*field(&s)) },
		parse: func(s *Settings, value string) bool {
			b, err := strconv.ParseBool(value)
			if err != nil {
				return false
			}
			*field(s) = b
			return true
		},
	}
}

func parseInt(value string, least, most int) (n int, ok bool) {
	n, err := strconv.Atoi(value)
	return n, err == nil && n >= least && n <= most
}

// secondsSetting is an intSetting of seconds for a duration.
func secondsSetting(least, most int, field func(*Settings) *time.Duration) setting {
	return setting{
		want:   fmt.Sprintf("a whole number from %d to %d", least, most),
		format: func(s Settings) string { return strconv.Itoa(int(field(&s).Seconds())) },
		parse: func(s *Settings, value string) bool {
			n, ok := parseInt(value, least, most)
			if ok {
				*field(s) = time.Duration(n) * time.Second
			}
			return ok
		},
	}
}

// Values returns all settings as text, by name.
func (s Settings) Values() map[string]string {
	values := map[string]string{}
	for name, setting := range settings {
		values[name] = setting.format(s)
	}
	return values
}

// With returns the settings with one of them changed. The error is an *UnknownSettingError or an
// *InvalidValueError, and the settings are then as before.
func (s Settings) With(name, value string) (Settings, error) {
	setting, ok := settings[name]
	if !ok {
		return s, &UnknownSettingError{Name: name}
	}
	if !setting.parse(&s, value) {
		return s, &InvalidValueError{Name: name, Value: value, Want: setting.want}
	}
	return s, nil
}

// Decode reads the settings from their record. A setting that this version does not know or whose
// value it cannot use is logged and left at its default, so that versions may differ.
func Decode(record json.RawMessage, log *slog.Logger) Settings {
	decoded := Defaults()
	var values map[string]string
	if err := json.Unmarshal(record, &values); err != nil {
		log.Error("settings record cannot be read", "error", err)
		return decoded
	}
	for name, value := range values {
		changed, err := decoded.With(name, value)
		if err != nil {
			log.Error("setting ignored", "error", err)
			continue
		}
		decoded = changed
	}
	return decoded
}
