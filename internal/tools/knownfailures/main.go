// Command knownfailures runs "go test" and tolerates the failures of listed tests.
//
// Its arguments are those of "go test". The list is KNOWN-RED.txt in the working directory,
// which is the module root. Without the file, or if it has no entries, every failing test counts.
// An entry has one "key: value" a line, and empty lines divide entries; lines that begin with #
// are comments:
//
//	test: internal/folder TestName/subtest
//	frequency: always
//	command: go test -race -count=1 ./internal/folder
//	seed: 7
//	seen: what the test reported
//	issue: 12
//
// Only the key seed may be missing. The name of a test is that which "go test -v" prints, with
// underscores for spaces. An entry does not cover the subtests of its test, which need entries of
// their own. A parent that fails only because of listed subtests needs no entry.
//
// A test with "frequency: always" must fail. One with "frequency: intermittent" may pass as well. With the
// flag -count every round counts, and the rounds of listed tests in which they failed are printed.
// The command fails if a listed test is skipped, does not finish or does not exist. Whatever is
// listed, it also fails on a data race, on a build failure, and if a panic or a timeout ends a
// package.
package main

import (
	"fmt"
	"io"
	"os"
)

// listFile is the path of the list, relative to the module root.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownfailures:", err)
		os.Exit(1)
	}
}

// run runs "go test" and writes its output and the outcome of each listed test to out. It returns
// an error if the list is malformed or does not match the failures.
func run(testArguments []string, out io.Writer) error {
	known, err := readList(listFile)
	if err != nil {
		return err
	}
	tests, err := runTests(testArguments, out)
	if err != nil {
		return err
	}
	problems, err := printProblems(out, tests, known)
	if err != nil {
		return err
	}
	if problems > 0 {
		return fmt.Errorf("%d test failures or outcomes not covered by %s", problems, listFile)
	}
	for _, failure := range known {
		printOutcome(out, failure, tests.rounds(failure))
	}
	return nil
}

// printProblems prints the reasons to fail the check, those of listed tests with the lines of their
// entries, and returns their number.
func printProblems(out io.Writer, tests *testRun, known []knownFailure) (problems int, err error) {
	lines, err := readEntryLines(listFile)
	if err != nil {
		return 0, err
	}
	for _, failure := range known {
		if problem := tests.unexpectedOutcome(failure); problem != "" {
			fmt.Fprintf(out, "error: %s:%d: %s\n", listFile, lines[failure.name()], problem)
			problems++
		}
	}
	for _, problem := range tests.unlistedProblems(known) {
		fmt.Fprintln(out, "error:", problem)
		problems++
	}
	return problems, nil
}

// printOutcome prints a listed test and, if it ran more than once, how often it failed.
func printOutcome(out io.Writer, failure knownFailure, results rounds) {
	outcome := "listed test passed"
	if results.failed() {
		outcome = "known failure"
	}
	fmt.Fprintf(out, "%s, see %s: %s", outcome, listFile, failure)
	if len(results) > 1 {
		fmt.Fprintf(out, ": failed in %d of %d rounds", results.count(actionFail), len(results))
	}
	fmt.Fprintln(out)
}
