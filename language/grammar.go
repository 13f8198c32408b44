package language

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// Subjects are the subjects of queries: the words that may follow show.
var Subjects = []coltsfootlink.Subject{
	coltsfootlink.WaitingSubject,
	coltsfootlink.ServedSubject,
	coltsfootlink.TargetsSubject,
	coltsfootlink.InstancesSubject,
	coltsfootlink.ZonesSubject,
	coltsfootlink.RevisionSubject,
	coltsfootlink.TimelineSubject,
	coltsfootlink.MovesSubject,
	coltsfootlink.BarsSubject,
	coltsfootlink.DutiesSubject,
}

// statementNode is the syntax tree of a statement. The parser names the node type that it expected in syntax errors, so
// the names of these types are shown to operators.
type statementNode struct {
	Show    *showNode    `parser:"'show' @@"`
	Take    *takeNode    `parser:"| 'take' @@"`
	Bring   *bringNode   `parser:"| 'bring' @@"`
	Apply   *applyNode   `parser:"| 'apply' @@"`
	Start   *startNode   `parser:"| 'start' @@"`
	Finish  *finishNode  `parser:"| 'finish' @@"`
	Lift    *liftNode    `parser:"| 'lift' @@"`
	Explain *explainNode `parser:"| 'explain' @@"`
}

type showNode struct {
	Pos     lexer.Position
	Subject string     `parser:"@( 'waiting' | 'served' | 'targets' | 'instances' | 'zones' | 'revision' | 'timeline' | 'moves' | 'bars' | 'duties' )"`
	ByTeam  bool       `parser:"( @'by' 'team' )?"`
	Pool    string     `parser:"( 'in' 'pool' @Word )?"`
	Where   *whereNode `parser:"( 'where' @@ )?"`
	Last    *lastNode  `parser:"( 'last' @@ )?"`
}

type whereNode struct {
	Column string `parser:"@Word '='"`
	Value  string `parser:"@( Word | String )"`
}

type lastNode struct {
	Pos      lexer.Position
	Duration string `parser:"@Word"`
}

type takeNode struct {
	Zone     string    `parser:"( 'zone' @Word 'out'"`
	RollBack *backNode `parser:"| 'back' @@ )"`
}

type backNode struct {
	Pool   string `parser:"'move' @Word"`
	Reason string `parser:"'because' @( String | Word )"`
}

type startNode struct {
	Pool string      `parser:"'move' @Word"`
	From string      `parser:"'from' @Word"`
	To   string      `parser:"'to' @Word"`
	By   *momentNode `parser:"'by' @@"`
}

type momentNode struct {
	Pos  lexer.Position
	Time string `parser:"@Word"`
}

type finishNode struct {
	Pool string `parser:"'move' @Word"`
}

type bringNode struct {
	Zone string `parser:"'zone' @Word 'back'"`
}

type applyNode struct {
	File string `parser:"@( Word | String )"`
}

type liftNode struct {
	Parts *partsNode `parser:"'bar' @@"`
	Pool  string     `parser:"'in' 'pool' @Word"`
}

type partsNode struct {
	Pos  lexer.Position
	List string `parser:"@( String | Word )"`
}

var parser = participle.MustBuild[statementNode](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"[^"]*"`},
		{Name: "Word", Pattern: `[^\s="]+`},
		{Name: "Punct", Pattern: `=`},
		{Name: "Space", Pattern: `\s+`},
	})),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// Parse parses a statement. Durations, as in last 10m, count back from now. A text that does not parse gives a
// *SyntaxError with the column of the error.
func Parse(now time.Time, text string) (Statement, error) {
	node, err := parser.ParseString("", text)
	if err != nil {
		return Statement{}, syntaxError(err)
	}
	switch {
	case node.Show != nil:
		return show(now, node.Show)
	case node.Start != nil:
		return start(node.Start)
	case node.Finish != nil:
		return Statement{Move: &Move{Action: FinishMove, Pool: coltsfootlink.PoolName(node.Finish.Pool)}}, nil
	case node.Take != nil && node.Take.RollBack != nil:
		rollBack := node.Take.RollBack
		return Statement{Move: &Move{Action: RollBackMove, Pool: coltsfootlink.PoolName(rollBack.Pool), Reason: rollBack.Reason}}, nil
	case node.Take != nil:
		return Statement{Zone: &Zone{Name: coltsfootlink.ZoneName(node.Take.Zone), Out: true}}, nil
	case node.Lift != nil:
		return lift(node.Lift)
	case node.Explain != nil:
		return explain(node.Explain)
	case node.Bring != nil:
		return Statement{Zone: &Zone{Name: coltsfootlink.ZoneName(node.Bring.Zone)}}, nil
	default:
		return Statement{Apply: &Apply{File: node.Apply.File}}, nil
	}
}

func show(now time.Time, node *showNode) (Statement, error) {
	query := &Show{Subject: coltsfootlink.Subject(node.Subject), ByTeam: node.ByTeam, Pool: node.Pool}
	if node.Where != nil {
		query.Column = node.Where.Column
		query.Value = node.Where.Value
	}
	if node.Last != nil {
		duration, err := time.ParseDuration(node.Last.Duration)
		if err != nil || duration <= 0 {
			return Statement{}, &SyntaxError{Column: node.Last.Pos.Column, Text: "expected a positive duration such as 10m, found " + quote(node.Last.Duration)}
		}
		query.Since = now.Add(-duration)
	}
	return Statement{Show: query}, nil
}

func start(node *startNode) (Statement, error) {
	finishBy, err := time.Parse(time.RFC3339, node.By.Time)
	if err != nil {
		return Statement{}, &SyntaxError{Column: node.By.Pos.Column, Text: "expected a time such as 2026-12-11T18:00:00Z, found " + quote(node.By.Time)}
	}
	return Statement{Move: &Move{
		Action:   StartMove,
		Pool:     coltsfootlink.PoolName(node.Pool),
		From:     coltsfootlink.Version(node.From),
		To:       coltsfootlink.Version(node.To),
		FinishBy: finishBy,
	}}, nil
}

// lift reads the parts as show bars prints them: in hexadecimal, separated by spaces.
func lift(node *liftNode) (Statement, error) {
	order := &Lift{Pool: coltsfootlink.PoolName(node.Pool)}
	for _, word := range strings.Fields(node.Parts.List) {
		id, err := strconv.ParseUint(word, 16, 64)
		if err != nil {
			return Statement{}, &SyntaxError{Column: node.Parts.Pos.Column, Text: "expected parts of a prompt in hexadecimal as show bars prints them, found " + quote(word)}
		}
		order.Parts = append(order.Parts, coltsfootlink.PartID(id))
	}
	if len(order.Parts) == 0 {
		return Statement{}, &SyntaxError{Column: node.Parts.Pos.Column, Text: "expected parts of a prompt in hexadecimal, found none"}
	}
	return Statement{Lift: order}, nil
}

func syntaxError(err error) error {
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return errors.Wrap(err, "language")
	}
	return &SyntaxError{Column: parseErr.Position().Column, Text: parseErr.Message()}
}

// Keywords returns the keywords of the language in alphabetical order, to be shown to operators.
func Keywords() []string {
	words := []string{"show", "by", "team", "in", "pool", "where", "last", "take", "bring", "zone", "out", "back", "apply", "start", "finish", "move", "from", "to", "because", "lift", "bar", "explain", "host", "path", "request", "model", "prompt", "tokens", "fingerprint"}
	for _, subject := range Subjects {
		words = append(words, string(subject))
	}
	slices.Sort(words)
	return words
}

func quote(text string) string { return `"` + strings.TrimSpace(text) + `"` }
