package engine

import (
	"slices"
	"time"

	"coltsfootlink"
)

// Traits is what an engine is like.
type Traits struct {
	Rates Rates
	// Slots is the number of requests that run at once; further ones wait in order of arrival.
	Slots int
	// MemoryTokens is the number of tokens that the memory holds, of running requests and of parts that are kept.
	MemoryTokens int
	// EventTokens is the number of tokens that one event of a stream holds.
	EventTokens int
}

// Job is a request on an engine.
type Job struct {
	ID   uint64
	Work coltsfootlink.Work
}

// job is a request and how far it has come.
type job struct {
	Job
	// kept is the tokens that were found kept, unread those that are still to be read, made those that are generated.
	kept, unread, made int
	// chunk is what is read of the prompt in the present step.
	chunk int
}

// memory is the tokens that the job takes besides the parts that it shares.
func (job job) memory() int {
	return OwnTokens(job.Work) - job.Work.OutputTokens + job.made
}

// Occurrence is an event of a job's stream.
type Occurrence struct {
	Job uint64
	At  time.Time
	// Events is the number of events so far; Ended says that this is the last one.
	Events int
	Ended  bool
}

// State is an engine at a moment; it is immutable.
type State struct {
	traits  Traits
	waiting []job
	running []job
	cache   Cache
	// stepEnds is when the present step ends; zero between steps.
	stepEnds time.Time
	// read and found are the prompt tokens that were read, and that were found kept, so far.
	read, found int
}

// NewState returns an engine that has just started.
func NewState(traits Traits) State { return State{traits: traits, cache: NewCache()} }

// WithJob adds a request that arrives now.
func (state State) WithJob(now time.Time, added Job) State {
	state.waiting = append(slices.Clone(state.waiting), job{Job: added})
	if state.stepEnds.IsZero() {
		state = state.withStep(now)
	}
	return state
}

// WithoutJob gives up a request.
func (state State) WithoutJob(id uint64) State {
	given := func(held job) bool { return held.ID == id }
	state.waiting = slices.DeleteFunc(slices.Clone(state.waiting), given)
	state.running = slices.DeleteFunc(slices.Clone(state.running), given)
	return state
}

// NextAt returns when the present step ends; false if nothing runs.
func (state State) NextAt() (time.Time, bool) { return state.stepEnds, !state.stepEnds.IsZero() }

// Report returns what the engine says of its work.
func (state State) Report() coltsfootlink.EngineReport {
	return coltsfootlink.EngineReport{Waiting: len(state.waiting), Running: len(state.running)}
}

// Read returns the prompt tokens that were read so far, and those that were found kept.
func (state State) Read() (read, found int) { return state.read, state.found }

// WithTime ends the steps whose time has come, and returns the events that came of them.
func (state State) WithTime(now time.Time) (State, []Occurrence) {
	var occurrences []Occurrence
	for !state.stepEnds.IsZero() && !state.stepEnds.After(now) {
		var more []Occurrence
		state, more = state.withStepEnded()
		occurrences = append(occurrences, more...)
	}
	return state, occurrences
}

// withStep begins the next step: requests are admitted in order of arrival, and a chunk of prompts is read beside the
// tokens that are generated.
func (state State) withStep(now time.Time) State {
	state.stepEnds = time.Time{}
	state = state.withAdmitted(now)
	if len(state.running) == 0 {
		return state
	}
	running := slices.Clone(state.running)
	millis := state.traits.Rates.StepMillis + state.traits.Rates.StepMillisPerRun*float64(len(running))
	left := int(state.traits.Rates.ChunkTokens)
	for place, held := range running {
		held.chunk = min(left, held.unread)
		left -= held.chunk
		millis += state.traits.Rates.chunkMillis(held.Work.PromptTokens-held.unread, held.chunk)
		running[place] = held
	}
	state.running = running
	state.stepEnds = now.Add(time.Duration(millis * float64(time.Millisecond)))
	return state
}

// withAdmitted lets waiting requests run while there are slots and memory.
func (state State) withAdmitted(now time.Time) State {
	for len(state.waiting) > 0 && len(state.running) < state.traits.Slots {
		next := state.waiting[0]
		used := state.memory()
		if len(state.running) > 0 && used+OwnTokens(next.Work) > state.traits.MemoryTokens {
			break
		}
		state.waiting = state.waiting[1:]
		next.kept = min(next.Work.PromptTokens, state.cache.Kept(next.Work))
		next.unread = next.Work.PromptTokens - next.kept
		next.made = 0
		state.found += next.kept
		state.cache = state.cache.WithPrompt(now, next.Work, state.traits.MemoryTokens-used)
		state.running = append(slices.Clone(state.running), next)
	}
	return state
}

// memory is the tokens that running requests take besides shared parts.
func (state State) memory() int {
	sum := 0
	for _, held := range state.running {
		sum += held.memory()
	}
	return sum
}

// withStepEnded takes what the present step has read and generated, and begins the next one.
func (state State) withStepEnded() (State, []Occurrence) {
	var occurrences []Occurrence
	var running []job
	for _, held := range state.running {
		state.read += held.chunk
		generates := held.unread == 0
		held.unread -= held.chunk
		held.chunk = 0
		if generates {
			held.made++
		}
		ended := held.made >= max(1, held.Work.OutputTokens)
		if generates && (ended || held.made%state.traits.EventTokens == 0) {
			events := (held.made + state.traits.EventTokens - 1) / state.traits.EventTokens
			occurrences = append(occurrences, Occurrence{Job: held.ID, At: state.stepEnds, Events: events, Ended: ended})
		}
		if !ended {
			running = append(running, held)
		}
	}
	state.running = running
	return state.withPreempted().withStep(state.stepEnds), occurrences
}

// withPreempted puts the newest requests back while the memory is too small; they are read from the start again.
func (state State) withPreempted() State {
	for len(state.running) > 1 && state.memory() > state.traits.MemoryTokens {
		last := len(state.running) - 1
		newest := state.running[last]
		newest.made = 0
		state.running = slices.Clone(state.running[:last])
		state.waiting = append([]job{newest}, state.waiting...)
	}
	return state
}
