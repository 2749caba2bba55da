package main

import (
	"strings"
	"testing"
	"time"

	"juniperchute/internal/intentlog"
)

// failedOverHistory returns the history of an operation that a successor recovered after a failover and completed.
func failedOverHistory() intentlog.History {
	start := time.Date(2026, 12, 2, 10, 46, 1, 120_000_000, time.UTC)
	return intentlog.History{
		Operation: "return", Target: "i-000010", Shard: "0", FailedOver: true, Completed: true,
		Steps: []intentlog.Step{
			{At: start, Member: "node-0", Token: "1", Text: "decides: idle"},
			{At: start.Add(4340 * time.Millisecond), Member: "node-1", Token: "2", Text: "settles it"},
		},
	}
}

const wantTrace = `return i-000010, block 0: settled, 4.34s in all
Shard 0, deprovisioning machines (return), target i-000010: first handled by node-0 under token 1, ` +
	`then recovered after a failover, and completed by node-1 under token 2 after 4.34s.
  10:46:01.120  node-0  token 1  decides: idle
  10:46:05.460  node-1  token 2  settles it
`

func TestPrintTrace(t *testing.T) {
	incomplete := failedOverHistory()
	incomplete.Target, incomplete.FailedOver, incomplete.Completed = "i-000011", false, false
	histories := []intentlog.History{failedOverHistory(), incomplete}
	for _, test := range []struct {
		name   string
		filter traceFilter
		want   []string // targets, in order
	}{
		{
			name: "all",
			want: []string{"i-000010", "i-000011"},
		},
		{
			name:   "one target",
			filter: traceFilter{target: "i-000011"},
			want:   []string{"i-000011"},
		},
		{
			name:   "recovered",
			filter: traceFilter{failedOver: true},
			want:   []string{"i-000010"},
		},
		{
			name:   "incomplete",
			filter: traceFilter{incomplete: true},
			want:   []string{"i-000011"},
		},
		{
			name:   "none",
			filter: traceFilter{failedOver: true, incomplete: true},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			err := printTrace(&out, histories, test.filter)
			if (err != nil) != (len(test.want) == 0) {
				t.Errorf("error %v with %d targets expected", err, len(test.want))
			}
			var got []string
			for line := range strings.Lines(out.String()) {
				if target, ok := strings.CutPrefix(line, "return "); ok {
					got = append(got, target[:len("i-000010")])
				}
			}
			if strings.Join(got, " ") != strings.Join(test.want, " ") {
				t.Errorf("targets %v, want %v", got, test.want)
			}
		})
	}
}

func TestPrintHistory(t *testing.T) {
	var out strings.Builder
	printHistory(&out, failedOverHistory())
	if out.String() != wantTrace {
		t.Errorf("printed\n%s\nwant\n%s", out.String(), wantTrace)
	}
	out.Reset()
	incomplete := failedOverHistory()
	incomplete.FailedOver, incomplete.Completed = false, false
	printHistory(&out, incomplete)
	const sentence = "first handled by node-0 under token 1; its completion is not in these traces, " +
		"which end 4.34s later with node-1 under token 2."
	if !strings.Contains(out.String(), sentence) {
		t.Errorf("no sentence %q in\n%s", sentence, out.String())
	}
}
