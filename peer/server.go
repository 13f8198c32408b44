package peer

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"

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

// Answerer returns this instance's part of the result of an operator's query.
type Answerer interface {
	Answer(ctx context.Context, query coltsfootlink.Query) (coltsfootlink.Table, error)
}

// Server is a task that owns the listener for other instances, receives their messages and answers their queries.
type Server struct {
	peerpb.UnimplementedPeerServer

	// Address is the host and port to listen on.
	Address string
	// Token is the token that all peers share; calls with another one are rejected.
	Token    string
	Secure   credentials.TransportCredentials
	Stamper  coltsfootlink.Stamper
	Router   *Router
	Answerer Answerer
	Log      zerolog.Logger
}

// Run serves other instances until the context ends.
func (server *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", server.Address)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	transport := grpc.NewServer(
		grpc.Creds(server.Secure),
		grpc.StatsHandler(metrics.Traffic{}),
		grpc.StreamInterceptor(server.recoverStream),
		grpc.UnaryInterceptor(server.recoverCall),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: ackTimeout}),
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

// Exchange receives the messages of one other instance and delivers them in order. Messages of an unknown kind are
// dropped.
func (server *Server) Exchange(stream grpc.ClientStreamingServer[peerpb.Batch, peerpb.Nothing]) error {
	from, err := server.authenticate(stream.Context())
	if err != nil {
		return err
	}
	decoder := new(decoder)
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := decoder.addNames(batch.GetNames()); err != nil {
			return status.Error(codes.ResourceExhausted, err.Error())
		}
		server.Stamper.Witness(coltsfootlink.Stamp(batch.GetStamp()))
		for _, encoded := range batch.GetMessages() {
			message, err := decoder.decode(encoded)
			if err != nil {
				server.Log.Warn().Err(err).Str("instance", string(from)).Msg("peer: decoding failed; message dropped")
				continue
			}
			server.Router.Deliver(coltsfootlink.Delivery{From: from, Message: message})
		}
	}
}

// Ask returns this instance's part of the result of an operator's query that another instance has received.
func (server *Server) Ask(ctx context.Context, question *peerpb.Question) (*peerpb.Table, error) {
	if _, err := server.authenticate(ctx); err != nil {
		return nil, err
	}
	table, err := server.Answerer.Answer(ctx, coltsfootlink.Query{
		Subject:   coltsfootlink.Subject(question.GetSubject()),
		Since:     fromUnixMillis(question.GetSinceUnixMillis()),
		Arguments: question.GetArguments(),
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	encoded := &peerpb.Table{Columns: table.Columns}
	for _, cells := range table.Rows {
		encoded.Rows = append(encoded.Rows, &peerpb.Row{Cells: cells})
	}
	return encoded, nil
}

// LiftBar passes on an operator's order to let requests through whose prompts have barred parts.
func (server *Server) LiftBar(ctx context.Context, lift *peerpb.BarLift) (*peerpb.Nothing, error) {
	from, err := server.authenticate(ctx)
	if err != nil {
		return nil, err
	}
	server.Router.Deliver(coltsfootlink.Delivery{From: from, Message: coltsfootlink.BarLift{
		Pool:  coltsfootlink.PoolName(lift.GetPool()),
		Parts: convertAll(lift.GetParts(), func(part uint64) coltsfootlink.PartID { return coltsfootlink.PartID(part) }),
	}})
	return &peerpb.Nothing{}, nil
}

// recoverStream ends a stream whose handler panics. gRPC would otherwise let the whole process end.
func (server *Server) recoverStream(service any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	defer server.recoverPanic(&err)
	return handle(service, stream)
}

// recoverCall does for calls what recoverStream does for streams.
func (server *Server) recoverCall(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	defer server.recoverPanic(&err)
	return handle(ctx, request)
}

// recoverPanic, if deferred, turns a panic into an error and logs it.
func (server *Server) recoverPanic(err *error) {
	if cause := recover(); cause != nil {
		server.Log.Error().Str("panic", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("peer: handling a peer's messages failed; its stream is closed")
		*err = status.Error(codes.Internal, "peer: handling the messages failed")
	}
}

// authenticate checks the caller's token and returns the name of the calling instance.
func (server *Server) authenticate(ctx context.Context) (coltsfootlink.InstanceName, error) {
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
