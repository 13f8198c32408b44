package explain

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// documentColumn is the only column of the tables that carry plans and answers; its one cell is the document in JSON.
const documentColumn = "document"

// Arguments encodes the arguments of a query.
func Arguments[T Request | TargetInquiry](arguments T) (string, error) {
	text, err := json.Marshal(arguments)
	return string(text), errors.Wrap(err, "explain")
}

// ParseArguments decodes the arguments of a query.
func ParseArguments[T Request | TargetInquiry](text string) (T, error) {
	var arguments T
	err := json.Unmarshal([]byte(text), &arguments)
	return arguments, errors.Wrap(err, "explain")
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
