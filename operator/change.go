package operator

import (
	"context"
	"fmt"

	"coltsfootlink"
	"coltsfootlink/gen/operators"
	"coltsfootlink/revision"
)

// change publishes a change of the configuration. Its result contains the revision as which the change was accepted and
// the number of instances on which that revision is in force.
func (service *Service) change(ctx context.Context, record revision.Record) (*operators.RunResult, error) {
	record.Author = "an operator at " + string(service.Self)
	reply := make(chan revision.Verdict, 1)
	service.Revision.Put(coltsfootlink.Delivery{Message: revision.Publish{Record: record, Reply: reply}})
	select {
	case verdict := <-reply:
		if verdict.Err != nil {
			return nil, rejectedChange(verdict.Err)
		}
		return service.awaitInForce(ctx, verdict.Revision), nil
	case <-ctx.Done():
		return nil, rejected("unavailable", "log", "the request ended before the change was confirmed; it may still be accepted")
	}
}

// awaitInForce waits until the revision is in force on all instances, for at most inForceTimeout. Its result gives the
// number of instances on which it is in force and lists the others as missing.
func (service *Service) awaitInForce(ctx context.Context, wanted coltsfootlink.Revision) *operators.RunResult {
	deadline := service.Clock.Now().Add(inForceTimeout)
	for {
		inForce, lagging := service.inForce(ctx, wanted)
		if len(lagging) == 0 || service.Clock.Now().After(deadline) || ctx.Err() != nil {
			table := coltsfootlink.Table{Columns: []string{"accepted-as", "in-force-on"}}
			total := inForce + len(lagging)
			table = table.WithRow(wanted.String(), fmt.Sprintf("%d of %d instances", inForce, total))
			return service.result(ctx, table, lagging)
		}
		coltsfootlink.Sleep(ctx, inForcePollInterval)
	}
}

// inForce returns the number of instances on which the wanted revision or a later one is in force, and the names of the
// instances that have an older one or did not answer.
func (service *Service) inForce(ctx context.Context, wanted coltsfootlink.Revision) (int, []string) {
	table, missing := service.askAll(ctx, coltsfootlink.Query{Subject: coltsfootlink.RevisionSubject})
	count := 0
	for _, cells := range table.Rows {
		if parseRevision(cells[table.Column("revision")]) >= wanted {
			count++
			continue
		}
		missing = append(missing, cells[table.Column("instance")])
	}
	return count, missing
}

// revision returns the revision that is in force on this instance; zero if it cannot be read before the context ends.
func (service *Service) revision(ctx context.Context) coltsfootlink.Revision {
	table, err := service.Local.Answer(ctx, coltsfootlink.Query{Subject: coltsfootlink.RevisionSubject})
	if err != nil || len(table.Rows) == 0 {
		return 0
	}
	return parseRevision(table.Rows[0][table.Column("revision")])
}

// parseRevision returns the revision that a cell contains; zero if the cell is not a number.
func parseRevision(text string) coltsfootlink.Revision {
	var number uint64
	// On an error number stays zero, which stands for no revision.
	_, _ = fmt.Sscan(text, &number)
	return coltsfootlink.Revision(number)
}
