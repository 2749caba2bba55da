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

func openTest(file string, maxBytes int64, member string, seed uint64) (*Recorder, error) {
	return Open(file, maxBytes, member, time.Now, rand.New(rand.NewPCG(seed, 1)))
}

// Two members' spans of one identity are in one trace, those of another in another, and each
// names its member.
func TestSpansShareTrace(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for i, member := range []string{"one", "two"} {
		file := filepath.Join(dir, member)
		recorder, err := openTest(file, 1<<20, member, uint64(i))
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
	first, second := traces[0][0], traces[0][1]
	if first.Member != "one" || second.Member != "two" {
		t.Errorf("members: %+v, %+v", first, second)
	}
	if first.Attribute("target") != "i-7" || first.Name != "call" {
		t.Errorf("%+v", first)
	}
}

// A file whose last line is cut off is read up to it; any other damage is an error.
func TestReadDamaged(t *testing.T) {
	const line = `{"Name":"call","SpanContext":{"TraceID":"1"}}` + "\n"
	for _, test := range []struct {
		name    string
		content string
		spans   int
		fails   bool
	}{
		{
			name:    "whole",
			content: line + line,
			spans:   2,
		},
		{
			name:    "last line cut off",
			content: line + line[:20],
			spans:   1,
		},
		{
			name:    "earlier line damaged",
			content: line[:20] + "\n" + line,
			fails:   true,
		},
	} {
		file := filepath.Join(t.TempDir(), "trace")
		if err := os.WriteFile(file, []byte(test.content), 0o600); err != nil {
			t.Fatal(err)
		}
		if spans, err := Read(file); len(spans) != test.spans || (err != nil) != test.fails {
			t.Errorf("%s: %d spans, %v", test.name, len(spans), err)
		}
	}
}

// However many spans there are, the files keep to the size allowed, and have the newest span.
func TestRotation(t *testing.T) {
	const maxBytes, spans = 20_000, 400
	file := filepath.Join(t.TempDir(), "trace")
	recorder, err := openTest(file, maxBytes, "one", 1)
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
	if size := fileSize(t, file) + fileSize(t, file+previousSuffix); size > maxBytes {
		t.Errorf("%d bytes of %d", size, maxBytes)
	}
	content, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(content), `"Value":399`) {
		t.Errorf("the newest span is not there: %v", err)
	}
}

func fileSize(t *testing.T, file string) int64 {
	t.Helper()
	info, err := os.Stat(file)
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}

func TestOpenFails(t *testing.T) {
	_, err := openTest(filepath.Join(t.TempDir(), "no", "such"), 1000, "one", 1)
	if err == nil || !strings.Contains(err.Error(), "trace.file") {
		t.Errorf("%v", err)
	}
}
