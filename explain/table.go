package explain

import (
	"strconv"
	"time"

	"coltsfootlink"
)

// unknown stands in a table for what is not known or does not apply.
const unknown = "-"

// Table returns the rows of the result.
func (result Result) Table() coltsfootlink.Table {
	table := coltsfootlink.Table{Columns: []string{
		"target", "zone", "owner", "weight", "state", "requests", "slots", "wait-ms", "max-wait-ms", "answer-ms", "objective-ms",
		"cached", "pace", "slowdown", "verdict", "reason", "retry-in-ms",
	}}
	for _, row := range result.Rows {
		table = table.WithRow(row.cells()...)
	}
	return table
}

// Text returns the result in one line.
func (result Result) Text() string {
	if result.Target != "" {
		return "would go to " + string(result.Target)
	}
	text := "would be refused: " + string(result.Reason)
	if result.RetryIn > 0 {
		text += ", retry in " + result.RetryIn.Round(time.Millisecond).String()
	}
	return text + " (" + result.Detail + ")"
}

func (row Row) cells() []string {
	candidate := row.Candidate
	cells := []string{
		string(candidate.Target), string(candidate.Zone), orUnknown(string(candidate.Owner)), strconv.FormatFloat(candidate.Weight, 'f', 2, 64),
	}
	cells = append(cells, row.figures()...)
	retry := unknown
	if row.RetryIn > 0 {
		retry = millis(row.RetryIn)
	}
	return append(cells, string(row.Verdict), orUnknown(row.Reason), retry)
}

// figures returns the cells from state to slowdown. Without an answer of the owner, the wait is the one last heard of.
func (row Row) figures() []string {
	wait := unknown
	if row.Candidate.Wait >= 0 {
		wait = "~" + millis(row.Candidate.Wait)
	}
	figures := []string{unknown, unknown, unknown, wait, unknown, unknown, unknown, unknown, unknown, unknown}
	if row.Answer == nil {
		return figures
	}
	answer := *row.Answer
	figures[0] = answer.State
	if !answer.Known {
		return figures
	}
	figures[1], figures[2], figures[6] = strconv.Itoa(answer.Requests), strconv.Itoa(answer.Slots), millis(answer.Objective)
	if answer.ExpectedAnswer > 0 {
		figures[5] = millis(answer.ExpectedAnswer)
	}
	if answer.Window > 0 {
		figures[8] = strconv.Itoa(answer.Unanswered) + "/" + strconv.Itoa(answer.Window)
	}
	if answer.Engine {
		figures[3], figures[4], figures[7] = millis(answer.Wait), millis(answer.MaxWait), strconv.Itoa(answer.CachedTokens)
		figures[9] = strconv.FormatFloat(answer.Slowdown, 'f', 2, 64)
	}
	return figures
}

func millis(duration time.Duration) string {
	return strconv.FormatInt(duration.Round(time.Millisecond).Milliseconds(), 10)
}

func orUnknown(text string) string {
	if text == "" {
		return unknown
	}
	return text
}
