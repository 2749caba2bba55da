package tracing

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"
)

// maxLineBytes bounds the length of a line. A span takes a few hundred bytes.
const maxLineBytes = 1 << 20

// Span is a span that was read from a trace file.
type Span struct {
	TraceID string
	Name    string
	// Member is the name of the controller that recorded the span.
	Member     string
	Start, End time.Time
	attributes map[string]string
}

// Attribute returns the text of an attribute, or "" if the span does not have the attribute.
func (s Span) Attribute(name string) string { return s.attributes[name] }

// storedSpan is the JSON encoding of a span by stdouttrace.
type storedSpan struct {
	Name        string
	SpanContext struct{ TraceID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []storedAttribute
	Resource    []storedAttribute
}

type storedAttribute struct {
	Key   string
	Value struct{ Value any }
}

func (s storedSpan) span() Span {
	span := Span{
		TraceID:    s.SpanContext.TraceID,
		Name:       s.Name,
		Start:      s.StartTime,
		End:        s.EndTime,
		attributes: map[string]string{},
	}
	for _, attribute := range s.Attributes {
		span.attributes[attribute.Key] = attribute.text()
	}
	for _, attribute := range s.Resource {
		if attribute.Key == memberAttribute {
			span.Member = attribute.text()
		}
	}
	return span
}

// text returns the attribute's value as text. Numbers, all of which are integers, are formatted
// without an exponent.
func (a storedAttribute) text() string {
	if number, ok := a.Value.Value.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return fmt.Sprint(a.Value.Value)
}

// Read reads the trace files of several recorders, with their rotated predecessors, and returns the
// spans sorted by start time. Read skips a last line that cannot be decoded, as a killed process may
// truncate it. Any other such line is an error.
func Read(files ...string) ([]Span, error) {
	var all []Span
	for _, file := range files {
		spans, err := readFile(file)
		if err != nil {
			return nil, err
		}
		previous, err := readFile(file + previousSuffix)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
		all = append(append(all, previous...), spans...)
	}
	slices.SortStableFunc(all, func(a, b Span) int {
		return cmp.Or(a.Start.Compare(b.Start), a.End.Compare(b.End))
	})
	return all, nil
}

func readFile(file string) ([]Span, error) {
	input, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer input.Close()
	var spans []Span
	var decodeErr error // of the previous line
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		if decodeErr != nil {
			return nil, decodeErr // only the last line may be truncated
		}
		var stored storedSpan
		if err := json.Unmarshal(lines.Bytes(), &stored); err != nil {
			decodeErr = fmt.Errorf("decode span on line %d of %s: %w", number, file, err)
			continue
		}
		spans = append(spans, stored.span())
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read trace %s: %w", file, err)
	}
	return spans, nil
}

// GroupByTrace groups spans by trace ID, in the order of the first span of each trace.
func GroupByTrace(spans []Span) [][]Span {
	var groups [][]Span
	groupOf := map[string]int{}
	for _, span := range spans {
		i, known := groupOf[span.TraceID]
		if !known {
			i = len(groups)
			groupOf[span.TraceID] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], span)
	}
	return groups
}
