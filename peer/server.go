package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"coltsfootlink"
	"coltsfootlink/metrics"
	"coltsfootlink/peerpb"
	"coltsfootlink/web"
)

// Answerer answers the part of a question that this instance knows.
type Answerer interface {
	Answer(ctx context.Context, subject coltsfootlink.Subject, since time.Time) (coltsfootlink.Table, error)
}

// Server owns the listener for other instances.
type Server struct {
	peerpb.UnimplementedPeerServer

	// Address is the host and port to listen on.
	Address  string
	Token    string
	Secure   credentials.TransportCredentials
	Stamper  coltsfootlink.Stamper
	Router   *Router
	Answerer Answerer
	Log      zerolog.Logger
}

// Run answers other instances until the context ends.
func (server *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", server.Address)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	transport := grpc.NewServer(
		grpc.Creds(server.Secure),
		grpc.StatsHandler(metrics.Traffic{}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: unackedLimit}),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
	)
	peerpb.RegisterPeerServer(transport, server)
	stop := context.AfterFunc(ctx, transport.Stop)
	defer stop()
	err = transport.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "peer")
}

// Exchange receives the messages of one other instance in order.
func (server *Server) Exchange(stream grpc.ClientStreamingServer[peerpb.Batch, peerpb.Nothing]) error {
	from, err := server.sender(stream.Context())
	if err != nil {
		return err
	}
	names := new(decoder)
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := names.add(batch.GetNames()); err != nil {
			return status.Error(codes.ResourceExhausted, err.Error())
		}
		server.Stamper.Witness(coltsfootlink.Stamp(batch.GetStamp()))
		for _, encoded := range batch.GetMessages() {
			message, err := names.decode(encoded)
			if err != nil {
				server.Log.Warn().Err(err).Str("instance", string(from)).Msg("peer: message dropped")
				continue
			}
			server.Router.Deliver(coltsfootlink.Delivery{From: from, Message: message})
		}
	}
}

// Ask answers a question of another instance.
func (server *Server) Ask(ctx context.Context, question *peerpb.Question) (*peerpb.Table, error) {
	if _, err := server.sender(ctx); err != nil {
		return nil, err
	}
	table, err := server.Answerer.Answer(ctx, coltsfootlink.Subject(question.GetSubject()), fromMillis(question.GetSinceUnixMillis()))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	encoded := &peerpb.Table{Columns: table.Columns}
	for _, cells := range table.Rows {
		encoded.Rows = append(encoded.Rows, &peerpb.Row{Cells: cells})
	}
	return encoded, nil
}

// sender returns the name of the instance that calls; an error if its token is wrong.
func (server *Server) sender(ctx context.Context) (coltsfootlink.InstanceName, error) {
	values, _ := metadata.FromIncomingContext(ctx)
	if !web.SameToken(first(values.Get(tokenKey)), server.Token) {
		return "", status.Error(codes.Unauthenticated, "peer: wrong token")
	}
	return coltsfootlink.InstanceName(first(values.Get(instanceKey))), nil
}

func first(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}
