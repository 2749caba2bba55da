package main

import (
	"os"
	"strings"
	"testing"
)

// The command fails if the list does not cover what fails. Otherwise it prints the outcome of each listed test.
func TestRun(t *testing.T) {
	sampleModule(t)
	const (
		seenFailing = "failed and passed over, see KNOWN-RED.txt: "
		seenPassing = "passed, see KNOWN-RED.txt: "
	)
	cases := []struct {
		name, list, pattern string
		fails               bool
		printed             string // the end of what is printed, if a test is listed
	}{
		{name: "no list", pattern: "TestPass"},
		{name: "no list, and a failure", pattern: "TestFail", fails: true},
		{
			name: "a known failure", list: listEntry("sample TestFail", always), pattern: "TestFail",
			printed: seenFailing + "sample TestFail (always): a fault: issue #1\n",
		},
		{
			name: "a failure too many", list: listEntry("sample TestFail", always), pattern: "TestFail|TestParent",
			fails: true,
		},
		{
			name: "a known failure that passes", list: listEntry("sample TestPass", always), pattern: "TestPass",
			fails: true,
		},
		{
			name: "an intermittent failure", list: listEntry("sample TestFail", intermittent), pattern: "TestFail",
			printed: seenFailing + "sample TestFail (intermittent): a fault: issue #1\n",
		},
		{
			name: "an intermittent failure that passes", list: listEntry("sample TestPass", intermittent),
			pattern: "TestPass", printed: seenPassing + "sample TestPass (intermittent): a fault: issue #1\n",
		},
		{
			name: "an intermittent failure that does not exist", list: listEntry("sample TestGone", intermittent),
			pattern: "TestPass", fails: true,
		},
		{
			name: "several entries", pattern: "TestFail|TestPass",
			list: listEntry("sample TestPass", intermittent) + "\n" + listEntry("sample TestFail", always),
			printed: seenPassing + "sample TestPass (intermittent): a fault: issue #1\n" +
				seenFailing + "sample TestFail (always): a fault: issue #1\n",
		},
		{name: "a malformed list", list: "sample TestFail\n", pattern: "TestFail", fails: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(listFile, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			var printed strings.Builder
			if err := run(runOnly(c.pattern), &printed); (err != nil) != c.fails {
				t.Errorf("got error %v, want one: %v", err, c.fails)
			}
			got := printed.String()
			if !strings.HasSuffix(got, c.printed) || c.printed == "" && strings.Contains(got, "see "+listFile) {
				t.Errorf("printed %q, want an end of %q", got, c.printed)
			}
		})
	}
}
