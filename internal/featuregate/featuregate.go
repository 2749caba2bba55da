// Package featuregate reads the switches file, which turns on what a controller may do beyond what
// all versions do. Everything in it is off by default.
package featuregate

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// IntentLogFeature is the name under which members announce that they can keep an intent log. The
// name is compared across versions.
const IntentLogFeature = "duties"

// Gates are the feature gates of one controller.
type Gates struct {
	// IntentLog: an operation on the cloud is recorded in a durable log before it is sent. It is
	// in force once every member announces it.
	IntentLog bool  `toml:"duties"`
	Trace     Trace `toml:"trace"`
}

// Trace says where spans are written; none are made without a file.
type Trace struct {
	File string `toml:"file"`
	// MaxMB bounds the file and its predecessor together, in units of 1,024^2 bytes.
	MaxMB float64 `toml:"most_mb"`
}

// defaultTraceMB is Trace.MaxMB where the file names none.
const defaultTraceMB = 16

// Announced lists, by the names that members announce, the gates that are open here and take
// effect once all members have them.
func (g Gates) Announced() []string {
	if g.IntentLog {
		return []string{IntentLogFeature}
	}
	return nil
}

// Load reads a switches file. An error is one line that names the file and the field.
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
	if !(gates.Trace.MaxMB > 0) { // not a number is not above 0 either
		return Gates{}, fmt.Errorf("trace.most_mb: %g is not above 0", gates.Trace.MaxMB)
	}
	return gates, nil
}

// singleLineError puts an error of the decoder, whose text has several lines, in one line that
// names the field.
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
