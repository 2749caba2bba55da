// Package featuregate loads the file of feature gates, called the switches file in the operators'
// interface. All gates are off by default.
package featuregate

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// IntentLogFeature is the name by which members announce support of the intent log. Members of
// different versions compare it.
const IntentLogFeature = "duties"

// Gates holds the feature gates of one controller.
type Gates struct {
	// IntentLog records each cloud operation in a durable log before its call is sent. It takes
	// effect once every member announces it.
	IntentLog bool  `toml:"duties"`
	Trace     Trace `toml:"trace"`
}

// Trace configures the trace file of a controller.
type Trace struct {
	File string `toml:"file"` // "" disables tracing
	// MaxMB bounds the total size of the file and its predecessor, in units of 1,024^2 bytes.
	MaxMB float64 `toml:"most_mb"`
}

// defaultTraceMB is the default of Trace.MaxMB.
const defaultTraceMB = 16

// Announced returns the names of the enabled gates that take effect only once all members announce
// them.
func (g Gates) Announced() []string {
	if g.IntentLog {
		return []string{IntentLogFeature}
	}
	return nil
}

// Load reads and validates a file of feature gates. An error is a single line that names the file and,
// if a field is invalid, the field.
func Load(file string) (Gates, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Gates{}, fmt.Errorf("switches: %w", err)
	}
	gates, err := parse(raw)
	if err != nil {
		return Gates{}, fmt.Errorf("switches: %s: %w", file, err)
	}
	return gates, nil
}

func parse(raw []byte) (Gates, error) {
	gates := Gates{Trace: Trace{MaxMB: defaultTraceMB}}
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(&gates); err != nil {
		return Gates{}, singleLineError(err)
	}
	if !(gates.Trace.MaxMB > 0) { // rejects NaN
		return Gates{}, fmt.Errorf("trace.most_mb: %g is not above 0", gates.Trace.MaxMB)
	}
	return gates, nil
}

// singleLineError reduces a decoding error of several lines to a single line that names the field.
func singleLineError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return fmt.Errorf("%s: unknown switch", strings.Join(unknown.Errors[0].Key(), "."))
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		if key := strings.Join(invalid.Key(), "."); key != "" {
			return fmt.Errorf("%s: %w", key, invalid)
		}
		row, _ := invalid.Position()
		return fmt.Errorf("line %d: %w", row, invalid)
	}
	return err
}
