package coltsfootlink

import "strconv"

// PartID identifies a part of prompts by its name, whatever comes before it in a prompt.
type PartID uint64

// String returns the identifier in hexadecimal.
func (id PartID) String() string { return strconv.FormatUint(uint64(id), 16) }

// CachePart is one part of a prompt as stored in an engine's prefix cache.
type CachePart struct {
	// Key identifies the part together with the model and all parts before it.
	Key uint64
	// Tokens is the size of the part in tokens.
	Tokens int
}

// Work is the amount of work that a request requires of an engine; it is zero for plain services.
type Work struct {
	// Prompt is the sequence of parts of the prompt; the last one is specific to the request.
	Prompt []CachePart
	// SharedParts identifies all parts of the prompt but the last, each once, in ascending order. Permits are requested without
	// it.
	SharedParts []PartID
	// PromptTokens is the size of the whole prompt in tokens.
	PromptTokens int
	// OutputTokens is the maximum number of tokens to generate.
	OutputTokens int
}

// OutputTokenWeight is the weight of a generated token relative to a prompt token.
const OutputTokenWeight = 2

// WeightedTokens returns the work that counts towards a team's share, in tokens.
func (work Work) WeightedTokens() float64 {
	return float64(work.PromptTokens + OutputTokenWeight*work.OutputTokens)
}

// SharedPrefix returns all parts of the prompt but the last; other requests may have the same prefix.
func (work Work) SharedPrefix() []CachePart {
	if len(work.Prompt) == 0 {
		return nil
	}
	return work.Prompt[:len(work.Prompt)-1]
}

// Affinity is the same for requests with the same shared prefix; zero if there is no shared prefix.
func (work Work) Affinity() uint64 {
	shared := work.SharedPrefix()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].Key
}
