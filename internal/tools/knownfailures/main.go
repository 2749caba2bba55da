// Command knownfailures runs "go test" and passes over the failing tests that a list names.
//
// Its arguments are those of "go test". The list is KNOWN-RED.txt in the working directory;
// without it, or if it is empty, every failing test counts. Each line names one test, and
// says why it fails and where that is followed up:
//
//	TestName/subtest: cause: issue
//
// Just the tests listed are passed over: the subtests of a listed test need lines of their
// own. The list holds three lines at most, and the command fails if a listed test passes, is
// skipped or does not exist, so that no line outlives its fault.
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
		fmt.Fprintln(out, "passed over, see "+listFile+":", failure)
	}
	return nil
}
