package featuregate

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What a file switches on, and the one line that ends the start when it cannot be read.
func TestLoad(t *testing.T) {
	for _, c := range []struct {
		name, file string
		want       Gates
		fault      string // named in the error
	}{
		{"empty: all off", "", Gates{Trace: Trace{MaxMB: defaultTraceMB}}, ""},
		{"duties on", "duties = true\n", Gates{IntentLog: true, Trace: Trace{MaxMB: defaultTraceMB}}, ""},
		{"a trace", "[trace]\nfile = \"/tmp/trace\"\nmost_mb = 2.5\n", Gates{Trace: Trace{File: "/tmp/trace", MaxMB: 2.5}}, ""},
		{"unknown switch", "dutys = true\n", Gates{}, "dutys: unknown switch"},
		{"unknown field of a table", "[trace]\nfil = \"x\"\n", Gates{}, "trace.fil: unknown switch"},
		{"wrong type", "duties = \"yes\"\n", Gates{}, "duties"},
		{"wrong type in a table", "[trace]\nmost_mb = true\n", Gates{}, "most_mb"},
		{"not above 0", "[trace]\nmost_mb = 0\n", Gates{}, "trace.most_mb"},
		{"not a number", "[trace]\nmost_mb = nan\n", Gates{}, "trace.most_mb"},
		{"not TOML", "duties\n", Gates{}, "line 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "switches.toml")
			if err := os.WriteFile(file, []byte(c.file), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := Load(file)
			if c.fault == "" {
				if err != nil || got != c.want {
					t.Fatalf("%+v, %v; want %+v", got, err, c.want)
				}
				return
			}
			if err == nil {
				t.Fatal("accepted")
			}
			if msg := err.Error(); !strings.Contains(msg, c.fault) || !strings.Contains(msg, file) || strings.Contains(msg, "\n") {
				t.Errorf("%q does not name %q of the file in one line", msg, c.fault)
			}
		})
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("a missing file: %v", err)
	}
}

// The files that come with the program can be read.
func TestShipped(t *testing.T) {
	files, err := filepath.Glob("../../deploy/switches*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
}
