package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"
)

// maxKnownFailures keeps the list from becoming a place where failing tests are left.
const maxKnownFailures = 3

// linePattern takes a line apart. A test's name has no spaces: go test writes underscores
// for those in a subtest's name.
var linePattern = regexp.MustCompile(`^((?:Test|Example|Fuzz)\S*): (\S.*): (\S+)$`)

var (
	errMalformedLine = errors.New("want TestName: cause: issue")
	errListedTwice   = errors.New("the test is listed twice")
	errListTooLong   = fmt.Errorf("more than %d tests are listed", maxKnownFailures)
)

// knownFailure is a test that may fail for now.
type knownFailure struct {
	test  string // with the names of the tests around it, if it is a subtest
	cause string
	issue string
}

func (f knownFailure) String() string {
	return fmt.Sprintf("%s: %s: %s", f.test, f.cause, f.issue)
}

// readList reads a list from a file, which need not exist.
func readList(path string) ([]knownFailure, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the known failures: %w", err)
	}
	known, err := parseList(string(content))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return known, nil
}

// parseList reads a list's lines.
func parseList(content string) ([]knownFailure, error) {
	var known []knownFailure
	listed := map[string]bool{}
	for line := range strings.Lines(content) {
		line = strings.TrimSuffix(line, "\n")
		fields := linePattern.FindStringSubmatch(line)
		if fields == nil {
			return nil, fmt.Errorf("line %q: %w", line, errMalformedLine)
		}
		failure := knownFailure{test: fields[1], cause: fields[2], issue: fields[3]}
		if listed[failure.test] {
			return nil, fmt.Errorf("line %q: %w", line, errListedTwice)
		}
		listed[failure.test] = true
		known = append(known, failure)
	}
	if len(known) > maxKnownFailures {
		return nil, errListTooLong
	}
	return known, nil
}
