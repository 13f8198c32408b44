package settings

import (
	"fmt"
	"strings"
)

// Finding is one mistake in a document, with its position.
type Finding struct {
	File string
	// Line counts from one; zero if the mistake belongs to no line, as for a missing top-level key.
	Line int
	Key  string
	Text string
}

// String returns the position and the text of the finding.
func (finding Finding) String() string {
	return finding.Place() + ": " + finding.Text
}

// Place returns the position as file, line and key, such as fleet:3: team[0].weight.
func (finding Finding) Place() string {
	place := finding.File
	if finding.Line > 0 {
		place += fmt.Sprintf(":%d", finding.Line)
	}
	if finding.Key != "" {
		place += ": " + finding.Key
	}
	return place
}

// Findings is an error that lists all mistakes of a document.
type Findings []Finding

// Error returns the findings, one per line.
func (findings Findings) Error() string {
	lines := make([]string, 0, len(findings))
	for _, finding := range findings {
		lines = append(lines, finding.String())
	}
	return "settings: " + strings.Join(lines, "\n")
}
