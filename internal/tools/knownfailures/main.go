// Command knownfailures runs "go test" and passes over the failing tests that a list names.
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
// underscores for spaces. Only the tests listed are passed over: the subtests of a listed test
// need entries of their own. A parent that fails only through listed subtests is passed over too.
//
// A test with "frequency: always" must fail. One with "frequency: intermittent" may pass as well.
// The command fails if a listed test is skipped, does not end or does not exist. It also fails on
// a data race, on a build failure, and on a package that a panic or a timeout ends, whatever the
// list says.
package main

import (
	"fmt"
	"io"
	"os"
)

// listFile is the list's path, seen from the repository's root.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownfailures:", err)
		os.Exit(1)
	}
}

// run reads the list, runs the tests, and reports whether the list covers what failed.
func run(testArguments []string, out io.Writer) error {
	known, err := readList(listFile)
	if err != nil {
		return err
	}
	tests, err := runTests(testArguments, out)
	if err != nil {
		return err
	}
	problems := tests.judge(known)
	for _, problem := range problems {
		fmt.Fprintln(out, "not passed over:", problem)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d problems with the tests or with %s", len(problems), listFile)
	}
	for _, failure := range known {
		if tests.outcome(failure) == actionPass {
			fmt.Fprintln(out, "passed, see "+listFile+":", failure)
		} else {
			fmt.Fprintln(out, "failed and passed over, see "+listFile+":", failure)
		}
	}
	return nil
}
