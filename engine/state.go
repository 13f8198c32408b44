package engine

import (
	"slices"
	"time"

	"coltsfootlink"
)

// Traits holds the speed and the limits of an engine.
type Traits struct {
	Rates Rates
	// Slots is the maximum number of running requests; further ones wait in order of arrival.
	Slots int
	// MemoryTokens is the memory in tokens, used by running requests and the prefix cache.
	MemoryTokens int
	// EventTokens is the number of tokens per event of a stream.
	EventTokens int
}

// Job is a request to an engine.
type Job struct {
	ID   uint64
	Work coltsfootlink.Work
}

// job is a request and its progress.
type job struct {
	Job
	// cached is the number of prompt tokens that were in the cache, unread of those still to be read, and generated of
	// output tokens so far.
	cached, unread, generated int
	// chunk is the number of prompt tokens that are read in the current step.
	chunk int
}

// memory is the number of tokens that the job uses now, without its shared prefix.
func (job job) memory() int {
	return OwnTokens(job.Work) - job.Work.OutputTokens + job.generated
}

// Event is an event of a job's stream.
type Event struct {
	Job uint64
	At  time.Time
	// Number is the number of the event in its stream, from 1; Ended indicates that it is the last one.
	Number int
	Ended  bool
}

// State is a snapshot of a simulated engine; it is immutable.
type State struct {
	traits  Traits
	waiting []job
	running []job
	cache   Cache
	// stepEndsAt is when the current step ends; zero while the engine is idle.
	stepEndsAt time.Time
	// read and cached are the numbers of prompt tokens so far that were read or found in the cache.
	read, cached int
	// slowdown is the ratio of the time that a step takes to the time computed from the rates.
	slowdown float64
}

// NewState returns the state of an engine that has just started.
func NewState(traits Traits) State { return State{traits: traits, cache: NewCache(), slowdown: 1} }

// WithSlowdown sets the ratio of the time that a step takes to the time computed from the rates, from the next step on.
func (state State) WithSlowdown(slowdown float64) State {
	state.slowdown = slowdown
	return state
}

// WithJob adds a request that arrives now; an idle engine begins a step.
func (state State) WithJob(now time.Time, added Job) State {
	state.waiting = append(slices.Clone(state.waiting), job{Job: added})
	if state.stepEndsAt.IsZero() {
		state = state.withStep(now)
	}
	return state
}

// WithoutJob removes a cancelled request.
func (state State) WithoutJob(id uint64) State {
	matches := func(held job) bool { return held.ID == id }
	state.waiting = slices.DeleteFunc(slices.Clone(state.waiting), matches)
	state.running = slices.DeleteFunc(slices.Clone(state.running), matches)
	return state
}

// NextAt returns when the current step ends; false if the engine is idle.
func (state State) NextAt() (time.Time, bool) { return state.stepEndsAt, !state.stepEndsAt.IsZero() }

// Report returns the engine's load report.
func (state State) Report() coltsfootlink.EngineReport {
	return coltsfootlink.EngineReport{Waiting: len(state.waiting), Running: len(state.running)}
}

// PromptTokens returns the numbers of prompt tokens so far that were read, and that were found in the cache.
func (state State) PromptTokens() (read, cached int) { return state.read, state.cached }

// WithTime completes the steps that end until now, and returns their events.
func (state State) WithTime(now time.Time) (State, []Event) {
	var events []Event
	for !state.stepEndsAt.IsZero() && !state.stepEndsAt.After(now) {
		var more []Event
		state, more = state.withStepEnded()
		events = append(events, more...)
	}
	return state, events
}

// withStep begins the next step: it admits requests in order of arrival, and divides the step's prompt tokens among the
// requests that still have some to read, oldest first. The others generate a token each.
func (state State) withStep(now time.Time) State {
	state.stepEndsAt = time.Time{}
	state = state.withAdmitted(now)
	if len(state.running) == 0 {
		return state
	}
	running := slices.Clone(state.running)
	millis := state.traits.Rates.StepMillis + state.traits.Rates.StepMillisPerRequest*float64(len(running))
	budget := int(state.traits.Rates.ChunkTokens)
	for index, held := range running {
		held.chunk = min(budget, held.unread)
		budget -= held.chunk
		millis += state.traits.Rates.chunkMillis(held.Work.PromptTokens-held.unread, held.chunk)
		running[index] = held
	}
	state.running = running
	state.stepEndsAt = now.Add(time.Duration(state.slowdown * millis * float64(time.Millisecond)))
	return state
}

// withAdmitted starts waiting requests while there are free slots and memory. If nothing runs, the first one starts
// however large it is.
func (state State) withAdmitted(now time.Time) State {
	for len(state.waiting) > 0 && len(state.running) < state.traits.Slots {
		next := state.waiting[0]
		used := state.memory()
		if len(state.running) > 0 && used+OwnTokens(next.Work) > state.traits.MemoryTokens {
			break
		}
		state.waiting = state.waiting[1:]
		next.cached = min(next.Work.PromptTokens, state.cache.CachedTokens(next.Work))
		next.unread = next.Work.PromptTokens - next.cached
		next.generated = 0
		state.cached += next.cached
		state.cache = state.cache.WithPrompt(now, next.Work, state.traits.MemoryTokens-used)
		state.running = append(slices.Clone(state.running), next)
	}
	return state
}

// memory is the number of tokens that running requests use, without shared prefixes.
func (state State) memory() int {
	sum := 0
	for _, held := range state.running {
		sum += held.memory()
	}
	return sum
}

// withStepEnded applies what the current step has read and generated, returns its events, and begins the next step.
func (state State) withStepEnded() (State, []Event) {
	var events []Event
	var running []job
	for _, held := range state.running {
		state.read += held.chunk
		generates := held.unread == 0
		held.unread -= held.chunk
		held.chunk = 0
		if generates {
			held.generated++
		}
		ended := held.generated >= max(1, held.Work.OutputTokens)
		if generates && (ended || held.generated%state.traits.EventTokens == 0) {
			number := (held.generated + state.traits.EventTokens - 1) / state.traits.EventTokens
			events = append(events, Event{Job: held.ID, At: state.stepEndsAt, Number: number, Ended: ended})
		}
		if !ended {
			running = append(running, held)
		}
	}
	state.running = running
	return state.withPreempted().withStep(state.stepEndsAt), events
}

// withPreempted moves the newest running requests back to the head of the queue while the memory is exceeded; they
// start over.
func (state State) withPreempted() State {
	for len(state.running) > 1 && state.memory() > state.traits.MemoryTokens {
		last := len(state.running) - 1
		newest := state.running[last]
		newest.generated = 0
		state.running = slices.Clone(state.running[:last])
		state.waiting = append([]job{newest}, state.waiting...)
	}
	return state
}
