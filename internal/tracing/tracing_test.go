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

func openTestRecorder(file string, maxBytes int64, member string, seed uint64) (*Recorder, error) {
	return Open(file, maxBytes, member, time.Now, rand.New(rand.NewPCG(seed, 1)))
}

// Guards against trace IDs that depend on the member, and against spans without their member.
func TestSpansShareTrace(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for i, member := range []string{"one", "two"} {
		file := filepath.Join(dir, member)
		recorder, err := openTestRecorder(file, 1<<20, member, uint64(i))
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
		t.Fatalf("got %d spans, want 4", len(spans))
	}
	if len(traces) != 2 || len(traces[0]) != 2 || len(traces[1]) != 2 {
		t.Fatalf("got %d traces, want 2 of 2 spans each: %+v", len(traces), traces)
	}
	first, second := traces[0][0], traces[0][1]
	if first.Member != "one" || second.Member != "two" {
		t.Errorf("got members %q and %q, want one and two", first.Member, second.Member)
	}
	if first.Attribute("target") != "i-7" || first.Name != "call" {
		t.Errorf("got span %+v, want a call with target i-7", first)
	}
}

// Guards against a truncated last line that fails the read, and against other damage that does not.
func TestReadDamaged(t *testing.T) {
	const line = `{"Name":"call","SpanContext":{"TraceID":"1"}}` + "\n"
	for _, test := range []struct {
		name    string
		content string
		spans   int
		fails   bool
	}{
		{
			name:    "intact",
			content: line + line,
			spans:   2,
		},
		{
			name:    "last line truncated",
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
			t.Errorf("%s: got %d spans, error %v", test.name, len(spans), err)
		}
	}
}

// Guards against files that exceed their size limit or lose the newest span.
func TestRotation(t *testing.T) {
	const maxBytes, spans = 20_000, 400
	file := filepath.Join(t.TempDir(), "trace")
	recorder, err := openTestRecorder(file, maxBytes, "one", 1)
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
		t.Errorf("files take %d bytes, limit %d", size, maxBytes)
	}
	content, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(content), `"Value":399`) {
		t.Errorf("newest span missing: %v", err)
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
	_, err := openTestRecorder(filepath.Join(t.TempDir(), "no", "such"), 1000, "one", 1)
	if err == nil || !strings.Contains(err.Error(), "trace.file") {
		t.Errorf("got error %v, want one that names trace.file", err)
	}
}
