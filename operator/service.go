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
	// answerTimeout is the timeout of one query to all instances.
	answerTimeout = time.Second
	// inForceTimeout is how long a command waits for its revision to be in force on all instances.
	inForceTimeout = 2 * time.Second
	// inForcePollInterval is the time between two queries of the revisions in force during that wait.
	inForcePollInterval = 100 * time.Millisecond
)

// Asker queries another instance for its rows.
type Asker interface {
	Ask(ctx context.Context, address string, query coltsfootlink.Query) (coltsfootlink.Table, error)
}

// Viewer provides the membership view, which lists the instances.
type Viewer interface {
	View() coltsfootlink.View
}

// Service runs the statements of operators. It sends their queries to all instances.
type Service struct {
	Self  coltsfootlink.InstanceName
	Token string
	Clock coltsfootlink.Clock
	Local *Answerer
	Asker Asker
	// Revision is the inbox of the task that publishes changes of the configuration.
	Revision *mailbox.Deliveries
	Viewer   Viewer
}

// Run runs one statement; an error is an *operators.Rejected.
func (service *Service) Run(ctx context.Context, payload *operators.RunPayload) (*operators.RunResult, error) {
	if payload.Authorization == nil || !web.SameToken(web.BearerToken(*payload.Authorization), service.Token) {
		return nil, rejected("unauthorized", "authorization", "the operators' token is missing or wrong")
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
	case statement.Explain != nil:
		return nil, rejected("bad-statement", "explain", "requests are explained by gateways only; send the statement to one with --peer")
	case statement.Lift != nil:
		return nil, rejected("bad-statement", "lift", "prompts are held back by gateways only; send the statement to one with --peer")
	default:
		if payload.Document == nil {
			return nil, rejected("bad-statement", "document", "apply needs a document, and the request contains none")
		}
		return service.change(ctx, revision.Record{Kind: revision.Apply, Document: *payload.Document})
	}
}

// moveRecord returns the record that publishes a statement about a version move.
func moveRecord(move language.Move) revision.Record {
	kinds := map[language.MoveAction]revision.Kind{
		language.StartMove:    revision.StartMove,
		language.FinishMove:   revision.FinishMove,
		language.RollBackMove: revision.RollBackMove,
	}
	return revision.Record{
		Kind:     kinds[move.Action],
		Pool:     move.Pool,
		From:     move.From,
		To:       move.To,
		FinishBy: move.FinishBy,
		Reason:   move.Reason,
	}
}

// rejectedStatement converts the error of a statement that cannot be parsed into a finding for the operator.
func rejectedStatement(err error) error {
	var syntaxErr *language.SyntaxError
	if errors.As(err, &syntaxErr) {
		return rejected("bad-statement", fmt.Sprintf("column %d", syntaxErr.Column), syntaxErr.Text)
	}
	return rejected("bad-statement", "statement", err.Error())
}

// rejectedChange converts the error of a change that was not accepted into findings for the operator.
func rejectedChange(err error) error {
	var findings settings.Findings
	if errors.As(err, &findings) {
		rejection := &operators.Rejected{Name: "bad-statement"}
		for _, finding := range findings {
			rejection.Findings = append(rejection.Findings, &operators.Finding{Place: finding.Place(), Text: finding.Text})
		}
		return rejection
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
