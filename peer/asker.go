package peer

import (
	"context"

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
func (asker Asker) Ask(ctx context.Context, address string, query coltsfootlink.Query) (coltsfootlink.Table, error) {
	var reply *peerpb.Table
	err := asker.call(ctx, address, func(ctx context.Context, client peerpb.PeerClient) (err error) {
		reply, err = client.Ask(ctx, &peerpb.Question{Subject: string(query.Subject), SinceUnixMillis: toUnixMillis(query.Since), Arguments: query.Arguments})
		return err
	})
	if err != nil {
		return coltsfootlink.Table{}, err
	}
	table := coltsfootlink.Table{Columns: reply.GetColumns()}
	for _, row := range reply.GetRows() {
		table.Rows = append(table.Rows, row.GetCells())
	}
	return table, nil
}

// LiftBar has the instance at the address, and through it all others, let requests through whose prompts have the parts.
func (asker Asker) LiftBar(ctx context.Context, address string, lift coltsfootlink.BarLift) error {
	return asker.call(ctx, address, func(ctx context.Context, client peerpb.PeerClient) error {
		parts := convertAll(lift.Parts, func(part coltsfootlink.PartID) uint64 { return uint64(part) })
		_, err := client.LiftBar(ctx, &peerpb.BarLift{Pool: string(lift.Pool), Parts: parts})
		return err
	})
}

// call connects to the instance at the address and calls it.
func (asker Asker) call(ctx context.Context, address string, call func(context.Context, peerpb.PeerClient) error) error {
	conn, err := dial(address, asker.Secure)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	defer func() { _ = conn.Close() }()
	ctx = metadata.AppendToOutgoingContext(ctx, instanceKey, string(asker.Self), tokenKey, asker.Token)
	return errors.Wrap(call(ctx, peerpb.NewPeerClient(conn)), "peer")
}
