package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// Keys of an entry. All but keySeed are required.
const (
	keyTest      = "test"
	keyFrequency = "frequency"
	keyCommand   = "command"
	keySeed      = "seed"
	keySeen      = "seen"
	keyIssue     = "issue"
)

// Values of keyFrequency.
const (
	always       = "always"
	intermittent = "intermittent"
)

var requiredKeys = []string{keyTest, keyFrequency, keyCommand, keySeen, keyIssue}

var (
	linePattern = regexp.MustCompile(`^([a-z]+): +(\S.*)$`)
	// testPattern matches a package folder and a test name. Neither contains spaces: go test
	// prints underscores for those in the name of a subtest.
	testPattern  = regexp.MustCompile(`^(\S+) ((?:Test|Example|Fuzz)\S*)$`)
	issuePattern = regexp.MustCompile(`^\S+$`)
)

var (
	errMalformedLine    = errors.New(`want "key: value"`)
	errUnknownKey       = errors.New("unknown key")
	errRepeatedKey      = errors.New("the entry repeats the key")
	errMissingKey       = errors.New("the entry lacks the key")
	errMalformedTest    = errors.New(`want "package-folder TestName/subtest" without other spaces`)
	errUnknownFrequency = errors.New("want " + always + " or " + intermittent)
	errMalformedIssue   = errors.New("want an issue without spaces")
	errListedTwice      = errors.New("the test is listed twice")
)

// knownFailure is a validated entry of the list: a test that is allowed to fail.
type knownFailure struct {
	folder    string // of the package, relative to the module root
	test      string // name with those of its parents, as "go test -v" prints it
	frequency string // always or intermittent
	command   string
	seed      string // empty if the entry has none
	seen      string
	issue     string
}

func (f knownFailure) name() string { return f.folder + " " + f.test }

func (f knownFailure) String() string {
	return fmt.Sprintf("%s (%s): %s: issue %s", f.name(), f.frequency, f.seen, f.issue)
}

// readList reads a list from a file. It returns no entries if the file does not exist.
func readList(file string) ([]knownFailure, error) {
	return readWith(file, parseList)
}

// readEntryLines returns the line of each entry's test in a list that readList accepts, by the name of the
// known failure.
func readEntryLines(file string) (map[string]int, error) {
	return readWith(file, parseEntryLines)
}

// readWith reads and parses a file. It returns the zero value if the file does not exist.
func readWith[T any](file string, parse func(content string) (T, error)) (parsed T, err error) {
	content, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return parsed, nil
	}
	if err != nil {
		return parsed, fmt.Errorf("read known failures: %w", err)
	}
	if parsed, err = parse(string(content)); err != nil {
		return parsed, fmt.Errorf("parse known failures: %s:%w", file, err)
	}
	return parsed, nil
}

// parseEntryLines returns the line of each entry's test by the name of the known failure.
func parseEntryLines(content string) (map[string]int, error) {
	entries, err := splitEntries(content)
	if err != nil {
		return nil, err
	}
	lines := map[string]int{}
	for _, entry := range entries {
		lines[entry.values[keyTest]] = entry.lines[keyTest]
	}
	return lines, nil
}

// parseList parses the entries of a list. Its errors begin with the number of the line.
func parseList(content string) ([]knownFailure, error) {
	entries, err := splitEntries(content)
	if err != nil {
		return nil, err
	}
	var known []knownFailure
	listed := map[string]bool{}
	for _, e := range entries {
		failure, err := e.parse()
		if err != nil {
			return nil, err
		}
		if listed[failure.name()] {
			return nil, e.errorAt(keyTest, errListedTwice)
		}
		listed[failure.name()] = true
		known = append(known, failure)
	}
	return known, nil
}

// entry holds the values of one entry by key before they are validated.
type entry struct {
	line   int // number of its first line
	values map[string]string
	lines  map[string]int // line numbers
}

// splitEntries splits a list at its empty lines and skips comments.
func splitEntries(content string) ([]entry, error) {
	var entries []entry
	inEntry := false
	number := 0
	for line := range strings.Lines(content) {
		number++
		line = strings.TrimRight(line, " \t\r\n")
		if line == "" {
			inEntry = false
			continue
		}
		if strings.HasPrefix(line, "#") {
			continue
		}
		if !inEntry {
			inEntry = true
			entries = append(entries, entry{line: number, values: map[string]string{}, lines: map[string]int{}})
		}
		if err := entries[len(entries)-1].add(line, number); err != nil {
			return nil, fmt.Errorf("%d: %q: %w", number, line, err)
		}
	}
	return entries, nil
}

// add parses a line and stores its key and value.
func (e entry) add(line string, number int) error {
	fields := linePattern.FindStringSubmatch(line)
	if fields == nil {
		return errMalformedLine
	}
	key := fields[1]
	if key != keySeed && !slices.Contains(requiredKeys, key) {
		return errUnknownKey
	}
	if _, repeated := e.values[key]; repeated {
		return errRepeatedKey
	}
	e.values[key] = fields[2]
	e.lines[key] = number
	return nil
}

// parse validates the values of an entry and returns it as a knownFailure.
func (e entry) parse() (knownFailure, error) {
	for _, key := range requiredKeys {
		if e.values[key] == "" {
			return knownFailure{}, fmt.Errorf("%d: %w %q", e.line, errMissingKey, key)
		}
	}
	test := testPattern.FindStringSubmatch(e.values[keyTest])
	if test == nil || !filepath.IsLocal(test[1]) || path.Clean(test[1]) != test[1] {
		return knownFailure{}, e.errorAt(keyTest, errMalformedTest)
	}
	frequency := e.values[keyFrequency]
	if frequency != always && frequency != intermittent {
		return knownFailure{}, e.errorAt(keyFrequency, errUnknownFrequency)
	}
	if !issuePattern.MatchString(e.values[keyIssue]) {
		return knownFailure{}, e.errorAt(keyIssue, errMalformedIssue)
	}
	return knownFailure{
		folder: test[1], test: test[2], frequency: frequency, command: e.values[keyCommand],
		seed: e.values[keySeed], seen: e.values[keySeen], issue: e.values[keyIssue],
	}, nil
}

// errorAt wraps an error with the line, name and value of a key.
func (e entry) errorAt(key string, err error) error {
	return fmt.Errorf("%d: %s: %q: %w", e.lines[key], key, e.values[key], err)
}
