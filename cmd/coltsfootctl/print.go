package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"coltsfootlink/gen/operators"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// answerDocument is the JSON form of an answer, as --json prints it.
type answerDocument struct {
	Columns  []string   `json:"columns"`
	Rows     [][]string `json:"rows"`
	Revision uint64     `json:"revision"`
	Missing  []string   `json:"missing"`
}

// print prints an answer as a table or, with --json, as JSON.
func (session *session) print(result *operators.RunResult) error {
	if session.json {
		return session.printJSON(result)
	}
	table := tabwriter.NewWriter(session.out, 0, 0, columnPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(result.Columns, "\t"))
	for _, row := range result.Rows {
		_, _ = fmt.Fprintln(table, strings.Join(row.Cells, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(result.Missing) > 0 {
		_, _ = fmt.Fprintf(session.out, "incomplete: no answer from %s\n", strings.Join(result.Missing, ", "))
	}
	return nil
}

func (session *session) printJSON(result *operators.RunResult) error {
	document := answerDocument{Columns: result.Columns, Rows: [][]string{}, Revision: result.Revision, Missing: result.Missing}
	for _, row := range result.Rows {
		document.Rows = append(document.Rows, row.Cells)
	}
	return json.NewEncoder(session.out).Encode(document)
}
