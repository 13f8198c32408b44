package operator

import (
	"context"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

// Answerer answers queries from the state of this instance's tasks.
type Answerer struct {
	// Tasks maps each subject to the inbox of the task that answers queries about it.
	Tasks map[coltsfootlink.Subject]*mailbox.Deliveries
}

// Answer returns this instance's rows for a query.
func (answerer *Answerer) Answer(ctx context.Context, query coltsfootlink.Query) (coltsfootlink.Table, error) {
	task, known := answerer.Tasks[query.Subject]
	if !known {
		return coltsfootlink.Table{}, errors.Newf("operator: no task answers queries about %q", query.Subject)
	}
	reply := make(chan coltsfootlink.Table, 1)
	task.Put(coltsfootlink.Delivery{Message: coltsfootlink.Inquiry{Subject: query.Subject, Since: query.Since, Arguments: query.Arguments, Reply: reply}})
	select {
	case table := <-reply:
		return table, nil
	case <-ctx.Done():
		return coltsfootlink.Table{}, errors.Wrap(ctx.Err(), "operator")
	}
}
