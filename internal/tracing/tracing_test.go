package tracing

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
)

// stored is what the tests read of a span.
type stored struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
	Resource    []struct {
		Key   string
		Value struct{ Value any }
	}
}

func read(t *testing.T, file string) (out []stored) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		var s stored
		if err := json.Unmarshal([]byte(line), &s); err != nil {
			t.Fatalf("%v in %q", err, line)
		}
		out = append(out, s)
	}
	return out
}

// Two controllers' spans of one action are in one trace, another action's in another, and
// each tells whose it is.
func TestJoined(t *testing.T) {
	dir := t.TempDir()
	var spans []stored
	for i, member := range []string{"one", "two"} {
		file := filepath.Join(dir, member)
		r, err := Open(file, 1<<20, member, time.Now, rand.New(rand.NewPCG(uint64(i), 1)))
		if err != nil {
			t.Fatal(err)
		}
		r.Begin("d/0/return/i-7", "call", attribute.String("target", "i-7")).End()
		r.Event("d/0/return/i-8", "decision")
		r.Close()
		spans = append(spans, read(t, file)...)
	}
	if len(spans) != 4 {
		t.Fatalf("%d spans", len(spans))
	}
	if spans[0].SpanContext.TraceID != spans[2].SpanContext.TraceID || spans[0].Parent.SpanID != spans[2].Parent.SpanID {
		t.Errorf("one action's spans are apart: %+v, %+v", spans[0], spans[2])
	}
	if spans[0].SpanContext.TraceID == spans[1].SpanContext.TraceID || spans[0].SpanContext.SpanID == spans[2].SpanContext.SpanID {
		t.Errorf("two spans share a number: %+v, %+v", spans[0], spans[1])
	}
	if len(spans[2].Resource) == 0 || !strings.Contains(strings.ToLower(toJSON(t, spans[2].Resource)), `"two"`) {
		t.Errorf("does not tell its member: %+v", spans[2].Resource)
	}
}

func toJSON(t *testing.T, v any) string {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// However many spans there are, the files take no more than allowed, and the newest are
// there.
func TestBounded(t *testing.T) {
	const most, spans = 20_000, 400
	file := filepath.Join(t.TempDir(), "trace")
	r, err := Open(file, most, "one", time.Now, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range spans {
		r.Event("x", "span", attribute.Int("number", i))
		if i%50 == 0 {
			_ = r.provider.ForceFlush(t.Context())
		}
	}
	r.Close()
	var size int64
	for _, f := range []string{file, file + earlierSuffix} {
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

func TestFileCannotBeOpened(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "no", "such"), 1000, "one", time.Now, rand.New(rand.NewPCG(1, 1))); err == nil || !strings.Contains(err.Error(), "trace.file") {
		t.Errorf("%v", err)
	}
}
