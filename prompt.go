package coltsfootlink

// CachePart is one part of a prompt as an engine's cache keeps it.
type CachePart struct {
	// Key identifies the part together with the model and all parts before it.
	Key uint64
	// Tokens is the size of the part.
	Tokens int
}

// Work is what a request asks of an engine; it is zero for plain services.
type Work struct {
	// Prompt is the parts of the prompt in order; the last belongs to the request alone.
	Prompt []CachePart
	// PromptTokens is the size of the whole prompt.
	PromptTokens int
	// OutputTokens is the most that may be generated.
	OutputTokens int
}

// Shared returns the parts of the prompt that other requests may have too.
func (work Work) Shared() []CachePart {
	if len(work.Prompt) == 0 {
		return nil
	}
	return work.Prompt[:len(work.Prompt)-1]
}

// Affinity identifies requests that share all parts but the last; zero if nothing is shared.
func (work Work) Affinity() uint64 {
	shared := work.Shared()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].Key
}
