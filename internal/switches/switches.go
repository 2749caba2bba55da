// Package switches reads the file that tells what a controller may do beyond what all
// versions do. Everything in it is off unless it is switched on there.
package switches

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Duties is the name under which a controller announces that it can keep a log of duties.
const Duties = "duties"

// Switches are what a controller may do.
type Switches struct {
	// Duties: what is asked of the cloud is entered in a durable log first. It is in
	// force once every member announces it.
	Duties bool  `toml:"duties"`
	Trace  Trace `toml:"trace"`
}

// Trace tells where spans are written; none are made without a file.
type Trace struct {
	File string `toml:"file"`
	// MostMB bounds the file and the one before it together.
	MostMB float64 `toml:"most_mb"`
}

// defaultTraceMB is the size of a trace when the file gives none.
const defaultTraceMB = 16

// Announced lists the switches that concern several controllers and are on here.
func (s Switches) Announced() []string {
	if s.Duties {
		return []string{Duties}
	}
	return nil
}

// Load reads a file of switches. An error names the file and the field in one line.
func Load(file string) (Switches, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Switches{}, fmt.Errorf("switches: %w", err)
	}
	s, err := parse(raw)
	if err != nil {
		return Switches{}, fmt.Errorf("switches: %s: %w", file, err)
	}
	return s, nil
}

func parse(raw []byte) (Switches, error) {
	s := Switches{Trace: Trace{MostMB: defaultTraceMB}}
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Switches{}, oneLine(err)
	}
	if !(s.Trace.MostMB > 0) {
		return Switches{}, fmt.Errorf("trace.most_mb: %g is not above 0", s.Trace.MostMB)
	}
	return s, nil
}

// oneLine puts an error of the decoder in one line that names the field.
func oneLine(err error) error {
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
