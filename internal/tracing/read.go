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

// maxLineBytes is the longest line of a trace that is read: spans are some hundred bytes long.
const maxLineBytes = 1 << 20

// Span is a span as read from a trace.
type Span struct {
	TraceID      string // the number of the trace that it belongs to
	Name       string
	Member     string // the controller that made it
	Start, End time.Time
	attributes map[string]string
}

// Attribute is one of the span's attributes, "" if it has none of that name.
func (s Span) Attribute(name string) string { return s.attributes[name] }

// storedSpan is a span in the form in which the exporter writes it.
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

// span is the stored span in the form in which it is used.
func (s storedSpan) span() Span {
	out := Span{TraceID: s.SpanContext.TraceID, Name: s.Name, Start: s.StartTime, End: s.EndTime, attributes: map[string]string{}}
	for _, a := range s.Attributes {
		out.attributes[a.Key] = attributeText(a.Value.Value)
	}
	for _, a := range s.Resource {
		if a.Key == memberAttribute {
			out.Member = attributeText(a.Value.Value)
		}
	}
	return out
}

// attributeText is an attribute's value in words; JSON numbers are whole ones here.
func attributeText(value any) string {
	if n, ok := value.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// Read reads the spans of several files, each with the one before it if there is one, in the
// order of their beginnings. A last line that is cut off, as its writer has ended, is left
// out.
func Read(files ...string) ([]Span, error) {
	var out []Span
	for _, file := range files {
		spans, err := readFile(file)
		if err != nil {
			return nil, err
		}
		earlier, err := readFile(file + previousSuffix)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
		out = append(append(out, earlier...), spans...)
	}
	slices.SortStableFunc(out, func(a, b Span) int { return cmp.Or(a.Start.Compare(b.Start), a.End.Compare(b.End)) })
	return out, nil
}

func readFile(file string) ([]Span, error) {
	input, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer input.Close()
	var out []Span
	var unreadable error
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
		out = append(out, stored.span())
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return out, nil
}

// GroupByTrace groups spans by their traces, in the order in which these begin.
func GroupByTrace(spans []Span) [][]Span {
	var out [][]Span
	index := map[string]int{}
	for _, s := range spans {
		i, known := index[s.TraceID]
		if !known {
			i = len(out)
			index[s.TraceID] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], s)
	}
	return out
}
