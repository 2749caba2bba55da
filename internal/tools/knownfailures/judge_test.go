package main

import (
	"slices"
	"strings"
	"testing"
)

// judgeCase is one run of the sample module.
type judgeCase struct {
	name      string
	listed    []knownFailure
	arguments []string
	problems  []string
}

// listed returns a list of one test of the package sample.
func listed(test, frequency string) []knownFailure {
	return []knownFailure{{folder: "sample", test: test, frequency: frequency}}
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
		listed:    listed("TestFail", always),
		arguments: runOnly("TestPass|TestFail"),
	},
	{
		name:      "a second failing test beside a listed one",
		listed:    listed("TestFail", always),
		arguments: runOnly("TestFail|TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "a listed subtest",
		listed:    listed("TestParent/bad_one", always),
		arguments: runOnly("TestParent"),
	},
	{
		name:      "a listed test does not cover its subtests",
		listed:    listed("TestParent", always),
		arguments: runOnly("TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "a parent that fails by itself as well",
		listed:    listed("TestNoisyParent/bad", always),
		arguments: runOnly("TestNoisyParent"),
		problems:  []string{"sample/sample: TestNoisyParent failed"},
	},
	{
		name:      "a listed subtest beside one that is not listed",
		listed:    listed("TestTwoSubtests/bad", always),
		arguments: runOnly("TestTwoSubtests"),
		problems:  []string{"sample/sample: TestTwoSubtests/worse failed"},
	},
	{
		name:      "a listed subtest of a subtest",
		listed:    listed("TestGrandparent/parent/bad", always),
		arguments: runOnly("TestGrandparent"),
	},
	{
		name:      "a listed test that passes",
		listed:    listed("TestPass", always),
		arguments: runOnly("TestPass"),
		problems:  []string{"sample TestPass is listed as failing always, but passed: take it off the list"},
	},
	{
		name:      "a listed test that is skipped",
		listed:    listed("TestSkip", always),
		arguments: runOnly("TestSkip"),
		problems:  []string{`sample TestSkip is listed, but its outcome is "skip"`},
	},
	{
		name:      "a listed test that does not exist",
		listed:    listed("TestGone", always),
		arguments: runOnly("TestPass"),
		problems:  []string{"sample TestGone is listed, but no such test ran"},
	},
	{
		name:      "a listed name that fails in another package",
		listed:    listed("TestOther", always),
		arguments: []string{"-run", "TestOther", "./sample", "./other"},
		problems: []string{
			"sample TestOther is listed as failing always, but passed: take it off the list",
			"sample/other: TestOther failed",
		},
	},
	{
		name:      "a listed name that passes in another package",
		listed:    []knownFailure{{folder: "other", test: "TestOther", frequency: always}},
		arguments: []string{"-run", "TestOther", "./sample", "./other"},
	},
	{
		name:      "a listed test that crashes the rest",
		listed:    listed("TestPanic", always),
		arguments: runOnly("TestPanic"),
		problems:  []string{"sample/sample: the package failed apart from its tests"},
	},
	{
		name:      "a listed test that ends the process",
		listed:    listed("TestExit", always),
		arguments: runOnly("TestExit"),
		problems: []string{
			`sample TestExit is listed, but its outcome is "run"`,
			"sample/sample: TestExit did not end",
			"sample/sample: the package failed apart from its tests",
		},
	},
	{
		name:      "a listed test with a data race",
		listed:    listed("TestRace", always),
		arguments: append([]string{"-race"}, runOnly("TestRace")...),
		problems:  []string{"sample/sample: TestRace has a data race, which no list passes over"},
	},
	{
		name:      "a listed test that times out",
		listed:    listed("TestHang", always),
		arguments: append([]string{"-timeout", "1s"}, runOnly("TestHang")...),
		problems: []string{
			`sample TestHang is listed, but its outcome is "run"`,
			"sample/sample: TestHang did not end",
			"sample/sample: the package failed apart from its tests",
		},
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

// intermittentCases are those whose listed tests may pass as well.
var intermittentCases = []judgeCase{
	{
		name:      "an intermittent test that fails",
		listed:    listed("TestFail", intermittent),
		arguments: runOnly("TestPass|TestFail"),
	},
	{
		name:      "an intermittent test that passes",
		listed:    listed("TestPass", intermittent),
		arguments: runOnly("TestPass|TestSkip"),
	},
	{
		name:      "an intermittent subtest that fails",
		listed:    listed("TestParent/bad_one", intermittent),
		arguments: runOnly("TestParent"),
	},
	{
		name:      "an intermittent subtest that passes",
		listed:    listed("TestParent/good_one", intermittent),
		arguments: runOnly("TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "an intermittent subtest beside one that is not listed",
		listed:    listed("TestTwoSubtests/bad", intermittent),
		arguments: runOnly("TestTwoSubtests"),
		problems:  []string{"sample/sample: TestTwoSubtests/worse failed"},
	},
	{
		name:      "a failing test that is not listed beside an intermittent one that fails",
		listed:    listed("TestFail", intermittent),
		arguments: runOnly("TestFail|TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "a failing test that is not listed beside an intermittent one that passes",
		listed:    listed("TestPass", intermittent),
		arguments: runOnly("TestPass|TestFail"),
		problems:  []string{"sample/sample: TestFail failed"},
	},
	{
		name:      "an intermittent test that is skipped",
		listed:    listed("TestSkip", intermittent),
		arguments: runOnly("TestSkip"),
		problems:  []string{`sample TestSkip is listed, but its outcome is "skip"`},
	},
	{
		name:      "an intermittent test that does not exist",
		listed:    listed("TestGone", intermittent),
		arguments: runOnly("TestPass"),
		problems:  []string{"sample TestGone is listed, but no such test ran"},
	},
	{
		name:      "an intermittent test whose package does not run",
		listed:    []knownFailure{{folder: "other", test: "TestOther", frequency: intermittent}},
		arguments: runOnly("TestPass"),
		problems:  []string{"other TestOther is listed, but no such test ran"},
	},
	{
		name:      "an intermittent test that crashes the rest",
		listed:    listed("TestPanic", intermittent),
		arguments: runOnly("TestPanic"),
		problems:  []string{"sample/sample: the package failed apart from its tests"},
	},
	{
		name:      "an intermittent test that times out",
		listed:    listed("TestHang", intermittent),
		arguments: append([]string{"-timeout", "1s"}, runOnly("TestHang")...),
		problems: []string{
			`sample TestHang is listed, but its outcome is "run"`,
			"sample/sample: TestHang did not end",
			"sample/sample: the package failed apart from its tests",
		},
	},
	{
		name:      "an intermittent test with a data race",
		listed:    listed("TestRace", intermittent),
		arguments: append([]string{"-race"}, runOnly("TestRace")...),
		problems:  []string{"sample/sample: TestRace has a data race, which no list passes over"},
	},
	{
		name:      "a package that does not compile beside an intermittent test",
		listed:    listed("TestPass", intermittent),
		arguments: []string{"-run", "TestPass", "./sample", "./uncompiled"},
		problems:  []string{"sample/uncompiled: the package failed apart from its tests"},
	},
}

func TestJudge(t *testing.T) {
	sampleModule(t)
	for _, c := range slices.Concat(judgeCases, intermittentCases) {
		t.Run(c.name, func(t *testing.T) {
			var printed strings.Builder
			tests, err := runTests(c.arguments, &printed)
			if err != nil {
				t.Fatal(err)
			}
			if got := tests.judge(c.listed); !slices.Equal(got, c.problems) {
				t.Errorf("got problems %q, want %q; go test printed:\n%s", got, c.problems, printed.String())
			}
		})
	}
}
