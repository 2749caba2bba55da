package tracing

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
)

// Two controllers' spans of one action are in one trace, another action's in another, and
// each tells whose it is.
func TestSpansShareTrace(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for i, member := range []string{"one", "two"} {
		file := filepath.Join(dir, member)
		recorder, err := Open(file, 1<<20, member, time.Now, rand.New(rand.NewPCG(uint64(i), 1)))
		if err != nil {
			t.Fatal(err)
		}
		recorder.Begin("d/0/return/i-7", "call", attribute.String("target", "i-7")).End()
		recorder.Event("d/0/return/i-8", "decision")
		recorder.Close()
		files = append(files, file)
	}
	spans, err := Read(files...)
	if err != nil {
		t.Fatal(err)
	}
	traces := GroupByTrace(spans)
	if len(spans) != 4 {
		t.Fatalf("%d spans", len(spans))
	}
	if len(traces) != 2 || len(traces[0]) != 2 || len(traces[1]) != 2 {
		t.Fatalf("%d traces: %+v", len(traces), traces)
	}
	if one, other := traces[0][0], traces[0][1]; one.Member != "one" || other.Member != "two" || one.Attribute("target") != "i-7" || one.Name != "call" {
		t.Errorf("%+v, %+v", one, other)
	}
}

// A file whose writer has ended in a line is read up to it, any other damage is told.
func TestReadDamaged(t *testing.T) {
	const line = `{"Name":"call","SpanContext":{"TraceID":"1"}}` + "\n"
	for _, test := range []struct {
		name, file string
		spans      int
		fault      bool
	}{
		{"whole", line + line, 2, false},
		{"cut off in the last line", line + line[:20], 1, false},
		{"damaged before", line[:20] + "\n" + line, 0, true},
	} {
		file := filepath.Join(t.TempDir(), "trace")
		if err := os.WriteFile(file, []byte(test.file), 0o600); err != nil {
			t.Fatal(err)
		}
		if spans, err := Read(file); len(spans) != test.spans || (err != nil) != test.fault {
			t.Errorf("%s: %d spans, %v", test.name, len(spans), err)
		}
	}
}

// However many spans there are, the files take no more than allowed, and the newest are
// there.
func TestRotation(t *testing.T) {
	const most, spans = 20_000, 400
	file := filepath.Join(t.TempDir(), "trace")
	recorder, err := Open(file, most, "one", time.Now, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range spans {
		recorder.Event("x", "span", attribute.Int("number", i))
		if i%50 == 0 {
			_ = recorder.provider.ForceFlush(t.Context())
		}
	}
	recorder.Close()
	var size int64
	for _, f := range []string{file, file + previousSuffix} {
		info, err := os.Stat(f)
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
	}
	if size > most {
		t.Errorf("%d bytes of %d", size, most)
	}
	raw, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(raw), `"Value":399`) {
		t.Errorf("the newest span is not there: %v", err)
	}
}

func TestOpenFails(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "no", "such"), 1000, "one", time.Now, rand.New(rand.NewPCG(1, 1))); err == nil || !strings.Contains(err.Error(), "trace.file") {
		t.Errorf("%v", err)
	}
}
