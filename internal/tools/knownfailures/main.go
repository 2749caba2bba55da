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
// A test with "frequency: always" must fail. One with "frequency: intermittent" may pass as well.
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
	problems := tests.evaluate(known)
	for _, problem := range problems {
		fmt.Fprintln(out, "error:", problem)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d test failures or outcomes not covered by %s", len(problems), listFile)
	}
	for _, failure := range known {
		if tests.outcome(failure) == actionPass {
			fmt.Fprintln(out, "listed test passed, see "+listFile+":", failure)
		} else {
			fmt.Fprintln(out, "known failure, see "+listFile+":", failure)
		}
	}
	return nil
}
