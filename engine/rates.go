// Package engine models a model engine: how long prompts and tokens take, and what its memory keeps. Owners of targets
// predict with it, and the stand-in engine runs it.
package engine

import (
	"math"

	"coltsfootlink"
)

// millionPairs is the number of pairs of tokens in the unit of Rates.PairsMillis.
const millionPairs = 1e6

// Rates is the pace of an engine; each figure is one of the settings.
type Rates struct {
	// PromptTokensPerMilli is the number of prompt tokens that are read in a millisecond.
	PromptTokensPerMilli float64
	// PairsMillis is the time in milliseconds for a million pairs of tokens that attend to each other.
	PairsMillis float64
	// StepMillis is the time of a step, in milliseconds, beside what is read in it.
	StepMillis float64
	// StepMillisPerRun is what each running request adds to a step, in milliseconds.
	StepMillisPerRun float64
	// ChunkTokens is the most prompt tokens that are read in one step.
	ChunkTokens float64
	// FirstMillis is the time from the end of reading to the first event, in milliseconds.
	FirstMillis float64
}

// ReadMillis returns how long an engine takes to read the fresh tokens of a prompt, in milliseconds, while
// other requests run beside it.
func (rates Rates) ReadMillis(kept, fresh, running int) float64 {
	chunks := math.Ceil(float64(fresh) / rates.ChunkTokens)
	return rates.chunkMillis(kept, fresh) + chunks*(rates.StepMillis+rates.StepMillisPerRun*float64(running))
}

// chunkMillis returns what reading some tokens behind those that are known adds to steps, in milliseconds.
func (rates Rates) chunkMillis(known, fresh int) float64 {
	tokens := float64(fresh)
	pairs := tokens * (float64(known) + tokens/2)
	return tokens/rates.PromptTokensPerMilli + pairs/millionPairs*rates.PairsMillis
}

// OwnTokens returns the memory that a request takes besides the parts that it shares.
func OwnTokens(work coltsfootlink.Work) int {
	tokens := work.OutputTokens
	if last := len(work.Prompt) - 1; last >= 0 {
		tokens += work.Prompt[last].Tokens
	}
	return tokens
}
