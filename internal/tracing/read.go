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

// maxLineBytes bounds the lines that are read, far above the some hundred bytes of a span.
const maxLineBytes = 1 << 20

// Span is a span as read from a file.
type Span struct {
	TraceID string
	Name    string
	// Member is the controller that made it.
	Member     string
	Start, End time.Time
	attributes map[string]string
}

// Attribute returns an attribute as text, "" if the span has none of that name.
func (s Span) Attribute(name string) string { return s.attributes[name] }

// storedSpan is a span as stdouttrace writes it.
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

// text is the attribute's value as text. JSON numbers are formatted without an exponent: all of
// the spans' numbers are whole.
func (a storedAttribute) text() string {
	if number, ok := a.Value.Value.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return fmt.Sprint(a.Value.Value)
}

// Read reads the spans of several recorders' files, each with the one before it if there is one,
// in the order of their starts. A last line that cannot be read is left out, since a process that
// is killed may cut it off; any other is an error.
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
	var unreadable error // of the line before
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		if unreadable != nil {
			return nil, unreadable // it was not the last line
		}
		var stored storedSpan
		if err := json.Unmarshal(lines.Bytes(), &stored); err != nil {
			unreadable = fmt.Errorf("%s: line %d is no span: %w", file, number, err)
			continue
		}
		spans = append(spans, stored.span())
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return spans, nil
}

// GroupByTrace groups spans by their traces, in the order of each trace's first span.
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
