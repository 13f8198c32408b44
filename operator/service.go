package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/gen/operators"
	"coltsfootlink/language"
	"coltsfootlink/mailbox"
	"coltsfootlink/revision"
	"coltsfootlink/settings"
	"coltsfootlink/web"
)

const (
	// answerLimit is how long other instances may take to answer.
	answerLimit = time.Second
	// forceLimit is how long a command waits for its revision to come into force elsewhere.
	forceLimit = 2 * time.Second
	// forcePause is the time between two looks at the revisions in force.
	forcePause = 100 * time.Millisecond
)

// Asker asks an instance for its part of an answer.
type Asker interface {
	Ask(ctx context.Context, address string, subject coltsfootlink.Subject, since time.Time) (coltsfootlink.Table, error)
}

// Viewer tells which instances there are.
type Viewer interface {
	View() coltsfootlink.View
}

// Service answers operators.
type Service struct {
	Self  coltsfootlink.InstanceName
	Token string
	Clock coltsfootlink.Clock
	Local *Answerer
	Asker Asker
	// Revision receives changes of the configuration.
	Revision *mailbox.Deliveries
	Viewer   Viewer
}

// Run runs one statement.
func (service *Service) Run(ctx context.Context, payload *operators.RunPayload) (*operators.RunResult, error) {
	if payload.Authorization == nil || !web.SameToken(web.BearerToken(*payload.Authorization), service.Token) {
		return nil, rejected("unauthorized", "authorization", "the operators' token is wrong")
	}
	statement, err := language.Parse(service.Clock.Now(), payload.Statement)
	if err != nil {
		return nil, rejectedStatement(err)
	}
	switch {
	case statement.Show != nil:
		return service.show(ctx, *statement.Show)
	case statement.Zone != nil:
		return service.change(ctx, revision.Record{Kind: revision.Zone, Zone: statement.Zone.Name, Out: statement.Zone.Out})
	case statement.Move != nil:
		return service.change(ctx, moveRecord(*statement.Move))
	default:
		if payload.Document == nil {
			return nil, rejected("bad-statement", "document", "the document to apply is missing")
		}
		return service.change(ctx, revision.Record{Kind: revision.Apply, Document: *payload.Document})
	}
}

func moveRecord(asked language.Move) revision.Record {
	kinds := map[language.MoveAction]revision.Kind{
		language.StartMove:    revision.StartMove,
		language.FinishMove:   revision.FinishMove,
		language.TakeBackMove: revision.RollBackMove,
	}
	return revision.Record{
		Kind:     kinds[asked.Action],
		Pool:     asked.Pool,
		From:     asked.From,
		To:       asked.To,
		FinishBy: asked.FinishBy,
		Reason:   asked.Reason,
	}
}

func rejectedStatement(err error) error {
	var mistake *language.SyntaxError
	if errors.As(err, &mistake) {
		return rejected("bad-statement", fmt.Sprintf("column %d", mistake.Column), mistake.Text)
	}
	return rejected("bad-statement", "statement", err.Error())
}

// rejectedChange returns the findings of a change that was not accepted.
func rejectedChange(err error) error {
	var findings settings.Findings
	if errors.As(err, &findings) {
		answer := &operators.Rejected{Name: "bad-statement"}
		for _, finding := range findings {
			answer.Findings = append(answer.Findings, &operators.Finding{Place: finding.Place(), Text: finding.Text})
		}
		return answer
	}
	var conflict *revision.ConflictError
	if errors.As(err, &conflict) {
		return rejected("conflict", "revision "+conflict.Present.String(), err.Error())
	}
	if errors.Is(err, revision.ErrUnconfirmed) {
		return rejected("unavailable", "log", err.Error())
	}
	return rejected("bad-statement", "statement", err.Error())
}

func rejected(name, place, text string) *operators.Rejected {
	return &operators.Rejected{Name: name, Findings: []*operators.Finding{{Place: place, Text: text}}}
}
