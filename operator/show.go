package operator

import (
	"context"
	"slices"

	"coltsfootlink"
	"coltsfootlink/gen/operators"
	"coltsfootlink/language"
)

// partial is the answer of one instance to a query.
type partial struct {
	instance coltsfootlink.InstanceName
	table    coltsfootlink.Table
	err      error
}

// show answers a query with the rows of all instances.
func (service *Service) show(ctx context.Context, query language.Show) (*operators.RunResult, error) {
	table, missing := service.askAll(ctx, coltsfootlink.Query{Subject: query.Subject, Since: query.Since})
	arranged, err := Arrange(query, table)
	if err != nil {
		return nil, rejected("bad-statement", "where", err.Error())
	}
	return service.result(ctx, arranged, missing), nil
}

// askAll queries all instances concurrently. It returns their rows and the names of the instances that failed or did
// not answer within answerTimeout.
func (service *Service) askAll(ctx context.Context, query coltsfootlink.Query) (coltsfootlink.Table, []string) {
	ctx, cancel := context.WithDeadline(ctx, service.Clock.Now().Add(answerTimeout))
	defer cancel()
	members := service.Viewer.View().Members
	partials := make(chan partial, len(members))
	for _, member := range members {
		go func() { partials <- service.ask(ctx, member, query) }()
	}
	var table coltsfootlink.Table
	var missing []string
	for range members {
		received := <-partials
		if received.err != nil {
			missing = append(missing, string(received.instance))
			continue
		}
		table.Columns = received.table.Columns
		table.Rows = append(table.Rows, received.table.Rows...)
	}
	slices.Sort(missing)
	return table, missing
}

func (service *Service) ask(ctx context.Context, member coltsfootlink.Member, query coltsfootlink.Query) partial {
	if member.Name == service.Self {
		table, err := service.Local.Answer(ctx, query)
		return partial{instance: member.Name, table: table, err: err}
	}
	table, err := service.Asker.Ask(ctx, member.PeerAddress, query)
	return partial{instance: member.Name, table: table, err: err}
}

// result returns a table in the form of the operators' interface, which has empty lists instead of nil, along with the
// revision in force on this instance.
func (service *Service) result(ctx context.Context, table coltsfootlink.Table, missing []string) *operators.RunResult {
	result := &operators.RunResult{Columns: table.Columns, Missing: missing, Rows: []*operators.Row{}}
	if result.Columns == nil {
		result.Columns = []string{}
	}
	if missing == nil {
		result.Missing = []string{}
	}
	for _, cells := range table.Rows {
		result.Rows = append(result.Rows, &operators.Row{Cells: cells})
	}
	result.Revision = uint64(service.revision(ctx))
	return result
}
