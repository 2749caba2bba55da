package main

import (
	"slices"
	"strings"
	"testing"
)

// evaluateCase is a run of "go test" in the sample module.
type evaluateCase struct {
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

// alwaysCases have no listed tests, or those with frequency always.
var alwaysCases = []evaluateCase{
	{
		name:      "accepts a run without failures",
		arguments: runOnly("TestPass|TestSkip"),
	},
	{
		name:      "rejects an unlisted failure",
		arguments: runOnly("TestPass|TestFail"),
		problems:  []string{"sample/sample: TestFail failed"},
	},
	{
		name:      "accepts a listed failure",
		listed:    listed("TestFail", always),
		arguments: runOnly("TestPass|TestFail"),
	},
	{
		name:      "rejects an unlisted failure beside a listed one",
		listed:    listed("TestFail", always),
		arguments: runOnly("TestFail|TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "accepts a listed failure of a subtest and its parent",
		listed:    listed("TestParent/bad_one", always),
		arguments: runOnly("TestParent"),
	},
	{
		name:      "rejects a failing subtest of a listed test",
		listed:    listed("TestParent", always),
		arguments: runOnly("TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "rejects a parent that also fails by itself",
		listed:    listed("TestNoisyParent/bad", always),
		arguments: runOnly("TestNoisyParent"),
		problems:  []string{"sample/sample: TestNoisyParent failed"},
	},
	{
		name:      "rejects an unlisted subtest beside a listed one",
		listed:    listed("TestTwoSubtests/bad", always),
		arguments: runOnly("TestTwoSubtests"),
		problems:  []string{"sample/sample: TestTwoSubtests/worse failed"},
	},
	{
		name:      "accepts a listed failure of a nested subtest and its parents",
		listed:    listed("TestGrandparent/parent/bad", always),
		arguments: runOnly("TestGrandparent"),
	},
	{
		name:      "rejects a listed test that passes",
		listed:    listed("TestPass", always),
		arguments: runOnly("TestPass"),
		problems:  []string{"sample TestPass is listed with frequency always, but passed: remove its entry"},
	},
	{
		name:      "rejects a listed test that is skipped",
		listed:    listed("TestSkip", always),
		arguments: runOnly("TestSkip"),
		problems:  []string{`sample TestSkip is listed, but its last action was "skip"`},
	},
	{
		name:      "rejects a listed test that does not exist",
		listed:    listed("TestGone", always),
		arguments: runOnly("TestPass"),
		problems:  []string{"sample TestGone is listed, but did not run"},
	},
	{
		name:      "rejects a listed name that fails in another package",
		listed:    listed("TestOther", always),
		arguments: []string{"-run", "TestOther", "./sample", "./other"},
		problems: []string{
			"sample TestOther is listed with frequency always, but passed: remove its entry",
			"sample/other: TestOther failed",
		},
	},
	{
		name:      "accepts a listed name that passes in another package",
		listed:    []knownFailure{{folder: "other", test: "TestOther", frequency: always}},
		arguments: []string{"-run", "TestOther", "./sample", "./other"},
	},
	{
		name:      "rejects a listed test that panics",
		listed:    listed("TestPanic", always),
		arguments: runOnly("TestPanic"),
		problems:  []string{"sample/sample: the package failed outside its tests"},
	},
	{
		name:      "rejects a listed test that exits",
		listed:    listed("TestExit", always),
		arguments: runOnly("TestExit"),
		problems: []string{
			`sample TestExit is listed, but its last action was "run"`,
			"sample/sample: TestExit did not finish",
			"sample/sample: the package failed outside its tests",
		},
	},
	{
		name:      "rejects a listed test with a data race",
		listed:    listed("TestRace", always),
		arguments: append([]string{"-race"}, runOnly("TestRace")...),
		problems:  []string{"sample/sample: TestRace has a data race, which the list cannot exempt"},
	},
	{
		name:      "rejects a listed test that times out",
		listed:    listed("TestHang", always),
		arguments: append([]string{"-timeout", "1s"}, runOnly("TestHang")...),
		problems: []string{
			`sample TestHang is listed, but its last action was "run"`,
			"sample/sample: TestHang did not finish",
			"sample/sample: the package failed outside its tests",
		},
	},
	{
		name:      "rejects a package that does not compile",
		arguments: []string{"./uncompiled"},
		problems:  []string{"sample/uncompiled: the package failed outside its tests"},
	},
	{
		name:      "rejects an error of go test itself",
		arguments: []string{"-count=many", "./sample"},
		problems:  []string{"go test exited with an error, but no package failed"},
	},
}

// intermittentCases have listed tests with frequency intermittent.
var intermittentCases = []evaluateCase{
	{
		name:      "accepts an intermittent test that fails",
		listed:    listed("TestFail", intermittent),
		arguments: runOnly("TestPass|TestFail"),
	},
	{
		name:      "accepts an intermittent test that passes",
		listed:    listed("TestPass", intermittent),
		arguments: runOnly("TestPass|TestSkip"),
	},
	{
		name:      "accepts an intermittent subtest that fails",
		listed:    listed("TestParent/bad_one", intermittent),
		arguments: runOnly("TestParent"),
	},
	{
		name:      "rejects an unlisted subtest beside an intermittent one that passes",
		listed:    listed("TestParent/good_one", intermittent),
		arguments: runOnly("TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "rejects an unlisted subtest beside an intermittent one that fails",
		listed:    listed("TestTwoSubtests/bad", intermittent),
		arguments: runOnly("TestTwoSubtests"),
		problems:  []string{"sample/sample: TestTwoSubtests/worse failed"},
	},
	{
		name:      "rejects an unlisted failure beside an intermittent test that fails",
		listed:    listed("TestFail", intermittent),
		arguments: runOnly("TestFail|TestParent"),
		problems:  []string{"sample/sample: TestParent/bad_one failed"},
	},
	{
		name:      "rejects an unlisted failure beside an intermittent test that passes",
		listed:    listed("TestPass", intermittent),
		arguments: runOnly("TestPass|TestFail"),
		problems:  []string{"sample/sample: TestFail failed"},
	},
	{
		name:      "rejects an intermittent test that is skipped",
		listed:    listed("TestSkip", intermittent),
		arguments: runOnly("TestSkip"),
		problems:  []string{`sample TestSkip is listed, but its last action was "skip"`},
	},
	{
		name:      "rejects an intermittent test that does not exist",
		listed:    listed("TestGone", intermittent),
		arguments: runOnly("TestPass"),
		problems:  []string{"sample TestGone is listed, but did not run"},
	},
	{
		name:      "rejects an intermittent test whose package does not run",
		listed:    []knownFailure{{folder: "other", test: "TestOther", frequency: intermittent}},
		arguments: runOnly("TestPass"),
		problems:  []string{"other TestOther is listed, but did not run"},
	},
	{
		name:      "rejects an intermittent test that panics",
		listed:    listed("TestPanic", intermittent),
		arguments: runOnly("TestPanic"),
		problems:  []string{"sample/sample: the package failed outside its tests"},
	},
	{
		name:      "rejects an intermittent test that times out",
		listed:    listed("TestHang", intermittent),
		arguments: append([]string{"-timeout", "1s"}, runOnly("TestHang")...),
		problems: []string{
			`sample TestHang is listed, but its last action was "run"`,
			"sample/sample: TestHang did not finish",
			"sample/sample: the package failed outside its tests",
		},
	},
	{
		name:      "rejects an intermittent test with a data race",
		listed:    listed("TestRace", intermittent),
		arguments: append([]string{"-race"}, runOnly("TestRace")...),
		problems:  []string{"sample/sample: TestRace has a data race, which the list cannot exempt"},
	},
	{
		name:      "rejects a package that does not compile beside an intermittent test",
		listed:    listed("TestPass", intermittent),
		arguments: []string{"-run", "TestPass", "./sample", "./uncompiled"},
		problems:  []string{"sample/uncompiled: the package failed outside its tests"},
	},
}

// A run is accepted only if its failures are those that the list allows.
func TestEvaluate(t *testing.T) {
	writeSampleModule(t)
	for _, c := range slices.Concat(alwaysCases, intermittentCases) {
		t.Run(c.name, c.run)
	}
}

// run runs "go test" and checks the problems that the list leaves.
func (c evaluateCase) run(t *testing.T) {
	var printed strings.Builder
	tests, err := runTests(c.arguments, &printed)
	if err != nil {
		t.Fatal(err)
	}
	if got := tests.evaluate(c.listed); !slices.Equal(got, c.problems) {
		t.Errorf("got problems %q, want %q; go test printed:\n%s", got, c.problems, printed.String())
	}
}
