package main

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// listEntry returns the lines of an entry with fixed values of all keys but test and frequency.
func listEntry(test, frequency string) string {
	return "test: " + test + "\nfrequency: " + frequency + "\ncommand: go test ./a\nseen: a fault\nissue: #1\n"
}

// parsedEntry returns the entry that parseList returns for listEntry.
func parsedEntry(folder, test, frequency string) knownFailure {
	return knownFailure{
		folder: folder, test: test, frequency: frequency, command: "go test ./a", seen: "a fault", issue: "#1",
	}
}

// All valid forms of an entry are accepted, and every entry is returned.
func TestParseList(t *testing.T) {
	upgrade := knownFailure{
		folder: "internal/a", test: "TestUpgrade/production/one_after_the_other", frequency: intermittent,
		command: "SEED=7 go test ./internal/a", seed: "7", seen: "a wait: of 90 s runs out", issue: "#12",
	}
	renewal := knownFailure{
		folder: ".", test: "TestRenewal", frequency: always,
		command: "go test .", seen: "the lease is renewed late", issue: "https://tracker.example/13",
	}
	var many string
	var parsedMany []knownFailure
	for _, test := range []string{"TestA", "TestB", "TestC", "TestD", "TestE"} {
		many += listEntry("a "+test, always) + "\n"
		parsedMany = append(parsedMany, parsedEntry("a", test, always))
	}
	cases := []struct {
		name    string
		content string
		want    []knownFailure
	}{
		{name: "returns nothing for an empty list"},
		{name: "returns nothing for comments and empty lines", content: "# none\n\n\n# at present\n"},
		{
			name: "accepts a subtest, a seed, a colon in a value, any order of keys and no final newline",
			content: "# one\ntest: internal/a TestUpgrade/production/one_after_the_other\nseed: 7\n" +
				"frequency: intermittent\n# within the entry\ncommand: SEED=7 go test ./internal/a\n" +
				"seen: a wait: of 90 s runs out\nissue: #12\n\n\n" +
				"issue: https://tracker.example/13\nseen: the lease is renewed late\ncommand: go test .\n" +
				"frequency: always\ntest: . TestRenewal",
			want: []knownFailure{upgrade, renewal},
		},
		{name: "accepts any number of entries", content: many, want: parsedMany},
		{
			name:    "accepts the same test name in two packages",
			content: listEntry("a TestA", always) + "\n" + listEntry("b TestA", always),
			want:    []knownFailure{parsedEntry("a", "TestA", always), parsedEntry("b", "TestA", always)},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, err := parseList(c.content); !slices.Equal(got, c.want) || err != nil {
				t.Errorf("got %v and error %v, want %v", got, err, c.want)
			}
		})
	}
}

// The error of a malformed list names the line.
func TestParseMalformedList(t *testing.T) {
	valid := listEntry("a TestA", always)
	repeated := valid + "\n" + listEntry("a TestA", intermittent)
	without := func(line string) string { return strings.Replace(valid, line+"\n", "", 1) }
	with := func(old, replacement string) string { return strings.Replace(valid, old, replacement, 1) }
	cases := []struct {
		name    string
		content string
		line    string
		err     error
	}{
		{name: "lacks a test", content: "\n" + without("test: a TestA"), line: "2", err: errMissingKey},
		{name: "lacks a frequency", content: without("frequency: always"), line: "1", err: errMissingKey},
		{name: "lacks a command", content: without("command: go test ./a"), line: "1", err: errMissingKey},
		{name: "lacks what was seen", content: without("seen: a fault"), line: "1", err: errMissingKey},
		{name: "lacks an issue", content: without("issue: #1"), line: "1", err: errMissingKey},
		{name: "entry divided by an empty line", content: with("command", "\ncommand"), line: "1", err: errMissingKey},
		{name: "empty issue", content: with("issue: #1", "issue: "), line: "5", err: errMalformedLine},
		{name: "empty value of seen", content: with("seen: a fault", "seen:"), line: "4", err: errMalformedLine},
		{name: "line without a key", content: with("seen: a fault", "a fault"), line: "4", err: errMalformedLine},
		{name: "indented line", content: with("seen", " seen"), line: "4", err: errMalformedLine},
		{name: "entry on one line", content: "TestA: cause: #1\n", line: "1", err: errMalformedLine},
		{name: "unknown key", content: with("seen", "cause"), line: "4", err: errUnknownKey},
		{name: "repeated key", content: valid + "seen: another\n", line: "6", err: errRepeatedKey},
		{name: "unknown frequency", content: with("always", "never"), line: "2", err: errUnknownFrequency},
		{name: "spaces in the issue", content: with("#1", "no issue"), line: "5", err: errMalformedIssue},
		{name: "name of no test", content: with("TestA", "late"), line: "1", err: errMalformedTest},
		{name: "test without a package folder", content: with("a TestA", "TestA"), line: "1", err: errMalformedTest},
		{name: "spaces in the test name", content: with("TestA", "TestA/one two"), line: "1", err: errMalformedTest},
		{name: "folder outside the module", content: with("a Test", "../a Test"), line: "1", err: errMalformedTest},
		{name: "absolute folder", content: with("a Test", "/a Test"), line: "1", err: errMalformedTest},
		{name: "folder that is not clean", content: with("a Test", "./a Test"), line: "1", err: errMalformedTest},
		{name: "test listed twice", content: repeated, line: "7", err: errListedTwice},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseList(c.content)
			if got != nil || !errors.Is(err, c.err) || !strings.HasPrefix(err.Error(), c.line+": ") {
				t.Errorf("got %v and error %v, want %v in line %s", got, err, c.err, c.line)
			}
		})
	}
}

// A missing list has no entries. An unreadable or malformed one is an error that names the file.
func TestReadList(t *testing.T) {
	if known, err := readList(filepath.Join(t.TempDir(), "absent")); known != nil || err != nil {
		t.Errorf("file does not exist: got %v and error %v, want neither", known, err)
	}
	_, err := readList(t.TempDir())
	if err == nil || !strings.Contains(err.Error(), "read known failures") {
		t.Errorf("file cannot be read: got error %v", err)
	}
	file := filepath.Join(t.TempDir(), "list.txt")
	if err := os.WriteFile(file, []byte(listEntry("a TestA", "never")), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readList(file); err == nil || !strings.Contains(err.Error(), file+":2: ") {
		t.Errorf("malformed list: error %v does not name the file and the line", err)
	}
}
