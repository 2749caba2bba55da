package main

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
)

// raceReport is the message of the testing package for a test in which a data race was detected.
const raceReport = "race detected during execution of test"

// evaluate returns the reasons to fail the check: failures that are not listed, and listed tests
// whose outcome is not the one listed. It returns none if only listed tests failed.
func (r *testRun) evaluate(known []knownFailure) []string {
	var problems []string
	for _, failure := range known {
		if problem := r.unexpectedOutcome(failure); problem != "" {
			problems = append(problems, problem)
		}
	}
	return append(problems, r.unlistedProblems(known)...)
}

// unlistedProblems returns the reasons to fail the check that concern no listed test.
func (r *testRun) unlistedProblems(known []knownFailure) (problems []string) {
	listed := map[string]map[string]bool{} // tests by import path
	for _, failure := range known {
		name := r.importPath(failure)
		if listed[name] == nil {
			listed[name] = map[string]bool{}
		}
		listed[name][failure.test] = true
	}
	packageFailed := false
	for _, name := range slices.Sorted(maps.Keys(r.packages)) {
		p := r.packages[name]
		if p.outcome == actionPass || p.outcome == actionSkip {
			continue
		}
		packageFailed = true
		for _, problem := range p.unlistedFailures(listed[name]) {
			problems = append(problems, name+": "+problem)
		}
	}
	if r.failed && !packageFailed {
		problems = append(problems, "go test exited with an error, but no package failed")
	}
	return problems
}

// unexpectedOutcome describes how the outcome of a listed test differs from the one listed. It
// returns "" for an expected outcome. No entry expects a test to be skipped or unfinished.
func (r *testRun) unexpectedOutcome(failure knownFailure) string {
	results := r.rounds(failure)
	if len(results) == 0 {
		return failure.name() + " is listed, but did not run"
	}
	for _, result := range results {
		if result.outcome != actionPass && result.outcome != actionFail {
			return fmt.Sprintf("%s is listed, but its last action was %q", failure.name(), result.outcome)
		}
	}
	passed := results.count(actionPass)
	switch {
	case passed == 0 || failure.frequency == intermittent:
		return ""
	case passed == len(results):
		return failure.name() + " is listed with frequency always, but passed: remove its entry"
	}
	return fmt.Sprintf("%s is listed with frequency always, but passed in %d of %d rounds: change its entry",
		failure.name(), passed, len(results))
}

// rounds returns the results of a listed test, none if it did not run.
func (r *testRun) rounds(failure knownFailure) rounds {
	if p := r.packages[r.importPath(failure)]; p != nil {
		return p.tests[failure.test]
	}
	return nil
}

// count returns the number of rounds with an outcome.
func (r rounds) count(outcome string) (n int) {
	for _, result := range r {
		if result.outcome == outcome {
			n++
		}
	}
	return n
}

// failed reports whether the test failed in any round.
func (r rounds) failed() bool { return r.count(actionFail) > 0 }

// importPath returns the import path of the package of a listed test.
func (r *testRun) importPath(failure knownFailure) string {
	return path.Join(r.module, failure.folder)
}

// unlistedFailures returns the reasons other than listed tests for which a package failed.
func (p *packageResult) unlistedFailures(listed map[string]bool) []string {
	var problems []string
	for _, name := range p.unfinished() {
		problems = append(problems, name+" did not finish")
	}
	for _, name := range slices.Sorted(maps.Keys(p.tests)) {
		results := p.tests[name]
		switch {
		case !results.failed():
		case results.haveDataRace():
			problems = append(problems, name+" has a data race, which the list cannot exempt")
		case !listed[name] && !p.failedBySubtests(name):
			problems = append(problems, name+" failed")
		}
	}
	if !p.completed() {
		problems = append(problems, "the package failed outside its tests")
	}
	return problems
}

// unfinished returns the tests that started but did not finish because of a panic, an exit or a timeout.
func (p *packageResult) unfinished() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(p.tests)) {
		if p.tests[name].count(actionRun) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// failedBySubtests reports whether a failed test failed in each such round only because subtests failed. A
// test with output of its own counts as failed by itself, as events do not distinguish errors from logs.
func (p *packageResult) failedBySubtests(name string) bool {
	return !slices.ContainsFunc(p.tests[name], func(failed *result) bool {
		return failed.outcome == actionFail && (failed.hasOwnOutput(name) || !p.subtestFailed(name, failed.round))
	})
}

// hasOwnOutput reports whether a test has printed anything but its result.
func (r *result) hasOwnOutput(name string) bool {
	return slices.ContainsFunc(r.output, func(line string) bool {
		return !isProgress(line) && !strings.HasPrefix(strings.TrimSpace(line), "--- FAIL: "+name+" ")
	})
}

// subtestFailed reports whether a subtest of a test failed in a round.
func (p *packageResult) subtestFailed(name string, round int) bool {
	for other, results := range p.tests {
		failed := func(r *result) bool { return r.round == round && r.outcome == actionFail }
		if strings.HasPrefix(other, name+"/") && slices.ContainsFunc(results, failed) {
			return true
		}
	}
	return false
}

// completed reports whether all tests of a failed package ran and nothing else failed. Only then
// does the test binary print FAIL, and nothing else outside the tests.
func (p *packageResult) completed() bool {
	printedFail := false
	for _, line := range p.output {
		switch {
		case line == "FAIL\n":
			printedFail = true
		case !strings.HasPrefix(line, "FAIL\t"):
			return false
		}
	}
	return printedFail
}

// haveDataRace reports whether the race detector found a data race in any round of a test.
func (r rounds) haveDataRace() bool {
	return slices.ContainsFunc(r, func(result *result) bool {
		return slices.ContainsFunc(result.output, func(line string) bool { return strings.Contains(line, raceReport) })
	})
}
