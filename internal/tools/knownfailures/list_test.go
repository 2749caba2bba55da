package main

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestParseList(t *testing.T) {
	upgrade := knownFailure{"TestUpgrade/production/one_after_the_other", "a wait: of 90 s runs out", "#12"}
	renewal := knownFailure{"TestRenewal", "the lease is renewed late", "https://tracker.example/13"}
	cases := []struct {
		name    string
		content string
		want    []knownFailure
		err     error
	}{
		{name: "empty"},
		{
			name: "a subtest, and a cause with a colon",
			content: "TestUpgrade/production/one_after_the_other: a wait: of 90 s runs out: #12\n" +
				"TestRenewal: the lease is renewed late: https://tracker.example/13",
			want: []knownFailure{upgrade, renewal},
		},
		{name: "three", content: "TestA: c: i\nTestB: c: i\nTestC: c: i\n", want: []knownFailure{
			{"TestA", "c", "i"}, {"TestB", "c", "i"}, {"TestC", "c", "i"},
		}},
		{name: "four", content: "TestA: c: i\nTestB: c: i\nTestC: c: i\nTestD: c: i\n", err: errListTooLong},
		{name: "no issue", content: "TestA: cause\n", err: errMalformedLine},
		{name: "an empty issue", content: "TestA: cause: \n", err: errMalformedLine},
		{name: "an empty cause", content: "TestA: : issue\n", err: errMalformedLine},
		{name: "no test", content: "late: cause: issue\n", err: errMalformedLine},
		{name: "spaces in the name", content: "TestA/one two: cause: issue\n", err: errMalformedLine},
		{name: "an empty line", content: "TestA: cause: issue\n\n", err: errMalformedLine},
		{name: "a comment", content: "# TestA: cause: issue\n", err: errMalformedLine},
		{name: "twice", content: "TestA: cause: i\nTestA: other: j\n", err: errListedTwice},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseList(c.content)
			if !slices.Equal(got, c.want) || !errors.Is(err, c.err) {
				t.Errorf("got %v and error %v, want %v and %v", got, err, c.want, c.err)
			}
		})
	}
}

func TestReadList(t *testing.T) {
	if known, err := readList(filepath.Join(t.TempDir(), "absent")); known != nil || err != nil {
		t.Errorf("an absent list: %v, %v", known, err)
	}
	_, err := readList(t.TempDir())
	if err == nil || !strings.Contains(err.Error(), "reading the known failures") {
		t.Errorf("a list that cannot be read: %v", err)
	}
}
