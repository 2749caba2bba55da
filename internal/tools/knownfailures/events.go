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

// event is a line of "go test -json"; "go doc test2json" describes it.
type event struct {
	Action  string
	Package string // empty for the output of a build
	Test    string // empty for the package itself
	Output  string
}

// Actions of an event. Others (start, pause, cont, bench, attr, build-fail) change nothing here.
const (
	actionRun         = "run"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// testRun is what one "go test" reported.
type testRun struct {
	module   string                    // path of the main module
	packages map[string]*packageResult // by import path
	failed   bool                      // the command itself
}

// packageResult is what was reported about one package.
type packageResult struct {
	result
	tests map[string]*result
}

// result is what was reported about one test, or about a package apart from its tests.
type result struct {
	outcome string   // the last action: pass, fail or skip; run while it has not ended
	output  []string // lines
}

// runTests runs "go test" and prints to out what it would print without the flag -json.
func runTests(arguments []string, out io.Writer) (*testRun, error) {
	module, err := exec.Command("go", "list", "-m").Output()
	if err != nil {
		return nil, fmt.Errorf("look up path of main module: %w", err)
	}
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("running go test: %w", err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("running go test: %w", err)
	}
	tests := &testRun{module: strings.TrimSpace(string(module)), packages: map[string]*packageResult{}}
	if err := tests.readEvents(events, out); err != nil {
		return nil, errors.Join(err, command.Process.Kill(), command.Wait())
	}
	tests.failed = command.Wait() != nil
	return tests, nil
}

// readEvents takes in all events and prints their output.
func (r *testRun) readEvents(events io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(events)
	for {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading the events of go test: %w", err)
		}
		if e.Action == actionBuildOutput {
			fmt.Fprint(out, e.Output)
			continue
		}
		if e.Package != "" {
			r.take(e, out)
		}
	}
}

// take takes in one event of a package, and prints what is then complete.
func (r *testRun) take(e event, out io.Writer) {
	p := r.packages[e.Package]
	if p == nil {
		p = &packageResult{tests: map[string]*result{}}
		r.packages[e.Package] = p
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

// resultOf is the result of a test, or of the package if the name is empty.
func (p *packageResult) resultOf(test string) *result {
	if test == "" {
		return &p.result
	}
	if p.tests[test] == nil {
		p.tests[test] = &result{}
	}
	return p.tests[test]
}

// print prints the closing lines of a package. Of one that failed, that is all its own
// output, and that of the tests that never ended.
func (p *packageResult) print(out io.Writer) {
	if p.outcome == actionFail {
		for _, name := range p.unfinished() {
			p.tests[name].print(out)
		}
		p.result.print(out)
		return
	}
	if len(p.output) > 0 {
		fmt.Fprint(out, p.output[len(p.output)-1])
	}
}

// print prints a result's output without the lines that only follow the test's progress.
func (r *result) print(out io.Writer) {
	for _, line := range r.output {
		if !isProgress(line) {
			fmt.Fprint(out, line)
		}
	}
}

// isProgress reports whether a line says only that a test starts, waits or goes on.
func isProgress(line string) bool {
	for _, prefix := range []string{"=== RUN ", "=== PAUSE ", "=== CONT ", "=== NAME "} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}
