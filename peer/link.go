package peer

import (
	"context"
	"reflect"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/metrics"
	"coltsfootlink/peerpb"
)

const (
	// connectLimit is how long an attempt to connect may take.
	connectLimit = time.Second
	// maxBackoff is the longest pause between attempts to connect.
	maxBackoff = 500 * time.Millisecond
	// pingInterval is the time after which a silent connection is asked for a sign of life, and unackedLimit how
	// long bytes may go unacknowledged before the connection counts as broken: one that outlives a partition
	// would hold messages back for seconds after its end.
	pingInterval = 10 * time.Second
	unackedLimit = time.Second
	// bufferBytes is the size of the buffers of a connection between instances.
	bufferBytes = 4 << 10
	// windowBytes is the flow-control window of a connection. A window of this size or more is kept as it is;
	// otherwise the library would measure the connection with a ping for each message.
	windowBytes = 64 << 10
	// instanceKey is the metadata key of the sender's name.
	instanceKey = "instance"
	// tokenKey is the metadata key of the peers' token.
	tokenKey = "token"
)

// link owns the connection to one other instance and sends messages in order.
type link struct {
	self    coltsfootlink.InstanceName
	to      coltsfootlink.InstanceName
	address string
	token   string
	secure  credentials.TransportCredentials
	stamper coltsfootlink.Stamper
	log     zerolog.Logger
	outbox  *mailbox.Mailbox[coltsfootlink.Message]
	// owner is told when messages were lost.
	owner *mailbox.Deliveries
}

// outStream is one stream with its table of names.
type outStream struct {
	grpc.ClientStreamingClient[peerpb.Batch, peerpb.Nothing]
	names *encoder
	// stamp is the latest that the receiver was told.
	stamp coltsfootlink.Stamp
}

// Run sends messages until the context ends. Messages that cannot be sent are lost.
func (link *link) Run(ctx context.Context) error {
	conn, err := dial(link.address, link.secure)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client := peerpb.NewPeerClient(conn)
	var stream *outStream
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-link.outbox.Ready():
		}
		messages := link.outbox.Drain()
		if stream != nil && !stream.names.full() && link.send(stream, messages) {
			continue
		}
		// The old stream is broken, so the messages go over a new one.
		if stream != nil {
			link.owner.Put(coltsfootlink.Delivery{From: link.self, Message: coltsfootlink.LinkBroken{To: link.to}})
		}
		stream = link.open(ctx, client)
		if stream != nil && !link.send(stream, messages) {
			stream = nil
		}
	}
}

// open returns a new stream, or nil if the other instance does not answer.
func (link *link) open(ctx context.Context, client peerpb.PeerClient) *outStream {
	ctx = metadata.AppendToOutgoingContext(ctx, instanceKey, string(link.self), tokenKey, link.token)
	stream, err := client.Exchange(ctx)
	if err != nil {
		link.log.Debug().Err(err).Str("instance", string(link.to)).Msg("peer: instance does not answer")
		return nil
	}
	return &outStream{ClientStreamingClient: stream, names: newEncoder()}
}

// send sends messages in one batch; false if the stream is broken. Questions whose callers no longer wait are left out:
// times travel as spans, so that their owners would not know.
func (link *link) send(stream *outStream, messages []coltsfootlink.Message) bool {
	batch := new(peerpb.Batch)
	for _, message := range messages {
		if ask, is := message.(coltsfootlink.Ask); is && ask.Expired(time.Now()) {
			continue
		}
		encoded, err := stream.names.encode(message)
		if err != nil {
			link.log.Error().Err(err).Msg("peer: message dropped")
			continue
		}
		batch.Messages = append(batch.Messages, encoded)
		metrics.CountMessage(kindOf(message), proto.Size(encoded))
	}
	if len(batch.Messages) == 0 {
		return true
	}
	batch.Stamp = uint64(stream.freshStamp(link.stamper.Latest()))
	batch.Names = stream.names.takeFresh()
	return stream.Send(batch) == nil
}

// freshStamp returns a stamp that the receiver was not told yet; zero if it was. Only events make new ones.
func (stream *outStream) freshStamp(latest coltsfootlink.Stamp) coltsfootlink.Stamp {
	if latest == stream.stamp {
		return 0
	}
	stream.stamp = latest
	return latest
}

// kindOf returns the name of a message's type.
func kindOf(message coltsfootlink.Message) string {
	return reflect.TypeOf(message).Name()
}

// dial returns a connection that is opened when it is first used.
func dial(address string, secure credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(secure),
		grpc.WithNoProxy(),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithStatsHandler(metrics.Traffic{}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: unackedLimit, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: maxBackoff / 5, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectLimit,
		}),
	)
}
