package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"

	"coltsfootlink"
	"coltsfootlink/peerpb"
)

// Asker sends operators' queries to other instances, each over a connection of its own.
type Asker struct {
	Self   coltsfootlink.InstanceName
	Token  string
	Secure credentials.TransportCredentials
}

// Ask returns the part of a query's result that the instance at the address has.
func (asker Asker) Ask(ctx context.Context, address string, subject coltsfootlink.Subject, since time.Time) (coltsfootlink.Table, error) {
	conn, err := dial(address, asker.Secure)
	if err != nil {
		return coltsfootlink.Table{}, errors.Wrap(err, "peer")
	}
	defer func() { _ = conn.Close() }()
	ctx = metadata.AppendToOutgoingContext(ctx, instanceKey, string(asker.Self), tokenKey, asker.Token)
	reply, err := peerpb.NewPeerClient(conn).Ask(ctx, &peerpb.Question{Subject: string(subject), SinceUnixMillis: toUnixMillis(since)})
	if err != nil {
		return coltsfootlink.Table{}, errors.Wrap(err, "peer")
	}
	table := coltsfootlink.Table{Columns: reply.GetColumns()}
	for _, row := range reply.GetRows() {
		table.Rows = append(table.Rows, row.GetCells())
	}
	return table, nil
}
