package main

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
)

// raceReport is what the race detector adds to a test's output.
const raceReport = "race detected during execution of test"

// judge returns the reasons to fail the check: failures that are not listed, and listed tests
// whose outcome is not the one listed. It returns none if only listed tests failed.
func (r *testRun) judge(known []knownFailure) []string {
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
		for _, problem := range p.unlisted(listed[name]) {
			problems = append(problems, name+": "+problem)
		}
	}
	if r.failed && !packageFailed {
		problems = append(problems, "go test failed, but no package did")
	}
	return problems
}

// unexpectedOutcome says how the outcome of a listed test differs from the one listed. It
// returns "" for an expected outcome. A test that was skipped or did not end is never expected.
func (r *testRun) unexpectedOutcome(failure knownFailure) string {
	outcome := r.outcome(failure)
	switch {
	case outcome == "":
		return failure.name() + " is listed, but no such test ran"
	case outcome == actionFail, outcome == actionPass && failure.frequency == intermittent:
		return ""
	case outcome == actionPass:
		return failure.name() + " is listed as failing always, but passed: take it off the list"
	}
	return fmt.Sprintf("%s is listed, but its outcome is %q", failure.name(), outcome)
}

// outcome returns the last action of a listed test, "" if no such test ran.
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

// unlisted finds all that made a package fail besides the listed tests.
func (p *packageResult) unlisted(listed map[string]bool) []string {
	var problems []string
	for _, name := range p.unfinished() {
		problems = append(problems, name+" did not end")
	}
	for _, name := range slices.Sorted(maps.Keys(p.tests)) {
		t := p.tests[name]
		switch {
		case t.outcome != actionFail:
		case t.raced():
			problems = append(problems, name+" has a data race, which no list passes over")
		case !listed[name] && !p.failedBySubtests(name):
			problems = append(problems, name+" failed")
		}
	}
	if !p.ranToEnd() {
		problems = append(problems, "the package failed apart from its tests")
	}
	return problems
}

// unfinished is the tests that started and never ended, as a crash or a timeout leaves them.
func (p *packageResult) unfinished() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(p.tests)) {
		if p.tests[name].outcome == actionRun {
			names = append(names, name)
		}
	}
	return names
}

// failedBySubtests reports whether a failed test failed through its subtests alone, which are
// judged for themselves. A test that prints anything of its own may have failed by that:
// the events do not tell an error from a note.
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

// ranToEnd reports whether the tests of a failed package all ran and nothing but tests failed.
// Only then does the test program itself print FAIL, and nothing more than that.
func (p *packageResult) ranToEnd() bool {
	finished := false
	for _, line := range p.output {
		switch {
		case line == "FAIL\n":
			finished = true
		case !strings.HasPrefix(line, "FAIL\t"):
			return false
		}
	}
	return finished
}

// raced reports whether the race detector found a data race in a test.
func (r *result) raced() bool {
	return slices.ContainsFunc(r.output, func(line string) bool { return strings.Contains(line, raceReport) })
}
