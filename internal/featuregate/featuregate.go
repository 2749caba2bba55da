// Package featuregate reads the file that tells what a controller may do beyond what all
// versions do. Everything in it is off unless it is switched on there.
package featuregate

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// IntentLogFeature is the name under which a controller announces that it can keep a log of duties.
const IntentLogFeature = "duties"

// Gates are what a controller may do.
type Gates struct {
	// IntentLog: what is asked of the cloud is entered in a durable log first. It is in
	// force once every member announces it.
	IntentLog bool  `toml:"duties"`
	Trace     Trace `toml:"trace"`
}

// Trace tells where spans are written; none are made without a file.
type Trace struct {
	File string `toml:"file"`
	// MaxMB bounds the file and the one before it together.
	MaxMB float64 `toml:"most_mb"`
}

// defaultTraceMB is the size of a trace when the file gives none.
const defaultTraceMB = 16

// Announced lists the switches that concern several controllers and are on here.
func (s Gates) Announced() []string {
	if s.IntentLog {
		return []string{IntentLogFeature}
	}
	return nil
}

// Load reads a file of switches. An error names the file and the field in one line.
func Load(file string) (Gates, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Gates{}, fmt.Errorf("switches: %w", err)
	}
	s, err := parse(raw)
	if err != nil {
		return Gates{}, fmt.Errorf("switches: %s: %w", file, err)
	}
	return s, nil
}

func parse(raw []byte) (Gates, error) {
	s := Gates{Trace: Trace{MaxMB: defaultTraceMB}}
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Gates{}, singleLineError(err)
	}
	if !(s.Trace.MaxMB > 0) {
		return Gates{}, fmt.Errorf("trace.most_mb: %g is not above 0", s.Trace.MaxMB)
	}
	return s, nil
}

// singleLineError puts an error of the decoder in one line that names the field.
func singleLineError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return fmt.Errorf("%s: unknown switch", strings.Join(unknown.Errors[0].Key(), "."))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		if key := strings.Join(wrong.Key(), "."); key != "" {
			return fmt.Errorf("%s: %s", key, wrong.Error())
		}
		return fmt.Errorf("line %d: %s", row, wrong.Error())
	}
	return err
}
