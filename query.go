package coltsfootlink

import "slices"

// Subject is the subject of an operator's query.
type Subject string

// The subjects of queries.
const (
	WaitingSubject   Subject = "waiting"
	ServedSubject    Subject = "served"
	TargetsSubject   Subject = "targets"
	InstancesSubject Subject = "instances"
	RevisionSubject  Subject = "revision"
	MovesSubject     Subject = "moves"
	TimelineSubject  Subject = "timeline"
	ZonesSubject     Subject = "zones"
	BarsSubject      Subject = "bars"
	DutiesSubject    Subject = "duties"
)

// Table is the result of a query, or one instance's part of it.
type Table struct {
	Columns []string
	Rows    [][]string
}

// WithRow returns the table with one more row.
func (table Table) WithRow(cells ...string) Table {
	table.Rows = append(slices.Clone(table.Rows), cells)
	return table
}

// Column returns the index of a column; -1 if there is none.
func (table Table) Column(name string) int { return slices.Index(table.Columns, name) }
