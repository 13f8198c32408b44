package main

import (
	_ "embed"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed regressions.toml
var regressionsText string

// regression is a seed that failed in the past.
type regression struct {
	Seed uint64 `toml:"seed"`
	// Instances and Seconds are the number of instances and the duration of the run that failed.
	Instances int `toml:"instances"`
	Seconds   int `toml:"seconds"`
	// Broke is the rule that was broken, and Cause the reason.
	Broke string `toml:"broke"`
	Cause string `toml:"cause"`
}

// readRegressions decodes the regressions from TOML.
func readRegressions(text string) ([]regression, error) {
	var document struct {
		Regressions []regression `toml:"regression"`
	}
	err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&document)
	return document.Regressions, err
}
