package featuregate

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var loadCases = []struct {
	name  string
	file  string // content of the file
	want  Gates
	fault string // text that the error contains; "" if valid
}{
	{
		name: "empty file: all gates off",
		want: Gates{Trace: Trace{MaxMB: defaultTraceMB}},
	},
	{
		name: "intent log on",
		file: "duties = true\n",
		want: Gates{IntentLog: true, Trace: Trace{MaxMB: defaultTraceMB}},
	},
	{
		name: "trace file",
		file: "[trace]\nfile = \"trace.json\"\nmost_mb = 2.5\n",
		want: Gates{Trace: Trace{File: "trace.json", MaxMB: 2.5}},
	},
	{
		name:  "unknown switch",
		file:  "dutys = true\n",
		fault: "dutys: unknown switch",
	},
	{
		name:  "unknown field of a table",
		file:  "[trace]\nfil = \"x\"\n",
		fault: "trace.fil: unknown switch",
	},
	{
		name:  "wrong type",
		file:  "duties = \"yes\"\n",
		fault: "duties",
	},
	{
		name:  "wrong type in a table",
		file:  "[trace]\nmost_mb = true\n",
		fault: "most_mb",
	},
	{
		name:  "trace size of zero",
		file:  "[trace]\nmost_mb = 0\n",
		fault: "trace.most_mb",
	},
	{
		name:  "trace size NaN",
		file:  "[trace]\nmost_mb = nan\n",
		fault: "trace.most_mb",
	},
	{
		name:  "not TOML",
		file:  "duties\n",
		fault: "line 1",
	},
}

// Guards against an invalid file that is accepted, or whose error does not name the field in one line.
func TestLoad(t *testing.T) {
	for _, c := range loadCases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "switches.toml")
			if err := os.WriteFile(file, []byte(c.file), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := Load(file)
			if c.fault != "" {
				checkFault(t, err, file, c.fault)
				return
			}
			if err != nil || got != c.want {
				t.Fatalf("got %+v, error %v; want %+v", got, err, c.want)
			}
		})
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("missing file: error %v, want a single line", err)
	}
}

func checkFault(t *testing.T, err error, file, fault string) {
	t.Helper()
	if err == nil {
		t.Fatal("invalid file accepted")
	}
	text := err.Error()
	if !strings.Contains(text, fault) || !strings.Contains(text, file) || strings.Contains(text, "\n") {
		t.Errorf("error %q, want a single line that names the file and %q", text, fault)
	}
}

// Guards against shipped files that the program rejects.
func TestShippedFiles(t *testing.T) {
	files, err := filepath.Glob("../../deploy/switches*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no shipped files: %v", err)
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}
