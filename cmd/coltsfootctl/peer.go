package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials/insecure"

	"coltsfootlink"
	"coltsfootlink/gen/operators"
	"coltsfootlink/language"
	"coltsfootlink/operator"
	"coltsfootlink/peer"
)

// peerSession runs statements on one gateway, which has no port for operators.
type peerSession struct {
	session

	address, token string
}

// run runs one statement: a query, which the gateway answers for itself, one that explains a request, or one that lifts
// a bar on all gateways.
func (session *peerSession) run(text string) error {
	statement, err := language.Parse(time.Now(), text)
	if err != nil {
		return pointAt(text, err)
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(answerTimeout))
	defer cancel()
	asker := peer.Asker{Self: "coltsfootctl", Token: session.token, Secure: insecure.NewCredentials()}
	switch {
	case statement.Lift != nil:
		return asker.LiftBar(ctx, session.address, coltsfootlink.BarLift{Pool: statement.Lift.Pool, Parts: statement.Lift.Parts})
	case statement.Explain != nil:
		return session.explain(ctx, asker, *statement.Explain)
	case statement.Show == nil:
		return errors.New("--peer takes show, explain and lift statements only")
	}
	table, err := asker.Ask(ctx, session.address, coltsfootlink.Query{Subject: statement.Show.Subject, Since: statement.Show.Since})
	if err != nil {
		return err
	}
	if table, err = operator.Arrange(*statement.Show, table); err != nil {
		return err
	}
	result := &operators.RunResult{Columns: table.Columns}
	for _, cells := range table.Rows {
		result.Rows = append(result.Rows, &operators.Row{Cells: cells})
	}
	return session.print(result)
}
