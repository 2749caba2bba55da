// Command funlen reports functions of more than 60 lines, those of tests included.
//
// The analyzer's own command cannot switch off its limit on statements, and revive's rule
// function-length leaves out every file with an empty function (seen in revive 1.17.0).
// Lines count between the one with the word func and the one with the closing brace:
// parameters on lines of their own, comments and blank lines count.
package main

import (
	"math"

	"github.com/ultraware/funlen"
	"golang.org/x/tools/go/analysis/singlechecker"
)

const (
	// maxLines is a screen: a function that does one thing can be read without scrolling.
	maxLines = 60
	// maxStatements limits nothing: lines alone do, and zero would mean the analyzer's default.
	maxStatements = math.MaxInt
	// ignoreComments is off: a function that needs many comments is better split as well.
	ignoreComments = false
)

func main() {
	singlechecker.Main(funlen.NewAnalyzer(maxLines, maxStatements, ignoreComments))
}
