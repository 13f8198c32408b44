package coltsfootlink

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// CrashKind tells under what a target has crashed.
type CrashKind string

const (
	// PromptCrashes are crashes under prompts, which hold back prompts with the same parts.
	PromptCrashes CrashKind = "prompt"
	// StrikeCrashes are crashes under requests, which hold back the same request.
	StrikeCrashes CrashKind = "strike"
)

// CrashRecord is a crash of a target that is kept in the store while something is held back because of it, so that it is known
// after all instances have been lost.
type CrashRecord struct {
	Kind CrashKind
	// Prompt is the crash if it is one under a prompt, Strike otherwise.
	Prompt PromptCrash
	Strike Strike
}

// Key identifies the crash.
func (record CrashRecord) Key() string {
	target, incarnation, cause := record.Strike.Target, record.Strike.Incarnation, strconv.FormatUint(record.Strike.Fingerprint, 16)
	if record.Kind == PromptCrashes {
		target, incarnation, cause = record.Prompt.Target, record.Prompt.Incarnation, string(record.Prompt.Pool)+" "+string(record.Prompt.Request)
	}
	hash := xxhash.Sum64String(cause + " " + string(target) + " " + strconv.FormatUint(incarnation, 10))
	return string(record.Kind) + "/" + strconv.FormatUint(hash, 16)
}

// CrashStore keeps crash records. Its calls may be repeated.
type CrashStore interface {
	// Read returns all records.
	Read(ctx context.Context) ([]CrashRecord, error)
	// Write adds records, and removes those with the given keys.
	Write(ctx context.Context, records []CrashRecord, removed []string) error
	// Era returns the highest era of the store that was seen.
	Era() uint64
}

// CrashesHeld tells the instance's crash log all crashes of a kind because of which something is held back. Own are the keys of those
// that this instance has seen itself.
type CrashesHeld struct {
	Local
	Kind    CrashKind
	Records map[string]CrashRecord
	Own     map[string]bool
}

// CrashesVoid tells the instance's crash log the keys of crashes that it has found to hold nothing back any more.
type CrashesVoid struct {
	Local
	Keys []string
}

// CrashesWanted asks the instance's crash log for what is recorded; the reply is CrashesRead.
type CrashesWanted struct{ Local }

// CrashesRead has the crashes that are recorded.
type CrashesRead struct {
	Local
	Records []CrashRecord
}
