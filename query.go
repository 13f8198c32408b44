package coltsfootlink

import (
	"slices"
	"time"
)

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
	// ExplainSubject asks an instance where it would send a request, and ExplainTargetsSubject asks the owner of targets what
	// it would answer to the request. Both need arguments.
	ExplainSubject        Subject = "explain"
	ExplainTargetsSubject Subject = "explain-targets"
)

// Query is an operator's query to one instance.
type Query struct {
	Subject Subject
	// Since is the start of the queried time range; zero for all of it.
	Since time.Time
	// Arguments are the JSON arguments of subjects that need some; empty for the others.
	Arguments string
}

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
