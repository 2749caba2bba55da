package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// event is one line of the output of "go test -json". "go doc test2json" documents the format.
type event struct {
	Action  string
	Package string // empty for build output
	Test    string // empty for events of the package itself
	Output  string
}

// Actions that are processed. Others (start, pause, cont, bench, attr, build-fail) are ignored.
const (
	actionRun         = "run"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// testRun holds the results of one run of "go test".
type testRun struct {
	module   string                    // path of the main module
	packages map[string]*packageResult // by import path
	failed   bool                      // go test exited with an error
}

// packageResult holds the results of a package and its tests.
type packageResult struct {
	result
	tests map[string]rounds
}

// rounds holds the results of one test. With the flag -count a test runs more than once.
type rounds []*result

// result is the outcome and output of one run of a test, or of a package without those of its tests.
type result struct {
	outcome string   // last action: pass, fail or skip; run if unfinished; "" if the package did not finish
	output  []string // lines
	round   int      // of the top-level test, from 1
}

// runTests runs "go test" with the arguments and writes to out what it would print without -json.
// Failing tests are not an error: see testRun.failed.
func runTests(arguments []string, out io.Writer) (*testRun, error) {
	module, err := exec.Command("go", "list", "-m").Output()
	if err != nil {
		return nil, fmt.Errorf("look up path of main module: %w", err)
	}
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("open output of go test: %w", err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start go test: %w", err)
	}
	tests := &testRun{module: strings.TrimSpace(string(module)), packages: map[string]*packageResult{}}
	if err := tests.readEvents(events, out); err != nil {
		return nil, errors.Join(err, command.Process.Kill(), command.Wait())
	}
	tests.failed = command.Wait() != nil
	return tests, nil
}

// readEvents decodes events until the end of the stream and writes their output to out.
func (r *testRun) readEvents(events io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(events)
	for {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("decode event of go test: %w", err)
		}
		if e.Action == actionBuildOutput {
			fmt.Fprint(out, e.Output)
			continue
		}
		if e.Package != "" {
			r.record(e, out)
		}
	}
}

// record updates the results with one event. It writes the output of a failing test when the
// test ends, and that of a package when the package ends.
func (r *testRun) record(e event, out io.Writer) {
	p := r.packages[e.Package]
	if p == nil {
		p = &packageResult{tests: map[string]rounds{}}
		r.packages[e.Package] = p
	}
	if e.Action == actionRun {
		p.startRound(e.Test)
	}
	current := p.resultOf(e.Test)
	switch e.Action {
	case actionOutput:
		current.output = append(current.output, e.Output)
	case actionRun:
		current.outcome = actionRun
	case actionPass, actionFail, actionSkip:
		current.outcome = e.Action
		if e.Test == "" {
			p.print(out)
		} else if e.Action == actionFail {
			current.print(out)
		}
	}
}

// startRound adds a result for a run of a test. A subtest has the round of its top-level test.
func (p *packageResult) startRound(test string) {
	topLevel, _, isSubtest := strings.Cut(test, "/")
	round := len(p.tests[topLevel])
	if !isSubtest {
		round++
	}
	p.tests[test] = append(p.tests[test], &result{round: round})
}

// resultOf returns the result of the current run of a test, or that of the package itself if the name is
// empty.
func (p *packageResult) resultOf(test string) *result {
	if test == "" {
		return &p.result
	}
	if len(p.tests[test]) == 0 {
		p.startRound(test)
	}
	return p.tests[test][len(p.tests[test])-1]
}

// print writes the summary line of a package that passed. For one that failed, it writes the
// output of its unfinished tests and all output of the package itself.
func (p *packageResult) print(out io.Writer) {
	if p.outcome == actionFail {
		for _, name := range p.unfinished() {
			p.resultOf(name).print(out)
		}
		p.result.print(out)
		return
	}
	if len(p.output) > 0 {
		fmt.Fprint(out, p.output[len(p.output)-1])
	}
}

// print writes the output of a result except progress lines.
func (r *result) print(out io.Writer) {
	for _, line := range r.output {
		if !isProgress(line) {
			fmt.Fprint(out, line)
		}
	}
}

// isProgress reports whether a line only marks that a test starts, pauses or continues.
func isProgress(line string) bool {
	for _, prefix := range []string{"=== RUN ", "=== PAUSE ", "=== CONT ", "=== NAME "} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}
