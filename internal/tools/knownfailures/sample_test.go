package main

import (
	"os"
	"path/filepath"
	"testing"
)

// sampleTests is the test file of package sample in a module that "go test" runs.
const sampleTests = `package sample

import (
	"os"
	"testing"
)

func TestPass(t *testing.T)  { t.Log("a note") }
func TestOther(t *testing.T) {}
func TestFail(t *testing.T)  { t.Error("a fault") }
func TestSkip(t *testing.T)  { t.Skip("not here") }
func TestPanic(t *testing.T) { panic("a crash") }
func TestExit(t *testing.T)  { os.Exit(1) }

func TestParent(t *testing.T) {
	t.Run("bad one", func(t *testing.T) { t.Parallel(); t.Error("a fault") })
	t.Run("good one", func(t *testing.T) { t.Parallel() })
}

func TestNoisyParent(t *testing.T) {
	t.Run("bad", func(t *testing.T) { t.Error("a fault") })
	t.Error("a fault of the parent itself")
}

func TestTwoSubtests(t *testing.T) {
	t.Run("bad", func(t *testing.T) { t.Parallel(); t.Error("a fault") })
	t.Run("worse", func(t *testing.T) { t.Parallel(); t.Error("another fault") })
}

func TestGrandparent(t *testing.T) {
	t.Run("parent", func(t *testing.T) {
		t.Run("bad", func(t *testing.T) { t.Error("a fault") })
		t.Run("good", func(t *testing.T) {})
	})
}

func TestHang(t *testing.T) { select {} }

var rounds int

func TestFirstRound(t *testing.T) {
	if rounds++; rounds == 1 {
		t.Error("a fault of the first round")
	}
}

var parentRounds int

func TestMixedRounds(t *testing.T) {
	parentRounds++
	t.Run("bad", func(t *testing.T) {
		if parentRounds == 1 {
			t.Error("a fault of the first round")
		}
	})
	if parentRounds == 2 {
		t.Error("a fault of the parent itself")
	}
}

func TestRace(t *testing.T) {
	n, done := 0, make(chan bool)
	go func() { n++; done <- true }()
	n++
	<-done
}
`

// otherTests is the test file of package other, with the name of a test of package sample.
const otherTests = `package other

import "testing"

func TestOther(t *testing.T) { t.Error("a fault") }
`

// uncompiledTests is the test file of a package that does not compile.
const uncompiledTests = `package uncompiled

var broken int = "text"
`

// writeSampleModule writes the module to a temporary folder and makes that the working directory.
func writeSampleModule(t *testing.T) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, content := range map[string]string{
		"go.mod":                        "module sample\n\ngo 1.26\n",
		"sample/sample_test.go":         sampleTests,
		"other/other_test.go":           otherTests,
		"uncompiled/uncompiled_test.go": uncompiledTests,
	} {
		if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
