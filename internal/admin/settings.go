// Package admin defines the settings that operators change at run time, and the version that they
// query. Package peer implements the calls of the administration API.
package admin

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"juniperchute/internal/tuning"
)

// SettingsKey is the key of the settings record in the state service: a JSON object of strings by name.
const SettingsKey = "c/settings"

// Settings holds the settings that operators change at run time. They apply to all controllers.
type Settings struct {
	BackupWithdrawThreshold int           // preemptions before a task's backup copy is withdrawn
	MaxMachines             int           // limit on machines, including requested ones; 0: none
	ScaleOutPaused          bool          // stops provisioning
	IdleTimeout             time.Duration // idle time after which a machine is deprovisioned
}

// Defaults returns the settings before any change by operators.
func Defaults() Settings {
	return Settings{
		BackupWithdrawThreshold: tuning.BackupWithdrawThreshold,
		IdleTimeout:             tuning.MachineIdleTimeout,
	}
}

// UnknownSettingError reports a name that no setting has. Its text is shown to operators.
type UnknownSettingError struct{ Name string }

func (e *UnknownSettingError) Error() string { return fmt.Sprintf("no setting is called %q", e.Name) }

// InvalidValueError reports an invalid value of a setting. Its text is shown to operators.
type InvalidValueError struct {
	Name  string
	Value string
	Want  string // description of the valid values
}

func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("%s: %q is not %s", e.Name, e.Value, e.Want)
}

// setting converts one field of Settings from and to text.
type setting struct {
	want   string // description of the valid values
	format func(Settings) string
	// parse sets the field and reports whether the value is valid. An invalid value changes nothing.
	parse func(s *Settings, value string) bool
}

// settings maps names to settings. The names are part of the administration API.
var settings = map[string]setting{
	"placement.drop_threshold": intSetting(1, 1000, func(s *Settings) *int { return &s.BackupWithdrawThreshold }),
	"fleet.max_machines":       intSetting(0, 100000, func(s *Settings) *int { return &s.MaxMachines }),
	"fleet.hire_paused":        boolSetting(func(s *Settings) *bool { return &s.ScaleOutPaused }),
	"fleet.idle_return_s":      secondsSetting(5, 3600, func(s *Settings) *time.Duration { return &s.IdleTimeout }),
}

func intSetting(minimum, maximum int, field func(*Settings) *int) setting {
	return setting{
		want:   fmt.Sprintf("a whole number from %d to %d", minimum, maximum),
		format: func(s Settings) string { return strconv.Itoa(*field(&s)) },
		parse: func(s *Settings, value string) bool {
			n, ok := parseInt(value, minimum, maximum)
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

func parseInt(value string, minimum, maximum int) (n int, ok bool) {
	n, err := strconv.Atoi(value)
	return n, err == nil && n >= minimum && n <= maximum
}

// secondsSetting returns a setting for a duration, in whole seconds.
func secondsSetting(minimum, maximum int, field func(*Settings) *time.Duration) setting {
	return setting{
		want:   fmt.Sprintf("a whole number from %d to %d", minimum, maximum),
		format: func(s Settings) string { return strconv.Itoa(int(field(&s).Seconds())) },
		parse: func(s *Settings, value string) bool {
			n, ok := parseInt(value, minimum, maximum)
			if ok {
				*field(s) = time.Duration(n) * time.Second
			}
			return ok
		},
	}
}

// Values returns the text of each setting by name.
func (s Settings) Values() map[string]string {
	values := map[string]string{}
	for name, setting := range settings {
		values[name] = setting.format(s)
	}
	return values
}

// With returns a copy of the settings with one of them changed. On an error, an *UnknownSettingError
// or an *InvalidValueError, it returns the settings unchanged.
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

// Decode decodes the settings record. It logs an unknown setting or an invalid value and keeps the
// default, so that controllers of different versions share a record.
func Decode(record json.RawMessage, log *slog.Logger) Settings {
	decoded := Defaults()
	var values map[string]string
	if err := json.Unmarshal(record, &values); err != nil {
		log.Error("failed to decode settings record", "error", err)
		return decoded
	}
	for name, value := range values {
		changed, err := decoded.With(name, value)
		if err != nil {
			log.Error("ignoring unusable setting", "error", err)
			continue
		}
		decoded = changed
	}
	return decoded
}
