// Package language defines and parses the operators' query and command language.
package language

import (
	"time"

	"coltsfootlink"
)

// Statement is one query or command; exactly one of its fields is set.
type Statement struct {
	Show    *Show
	Zone    *Zone
	Apply   *Apply
	Move    *Move
	Lift    *Lift
	Explain *Explain
}

// Show is a query about one subject.
type Show struct {
	Subject coltsfootlink.Subject
	// ByTeam groups the rows by team.
	ByTeam bool
	// Pool limits the rows to one pool; empty for all.
	Pool string
	// Column and Value limit the rows to those with the value in the column; both are empty for all rows.
	Column, Value string
	// Since is the start of the period asked about; zero for no limit.
	Since time.Time
}

// Zone takes an availability zone out of service, or returns it to service if Out is false.
type Zone struct {
	Name coltsfootlink.ZoneName
	Out  bool
}

// MoveAction is what a statement does with a version move.
type MoveAction string

// The actions on version moves.
const (
	StartMove    MoveAction = "start"
	FinishMove   MoveAction = "finish"
	RollBackMove MoveAction = "take-back"
)

// Move starts, finishes or rolls back the version move of a pool.
type Move struct {
	Action MoveAction
	Pool   coltsfootlink.PoolName
	// From, To and FinishBy are set by StartMove only: the old version, the new one, and the deadline of the move.
	From, To coltsfootlink.Version
	FinishBy time.Time
	// Reason is set by RollBackMove only: why the move is rolled back.
	Reason string
}

// Lift lets requests through again whose prompts have parts that crashed targets.
type Lift struct {
	Pool  coltsfootlink.PoolName
	Parts []coltsfootlink.PartID
}

// Explain asks where a request would go now, without sending it.
type Explain struct {
	Host, Path string
	// Team is the team whose request it is; empty if none is given.
	Team coltsfootlink.TeamName
	// Pool is one of the pools that share the requests of the route; empty for the one that gets most of them.
	Pool coltsfootlink.PoolName
	// Request is the ID of the request, by which pools and versions are drawn; empty if none is given.
	Request coltsfootlink.RequestID
	Model   string
	// Prompt lists the parts of the prompt as ID:TOKENS, separated by commas; the last one is specific to the request.
	Prompt string
	// Tokens holds the size of the prompt and the maximum size of the output in tokens, separated by a comma.
	Tokens string
	// Fingerprint is that of requests which crashed targets; zero if none is given.
	Fingerprint uint64
	// Zone is the zone in which the request arrives; empty for that of the asked instance.
	Zone coltsfootlink.ZoneName
}

// Apply replaces the fleet's configuration with the document in a file.
type Apply struct {
	File string
}

// SyntaxError is a syntax error in a statement.
type SyntaxError struct {
	// Column is the position of the error in characters, counted from one.
	Column int
	Text   string
}

// Error returns the text of the error without its column.
func (err *SyntaxError) Error() string { return "language: " + err.Text }
