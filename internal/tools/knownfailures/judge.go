package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// raceReport is what the race detector adds to a test's output.
const raceReport = "race detected during execution of test"

// judge finds all that stands in the way of passing over the known failures: failures that
// are not known, and known failures that did not come about. It is empty for a run that is
// good enough.
func (r *testRun) judge(known []knownFailure) []string {
	listed := map[string]bool{}
	var problems []string
	for _, failure := range known {
		listed[failure.test] = true
		if problem := r.whyNotFailing(failure.test); problem != "" {
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
		for _, problem := range p.unlisted(listed) {
			problems = append(problems, name+": "+problem)
		}
	}
	if r.failed && !packageFailed {
		problems = append(problems, "go test failed, but no package did")
	}
	return problems
}

// whyNotFailing says what a listed test did instead of failing, "" if it failed.
func (r *testRun) whyNotFailing(test string) string {
	var outcomes []string
	for _, p := range r.packages {
		if t := p.tests[test]; t != nil {
			outcomes = append(outcomes, t.outcome)
		}
	}
	switch {
	case len(outcomes) == 0:
		return test + " is listed, but no such test ran"
	case len(outcomes) > 1:
		return test + " is listed, but several packages have a test of this name"
	case outcomes[0] != actionFail:
		return fmt.Sprintf("%s is listed, but its outcome is %q: take it off the list", test, outcomes[0])
	}
	return ""
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
