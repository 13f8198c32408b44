// Package engine models a language model engine: the time that it takes to read prompts and generate tokens, and its
// prefix cache. The owner of a target predicts waits with it, and the stand-in engine simulates an engine with it.
package engine

import (
	"math"

	"coltsfootlink"
)

// pairsPerUnit is the number of token pairs to which Rates.PairsMillis refers.
const pairsPerUnit = 1e6

// Rates holds the speed of an engine; each field is one of the settings.
type Rates struct {
	// PromptTokensPerMilli is the number of prompt tokens that are read per millisecond.
	PromptTokensPerMilli float64
	// PairsMillis is the time in milliseconds that attention takes for a million pairs of tokens.
	PairsMillis float64
	// StepMillis is the fixed time of a step in milliseconds, without the reading of prompts.
	StepMillis float64
	// StepMillisPerRequest is the time in milliseconds that each running request adds to a step.
	StepMillisPerRequest float64
	// ChunkTokens is the maximum number of prompt tokens that are read in one step.
	ChunkTokens float64
	// FirstEventMillis is the time in milliseconds from the end of reading the prompt to the first event.
	FirstEventMillis float64
}

// ReadMillis returns the time in milliseconds that an engine takes to read the fresh tokens of a prompt, which follow
// its cached tokens, while running other requests.
func (rates Rates) ReadMillis(cached, fresh, running int) float64 {
	chunks := math.Ceil(float64(fresh) / rates.ChunkTokens)
	return rates.chunkMillis(cached, fresh) + chunks*(rates.StepMillis+rates.StepMillisPerRequest*float64(running))
}

// chunkMillis returns the time in milliseconds that reading fresh tokens adds to steps. Each fresh token attends to all
// preceding tokens of its prompt and, on average, to half of the fresh ones.
func (rates Rates) chunkMillis(preceding, fresh int) float64 {
	tokens := float64(fresh)
	pairs := tokens * (float64(preceding) + tokens/2)
	return tokens/rates.PromptTokensPerMilli + pairs/pairsPerUnit*rates.PairsMillis
}

// OwnTokens returns the memory in tokens that a request uses, without its shared prefix.
func OwnTokens(work coltsfootlink.Work) int {
	tokens := work.OutputTokens
	if last := len(work.Prompt) - 1; last >= 0 {
		tokens += work.Prompt[last].Tokens
	}
	return tokens
}
