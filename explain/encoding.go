package explain

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// documentColumn is the only column of the tables that carry plans and answers; its one cell is the document in JSON.
const documentColumn = "document"

// Bounds of what an instance explains: the tokens and parts that it takes from callers, and the targets of one owner in a plan.
const (
	maxTokens  = 1 << 24
	maxParts   = 1 << 10
	maxTargets = 1 << 5
)

// arguments are the arguments of a query.
type arguments interface {
	Request | TargetInquiry
	// check returns an error if the arguments are outside of the bounds for which requests are decided on.
	check() error
}

func (request Request) check() error { return checkWork(request.Work) }

func (inquiry TargetInquiry) check() error {
	if len(inquiry.Targets) > maxTargets {
		return errors.Newf("explain: %d targets; want %d at most", len(inquiry.Targets), maxTargets)
	}
	return checkWork(inquiry.Work)
}

func checkWork(work coltsfootlink.Work) error {
	if len(work.Prompt) > maxParts {
		return errors.Newf("explain: a prompt of %d parts; want %d at most", len(work.Prompt), maxParts)
	}
	counts := []int{work.PromptTokens, work.OutputTokens}
	for _, part := range work.Prompt {
		counts = append(counts, part.Tokens)
	}
	for _, tokens := range counts {
		if tokens < 0 || tokens > maxTokens {
			return errors.Newf("explain: %d tokens; want 0 to %d", tokens, maxTokens)
		}
	}
	return nil
}

// Arguments encodes the arguments of a query.
func Arguments[T arguments](arguments T) (string, error) {
	text, err := json.Marshal(arguments)
	return string(text), errors.Wrap(err, "explain")
}

// ParseArguments decodes and checks the arguments of a query.
func ParseArguments[T arguments](text string) (T, error) {
	var parsed T
	if err := json.Unmarshal([]byte(text), &parsed); err != nil {
		return parsed, errors.Wrap(err, "explain")
	}
	return parsed, parsed.check()
}

// Table encodes the result of a query.
func Table[T Plan | Answers](result T) (coltsfootlink.Table, error) {
	text, err := json.Marshal(result)
	if err != nil {
		return coltsfootlink.Table{}, errors.Wrap(err, "explain")
	}
	return coltsfootlink.Table{Columns: []string{documentColumn}}.WithRow(string(text)), nil
}

// ParseTable decodes the result of a query. An empty table means that the instance could not read the arguments.
func ParseTable[T Plan | Answers](table coltsfootlink.Table) (T, error) {
	var result T
	if table.Column(documentColumn) != 0 || len(table.Rows) != 1 || len(table.Rows[0]) != 1 {
		return result, errors.New("explain: the instance could not explain the request")
	}
	err := json.Unmarshal([]byte(table.Rows[0][0]), &result)
	return result, errors.Wrap(err, "explain")
}
