package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// newTable returns a writer that aligns tab-separated cells. The caller must call Flush.
func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
}

// formatCount returns a number with its noun, as in "1 team" and "2 teams".
func formatCount[N int | int32 | int64](n N, noun string) string {
	if n == 1 {
		return fmt.Sprintf("%d %s", n, noun)
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// formatAge formats an age in milliseconds. A negative age is unknown.
func formatAge(ms int64) string {
	if ms < 0 {
		return "not known"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// describeAge formats an age in milliseconds for the end of a sentence. A negative age is unknown.
func describeAge(ms int64) string {
	if ms < 0 {
		return "of unknown age"
	}
	return formatAge(ms) + " old"
}

// formatUTC formats a Unix time in milliseconds.
func formatUTC(ms int64) string {
	return time.UnixMilli(ms).UTC().Format(time.DateTime) + " UTC"
}
