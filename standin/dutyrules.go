package standin

import (
	"fmt"
	"maps"
	"time"
)

// DutyRules checks duty calls in the order of their arrival. It is immutable.
type DutyRules struct {
	// Lease is the time within which holders may not act in the order A, B, A.
	Lease time.Duration

	// counts are the counts of each usage window, tokens the newest token of each subject, and holders the holder of each token.
	counts  map[uint64]map[string]int
	tokens  map[string]uint64
	holders map[string]string
	// current is the holder that has called last, and calledAt when each holder has.
	current  string
	calledAt map[string]time.Time
}

// WithCall returns the rules after a call, and what it violates. A call of a sender that was just resumed, or whose link was just
// repaired, is excused: it is checked against the others, but the others not against it.
func (rules DutyRules) WithCall(call DutyCall, excused bool) (DutyRules, []string) {
	var found []string
	subject := "usage"
	if call.Scale != nil {
		subject = call.Scale.Service + "/" + call.Scale.Zone
	}
	if call.Usage != nil {
		if before, sent := rules.counts[call.Usage.WindowIndex]; sent && !maps.Equal(before, call.Usage.Counts) {
			found = append(found, fmt.Sprintf("window %d was sent with %v and then with %v", call.Usage.WindowIndex, before, call.Usage.Counts))
		}
		rules.counts = with(rules.counts, call.Usage.WindowIndex, call.Usage.Counts)
	}
	key := fmt.Sprint(subject, " ", call.Token)
	if holder, used := rules.holders[key]; used && holder != call.Holder {
		found = append(found, fmt.Sprintf("token %d of %s was used by %s and %s", call.Token, subject, holder, call.Holder))
	}
	rules.holders = with(rules.holders, key, call.Holder)
	if excused {
		return rules, found
	}
	if call.Token < rules.tokens[subject] {
		found = append(found, fmt.Sprintf("%s called with token %d for %s after token %d", call.Holder, call.Token, subject, rules.tokens[subject]))
	}
	rules.tokens = with(rules.tokens, subject, max(call.Token, rules.tokens[subject]))
	if last, called := rules.calledAt[call.Holder]; called && call.Holder != rules.current && call.At.Sub(last) < rules.Lease {
		found = append(found, fmt.Sprintf("%s called again %v after its last call, and %s in between", call.Holder, call.At.Sub(last), rules.current))
	}
	rules.current, rules.calledAt = call.Holder, with(rules.calledAt, call.Holder, call.At)
	return rules, found
}

// with returns a copy of a map with one more entry.
func with[Key comparable, Value any](entries map[Key]Value, key Key, value Value) map[Key]Value {
	entries = maps.Clone(entries)
	if entries == nil {
		entries = make(map[Key]Value)
	}
	entries[key] = value
	return entries
}
