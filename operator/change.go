package operator

import (
	"context"
	"fmt"
	"time"

	"coltsfootlink"
	"coltsfootlink/gen/operators"
	"coltsfootlink/revision"
)

// change publishes a change and says as which revision it was accepted and where it is in force.
func (service *Service) change(ctx context.Context, record revision.Record) (*operators.RunResult, error) {
	record.Author = "an operator at " + string(service.Self)
	reply := make(chan revision.Verdict, 1)
	service.Revision.Put(coltsfootlink.Delivery{Message: revision.Publish{Record: record, Reply: reply}})
	select {
	case verdict := <-reply:
		if verdict.Err != nil {
			return nil, rejectedChange(verdict.Err)
		}
		return service.accepted(ctx, verdict.Revision), nil
	case <-ctx.Done():
		return nil, rejected("unavailable", "log", "the command was given up; the change may still be accepted")
	}
}

// accepted waits a little until the revision is in force everywhere and says where it is.
func (service *Service) accepted(ctx context.Context, accepted coltsfootlink.Revision) *operators.RunResult {
	giveUpAt := service.Clock.Now().Add(forceLimit)
	for {
		inForce, behind := service.inForce(ctx, accepted)
		if len(behind) == 0 || service.Clock.Now().After(giveUpAt) || ctx.Err() != nil {
			table := coltsfootlink.Table{Columns: []string{"accepted-as", "in-force-on"}}
			total := inForce + len(behind)
			table = table.WithRow(accepted.String(), fmt.Sprintf("%d of %d instances", inForce, total))
			return service.result(ctx, table, behind)
		}
		coltsfootlink.Sleep(ctx, forcePause)
	}
}

// inForce returns the number of instances that have a revision and the names of those that do not.
func (service *Service) inForce(ctx context.Context, wanted coltsfootlink.Revision) (int, []string) {
	table, missing := service.askAll(ctx, coltsfootlink.RevisionSubject, time.Time{})
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

// revision returns the revision in force on this instance; zero if it is not known in time.
func (service *Service) revision(ctx context.Context) coltsfootlink.Revision {
	table, err := service.Local.Answer(ctx, coltsfootlink.RevisionSubject, time.Time{})
	if err != nil || len(table.Rows) == 0 {
		return 0
	}
	return parseRevision(table.Rows[0][table.Column("revision")])
}

func parseRevision(text string) coltsfootlink.Revision {
	var number uint64
	// A text that is not a number counts as no revision.
	_, _ = fmt.Sscan(text, &number)
	return coltsfootlink.Revision(number)
}
