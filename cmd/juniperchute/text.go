package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// newTable returns a writer that aligns cells separated by tabs. Flush writes the table.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
}

// plural is a number with its noun, as in "1 team" and "2 teams".
func plural[N int | int32 | int64](n N, noun string) string {
	if n == 1 {
		return fmt.Sprintf("%d %s", n, noun)
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// formatAge formats milliseconds; -1 means that the age is not known.
func formatAge(ms int64) string {
	if ms < 0 {
		return "not known"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// describeAge is an age as formatAge takes it, as the end of a sentence.
func describeAge(ms int64) string {
	if ms < 0 {
		return "of unknown age"
	}
	return formatAge(ms) + " old"
}

// formatUTC formats milliseconds of Unix time.
func formatUTC(ms int64) string {
	return time.UnixMilli(ms).UTC().Format(time.DateTime) + " UTC"
}
