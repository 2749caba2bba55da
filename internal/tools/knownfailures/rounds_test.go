package main

import (
	"os"
	"strings"
	"testing"
)

// twoRounds returns the arguments that run the matching tests twice.
func twoRounds(pattern string) []string { return append([]string{"-count=2"}, runOnly(pattern)...) }

// Guards against a failure that is not reported because the test passes in a later round.
func TestEvaluateRounds(t *testing.T) {
	writeSampleModule(t)
	cases := []evaluateCase{
		{
			name:      "rejects an unlisted failure of the first round",
			arguments: twoRounds("TestFirstRound"),
			problems:  []string{"sample/sample: TestFirstRound failed"},
		},
		{
			name:      "accepts an intermittent test that fails in one round",
			listed:    listed("TestFirstRound", intermittent),
			arguments: twoRounds("TestFirstRound"),
		},
		{
			name:      "rejects a test with frequency always that passes in one round",
			listed:    listed("TestFirstRound", always),
			arguments: twoRounds("TestFirstRound"),
			problems: []string{
				"sample TestFirstRound is listed with frequency always, but passed in 1 of 2 rounds: change its entry",
			},
		},
		{
			name:      "rejects a parent that fails by itself in another round than its listed subtest",
			listed:    listed("TestMixedRounds/bad", intermittent),
			arguments: twoRounds("TestMixedRounds"),
			problems:  []string{"sample/sample: TestMixedRounds failed"},
		},
		{
			name:      "rejects an unlisted failure of the first round beside a listed test",
			listed:    listed("TestFail", always),
			arguments: twoRounds("TestFail|TestFirstRound"),
			problems:  []string{"sample/sample: TestFirstRound failed"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, c.run)
	}
}

// Guards against a report that hides how often an intermittent test failed, and one that does not say
// which entry does not match the run.
func TestRunReportsRoundsAndLines(t *testing.T) {
	writeSampleModule(t)
	cases := []struct {
		name, list string
		arguments  []string
		fails      bool
		printed    string
	}{
		{
			name:      "rounds of an intermittent test",
			list:      listEntry("sample TestFirstRound", intermittent),
			arguments: twoRounds("TestFirstRound"),
			printed: "known failure, see KNOWN-RED.txt: sample TestFirstRound (intermittent): a fault: issue #1: " +
				"failed in 1 of 2 rounds\n",
		},
		{
			name:      "line of an entry whose test does not exist",
			list:      "# a comment\n\n" + listEntry("sample TestGone", intermittent),
			arguments: runOnly("TestPass"),
			fails:     true,
			printed:   "error: KNOWN-RED.txt:3: sample TestGone is listed, but did not run\n",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(listFile, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			var printed strings.Builder
			if err := run(c.arguments, &printed); (err != nil) != c.fails {
				t.Errorf("got error %v, want one: %v", err, c.fails)
			}
			if !strings.HasSuffix(printed.String(), c.printed) {
				t.Errorf("printed %q, want suffix %q", printed.String(), c.printed)
			}
		})
	}
}
