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
	listed := map[string]map[string]bool{} // tests by import path
	var problems []string
	for _, failure := range known {
		name := r.importPath(failure)
		if listed[name] == nil {
			listed[name] = map[string]bool{}
		}
		listed[name][failure.test] = true
		if problem := r.unexpectedOutcome(failure); problem != "" {
			problems = append(problems, problem)
		}
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
	outcome := r.outcome(failure)
	switch {
	case outcome == "":
		return failure.name() + " is listed, but did not run"
	case outcome == actionFail, outcome == actionPass && failure.frequency == intermittent:
		return ""
	case outcome == actionPass:
		return failure.name() + " is listed with frequency always, but passed: remove its entry"
	}
	return fmt.Sprintf("%s is listed, but its last action was %q", failure.name(), outcome)
}

// outcome returns the last action of a listed test, or "" if the test did not run.
func (r *testRun) outcome(failure knownFailure) string {
	p := r.packages[r.importPath(failure)]
	if p == nil || p.tests[failure.test] == nil {
		return ""
	}
	return p.tests[failure.test].outcome
}

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
		t := p.tests[name]
		switch {
		case t.outcome != actionFail:
		case t.hasDataRace():
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
		if p.tests[name].outcome == actionRun {
			names = append(names, name)
		}
	}
	return names
}

// failedBySubtests reports whether a failed test failed only because subtests failed. A test with
// output of its own counts as failed by itself, as events do not distinguish errors from logs.
func (p *packageResult) failedBySubtests(name string) bool {
	for _, line := range p.tests[name].output {
		if !isProgress(line) && !strings.HasPrefix(strings.TrimSpace(line), "--- FAIL: "+name+" ") {
			return false
		}
	}
	for other, t := range p.tests {
		if strings.HasPrefix(other, name+"/") && t.outcome == actionFail {
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

// hasDataRace reports whether the race detector found a data race in a test.
func (r *result) hasDataRace() bool {
	return slices.ContainsFunc(r.output, func(line string) bool { return strings.Contains(line, raceReport) })
}
