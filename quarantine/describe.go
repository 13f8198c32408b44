package quarantine

import (
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
)

// logBar begins a log line on a bar, with the evidence and its age.
func (task *Task) logBar(pool coltsfootlink.PoolName, bar Bar) *zerolog.Event {
	return task.Log.Warn().Str("pool", string(pool)).Str("parts", join(bar.Parts)).Int("crashes", bar.Crashes).
		Int64("first-ms-ago", task.age(bar.FirstAt)).Int64("last-ms-ago", task.age(bar.LastAt)).Time("trial-at", bar.TrialAt)
}

// age returns how long ago a time was, in milliseconds.
func (task *Task) age(at time.Time) int64 { return task.Clock.Now().Sub(at).Milliseconds() }

// describe lists suspects, each with the time since a request with it was answered.
func (task *Task) describe(suspects []coltsfootlink.Suspect) string {
	words := make([]string, 0, len(suspects))
	for _, suspect := range suspects {
		age := "never"
		if !suspect.AnsweredAt.IsZero() {
			age = task.Clock.Now().Sub(suspect.AnsweredAt).Round(time.Millisecond).String()
		}
		words = append(words, suspect.Part.String()+":"+age)
	}
	return strings.Join(words, " ")
}

// join lists parts in hexadecimal.
func join(parts []coltsfootlink.PartID) string {
	words := make([]string, 0, len(parts))
	for _, part := range parts {
		words = append(words, part.String())
	}
	return strings.Join(words, " ")
}

// table returns the bars for the operators' query.
func (task *Task) table() coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{"pool", "parts", "crashes", "first-crash", "last-crash", "next-trial"}}
	for pool, state := range task.pools.states {
		if pool == anyPool {
			continue
		}
		for _, bar := range state.Bars() {
			table = table.WithRow(string(pool), join(bar.Parts), strconv.Itoa(bar.Crashes), stamp(bar.FirstAt), stamp(bar.LastAt), stamp(bar.TrialAt))
		}
	}
	return table
}

func stamp(at time.Time) string { return at.UTC().Format(time.RFC3339) }
