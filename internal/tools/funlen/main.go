// Command funlen reports functions of more than 60 lines, those of tests included.
//
// It exists because the command of the analyzer cannot disable the limit on statements, and the
// rule function-length of revive 1.17.0 skips every file that has an empty function. All lines
// between the one with the keyword func and the closing brace count, also comments, blank lines
// and parameters on lines of their own.
package main

import (
	"math"

	"github.com/ultraware/funlen"
	"golang.org/x/tools/go/analysis/singlechecker"
)

const (
	// maxLines lets a function fit on one screen.
	maxLines = 60
	// maxStatements disables the limit on statements. Zero would select the analyzer's default.
	maxStatements = math.MaxInt
	// ignoreComments is false, so comments count as lines of the function.
	ignoreComments = false
)

func main() {
	singlechecker.Main(funlen.NewAnalyzer(maxLines, maxStatements, ignoreComments))
}
