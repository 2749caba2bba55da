package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// sampleTests are tests of a module that the real "go test" runs.
const sampleTests = `package sample

import (
	"os"
	"testing"
)

func TestPass(t *testing.T)  { t.Log("a note") }
func TestOther(t *testing.T) {}
func TestFail(t *testing.T)  { t.Error("a fault") }
func TestSkip(t *testing.T)  { t.Skip("not here") }
func TestPanic(t *testing.T) { panic("a crash") }
func TestExit(t *testing.T)  { os.Exit(1) }

func TestParent(t *testing.T) {
	t.Run("bad one", func(t *testing.T) { t.Parallel(); t.Error("a fault") })
	t.Run("good one", func(t *testing.T) { t.Parallel() })
}

func TestNoisyParent(t *testing.T) {
	t.Run("bad", func(t *testing.T) { t.Error("a fault") })
	t.Error("a fault of the parent's own")
}

func TestRace(t *testing.T) {
	n, done := 0, make(chan bool)
	go func() { n++; done <- true }()
	n++
	<-done
}
`

// otherTests are those of a second package, in which a name comes back.
const otherTests = `package other

import "testing"

func TestOther(t *testing.T) { t.Error("a fault") }
`

const uncompiledTests = `package uncompiled

var broken int = "text"
`

// sampleModule writes the module and makes it the working directory.
func sampleModule(t *testing.T) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, content := range map[string]string{
		"go.mod":                        "module sample\n\ngo 1.26\n",
		"sample/sample_test.go":         sampleTests,
		"other/other_test.go":           otherTests,
		"uncompiled/uncompiled_test.go": uncompiledTests,
	} {
		if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// judgeCase is one run of the sample module.
type judgeCase struct {
	name      string
	listed    []string
	arguments []string
	problems  []string
}

func runOnly(pattern string) []string { return []string{"-run", pattern, "./sample"} }

var judgeCases = []judgeCase{
	{
		name:      "all pass and nothing is listed",
		arguments: runOnly("TestPass|TestSkip"),
	},
	{
		name:      "a failing test that is not listed",
		arguments: runOnly("TestPass|TestFail"),
		problems:  []string{"sample/sample: TestFail failed"},
	},
	{
		name:      "a failing test that is listed",
		listed:    []string{"TestFail"},
		arguments: runOnly("TestPass|TestFail"),
	},
	{
		name:      "a second failing test beside a listed one",
		listed:    []string{"TestFail"},
		arguments: runOnly("TestFail|TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "a listed subtest",
		listed:    []string{"TestParent/bad_one"},
		arguments: runOnly("TestParent"),
	},
	{
		name:      "a listed test does not cover its subtests",
		listed:    []string{"TestParent"},
		arguments: runOnly("TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "a parent that fails by itself as well",
		listed:    []string{"TestNoisyParent/bad"},
		arguments: runOnly("TestNoisyParent"),
		problems:  []string{"sample/sample: TestNoisyParent failed"},
	},
	{
		name:      "a listed test that passes",
		listed:    []string{"TestPass"},
		arguments: runOnly("TestPass"),
		problems:  []string{`TestPass is listed, but its outcome is "pass": take it off the list`},
	},
	{
		name:      "a listed test that is skipped",
		listed:    []string{"TestSkip"},
		arguments: runOnly("TestSkip"),
		problems:  []string{`TestSkip is listed, but its outcome is "skip": take it off the list`},
	},
	{
		name:      "a listed test that does not exist",
		listed:    []string{"TestGone"},
		arguments: runOnly("TestPass"),
		problems:  []string{"TestGone is listed, but no such test ran"},
	},
	{
		name:      "a listed name that two packages have",
		listed:    []string{"TestOther"},
		arguments: []string{"-run", "TestOther", "./sample", "./other"},
		problems:  []string{"TestOther is listed, but several packages have a test of this name"},
	},
	{
		name:      "a listed test that crashes the rest",
		listed:    []string{"TestPanic"},
		arguments: runOnly("TestPanic"),
		problems:  []string{"sample/sample: the package failed apart from its tests"},
	},
	{
		name:      "a listed test that ends the process",
		listed:    []string{"TestExit"},
		arguments: runOnly("TestExit"),
		problems: []string{
			`TestExit is listed, but its outcome is "run": take it off the list`,
			"sample/sample: TestExit did not end",
			"sample/sample: the package failed apart from its tests",
		},
	},
	{
		name:      "a listed test with a data race",
		listed:    []string{"TestRace"},
		arguments: append([]string{"-race"}, runOnly("TestRace")...),
		problems:  []string{"sample/sample: TestRace has a data race, which no list passes over"},
	},
	{
		name:      "a package that does not compile",
		arguments: []string{"./uncompiled"},
		problems:  []string{"sample/uncompiled: the package failed apart from its tests"},
	},
	{
		name:      "arguments that go test refuses",
		arguments: []string{"-count=many", "./sample"},
		problems:  []string{"go test failed, but no package did"},
	},
}

func TestJudge(t *testing.T) {
	sampleModule(t)
	for _, c := range judgeCases {
		t.Run(c.name, func(t *testing.T) {
			var known []knownFailure
			for _, name := range c.listed {
				known = append(known, knownFailure{test: name})
			}
			var printed strings.Builder
			tests, err := runTests(c.arguments, &printed)
			if err != nil {
				t.Fatal(err)
			}
			if got := tests.judge(known); !slices.Equal(got, c.problems) {
				t.Errorf("got problems %q, want %q; go test printed:\n%s", got, c.problems, printed.String())
			}
		})
	}
}

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

// The command fails if and only if the list does not cover exactly what fails.
func TestRun(t *testing.T) {
	sampleModule(t)
	cases := []struct {
		name, list, pattern string
		fails               bool
	}{
		{name: "no list", pattern: "TestPass"},
		{name: "no list, and a failure", pattern: "TestFail", fails: true},
		{name: "a known failure", list: "TestFail: a fault: #1\n", pattern: "TestFail"},
		{name: "a failure too many", list: "TestFail: a fault: #1\n", pattern: "TestFail|TestParent", fails: true},
		{name: "a known failure that passes", list: "TestPass: a fault: #1\n", pattern: "TestPass", fails: true},
		{name: "a malformed list", list: "TestFail\n", pattern: "TestFail", fails: true},
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
			const shown = "passed over, see KNOWN-RED.txt: TestFail: a fault: #1\n"
			if passedOver := c.list != "" && !c.fails; strings.HasSuffix(printed.String(), shown) != passedOver {
				t.Errorf("printed %q, with what is passed over: %v", printed.String(), passedOver)
			}
		})
	}
}
