package main

import (
	_ "embed"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed regressions.toml
var regressionsText string

// regression is a seed that has failed before.
type regression struct {
	Seed uint64 `toml:"seed"`
	// Instances and Seconds are the size of the run that failed.
	Instances int `toml:"instances"`
	Seconds   int `toml:"seconds"`
	// Broke is the rule that was broken, and Cause why.
	Broke string `toml:"broke"`
	Cause string `toml:"cause"`
}

// readRegressions returns the seeds that have failed before.
func readRegressions(text string) ([]regression, error) {
	var document struct {
		Regressions []regression `toml:"regression"`
	}
	err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&document)
	return document.Regressions, err
}
