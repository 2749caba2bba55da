package main

import (
	"strings"
	"testing"
)

// The output is that of "go test" without -json, summary lines included.
func TestPrintedOutput(t *testing.T) {
	writeSampleModule(t)
	cases := []struct {
		name      string
		arguments []string
		has       []string
		hasNot    []string
	}{
		{
			name:      "passing package: summary line only",
			arguments: runOnly("TestPass"),
			has:       []string{"ok  \tsample/sample\t"},
			hasNot:    []string{"a note", "=== RUN", "PASS"},
		},
		{
			name:      "failing package: output of failed tests",
			arguments: runOnly("TestPass|TestParent"),
			has:       []string{"--- FAIL: TestParent/bad_one", "a fault", "\nFAIL\nFAIL\tsample/sample\t"},
			hasNot:    []string{"a note", "=== ", "good_one"},
		},
		{
			name:      "package ended by a panic: panic message",
			arguments: runOnly("TestPanic"),
			has:       []string{"panic: a crash", "FAIL\tsample/sample\t"},
		},
		{
			name:      "package that does not compile: build errors",
			arguments: []string{"./uncompiled"},
			has:       []string{"cannot use \"text\"", "FAIL\tsample/uncompiled [build failed]"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var printed strings.Builder
			if _, err := runTests(c.arguments, &printed); err != nil {
				t.Fatal(err)
			}
			for _, text := range c.has {
				if !strings.Contains(printed.String(), text) {
					t.Errorf("output lacks %q:\n%s", text, printed.String())
				}
			}
			for _, text := range c.hasNot {
				if strings.Contains(printed.String(), text) {
					t.Errorf("output contains %q:\n%s", text, printed.String())
				}
			}
		})
	}
}
