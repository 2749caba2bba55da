package main

import (
	"os"
	"strings"
	"testing"
)

// The command fails if the list does not cover what fails. Otherwise it prints the outcome of each listed test.
func TestRun(t *testing.T) {
	writeSampleModule(t)
	const (
		printedFailing = "known failure, see KNOWN-RED.txt: "
		printedPassing = "listed test passed, see KNOWN-RED.txt: "
	)
	failing := listEntry("sample TestFail", always)
	passing := listEntry("sample TestPass", always)
	intermittentFailing := listEntry("sample TestFail", intermittent)
	intermittentPassing := listEntry("sample TestPass", intermittent)
	cases := []struct {
		name, list, pattern string
		fails               bool
		printed             string // end of the output, if a test is listed
	}{
		{name: "accepts a pass without a list", pattern: "TestPass"},
		{name: "rejects a failure without a list", pattern: "TestFail", fails: true},
		{
			name: "accepts a known failure", list: failing, pattern: "TestFail",
			printed: printedFailing + "sample TestFail (always): a fault: issue #1\n",
		},
		{name: "rejects an unlisted failure", list: failing, pattern: "TestFail|TestParent", fails: true},
		{name: "rejects a known failure that passes", list: passing, pattern: "TestPass", fails: true},
		{
			name: "accepts an intermittent test that fails", list: intermittentFailing, pattern: "TestFail",
			printed: printedFailing + "sample TestFail (intermittent): a fault: issue #1\n",
		},
		{
			name: "accepts an intermittent test that passes", list: intermittentPassing, pattern: "TestPass",
			printed: printedPassing + "sample TestPass (intermittent): a fault: issue #1\n",
		},
		{
			name: "rejects an intermittent test that does not exist", pattern: "TestPass", fails: true,
			list: listEntry("sample TestGone", intermittent),
		},
		{
			name: "prints the outcome of each entry", list: intermittentPassing + "\n" + failing,
			pattern: "TestFail|TestPass",
			printed: printedPassing + "sample TestPass (intermittent): a fault: issue #1\n" +
				printedFailing + "sample TestFail (always): a fault: issue #1\n",
		},
		{name: "rejects a malformed list", list: "sample TestFail\n", pattern: "TestFail", fails: true},
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
				t.Errorf("printed %q, want suffix %q", got, c.printed)
			}
		})
	}
}
