package main

import (
	"strings"
	"testing"
)

// What go test prints without -json is still printed, its closing lines above all.
func TestPrintedOutput(t *testing.T) {
	sampleModule(t)
	cases := []struct {
		name      string
		arguments []string
		has       []string
		hasNot    []string
	}{
		{
			name:      "a package that passes",
			arguments: runOnly("TestPass"),
			has:       []string{"ok  \tsample/sample\t"},
			hasNot:    []string{"a note", "=== RUN", "PASS"},
		},
		{
			name:      "a package that fails",
			arguments: runOnly("TestPass|TestParent"),
			has:       []string{"--- FAIL: TestParent/bad_one", "a fault", "\nFAIL\nFAIL\tsample/sample\t"},
			hasNot:    []string{"a note", "=== ", "good_one"},
		},
		{
			name:      "a package that ends early",
			arguments: runOnly("TestPanic"),
			has:       []string{"panic: a crash", "FAIL\tsample/sample\t"},
		},
		{
			name:      "a package that does not compile",
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
					t.Errorf("no %q in:\n%s", text, printed.String())
				}
			}
			for _, text := range c.hasNot {
				if strings.Contains(printed.String(), text) {
					t.Errorf("%q in:\n%s", text, printed.String())
				}
			}
		})
	}
}
