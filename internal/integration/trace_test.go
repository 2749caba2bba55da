package integration

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"juniperchute/internal/duty"
)

// span is what the tests read of a span in a trace.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
	Attributes  []attribute
	Resource    []attribute
}

type attribute struct {
	Key   string
	Value struct{ Value any }
}

func (s span) attribute(key string) string {
	for _, a := range append(s.Attributes, s.Resource...) {
		if a.Key == key {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}

// spans reads the traces of all controllers, by trace number.
func (f *freezes) spans() map[string][]span {
	f.t.Helper()
	out := map[string][]span{}
	for _, file := range f.traces {
		raw, err := os.ReadFile(file)
		if err != nil {
			f.t.Fatal(err)
		}
		for line := range strings.Lines(string(raw)) {
			var s span
			if err := json.Unmarshal([]byte(line), &s); err != nil {
				f.t.Fatalf("%v in %s", err, line)
			}
			out[s.SpanContext.TraceID] = append(out[s.SpanContext.TraceID], s)
		}
	}
	return out
}

// checkJoined checks that the trace of some return shows its whole way through a takeover:
// one controller decided and entered it, another took it over, called and settled it.
func (f *freezes) checkJoined() {
	f.t.Helper()
	for _, spans := range f.spans() {
		by := map[string]string{} // the member whose span of a name it is
		for _, s := range spans {
			if s.attribute("duty") == string(duty.Returning) && (s.Name != "call" || s.attribute("outcome") == duty.Done.String()) {
				by[s.Name] = s.attribute("member")
			}
		}
		if by["decision"] != "" && by["decision"] == by["entry"] && by["takeover"] != "" && by["takeover"] != by["decision"] &&
			by["call"] == by["takeover"] && by["settlement"] == by["takeover"] {
			return
		}
	}
	f.t.Error("no trace shows a return through a takeover")
}
