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
	// connectTimeout is the time that gRPC allows for an attempt to connect.
	connectTimeout = time.Second
	// maxBackoff is the maximum delay between attempts to connect.
	maxBackoff = 500 * time.Millisecond
	// pingInterval is the time after which an idle connection is probed by a keepalive ping, and ackTimeout how long
	// a ping or other bytes may go unacknowledged before the connection is closed as broken. A connection that
	// outlived a network partition would delay messages for seconds after the partition's end.
	pingInterval = 10 * time.Second
	ackTimeout   = time.Second
	// bufferBytes is the size of the read buffer and of the write buffer of a connection between instances.
	bufferBytes = 4 << 10
	// windowBytes is the flow-control window of a connection and of its streams. gRPC keeps a window of this size or
	// more fixed; with a smaller one it would estimate the bandwidth-delay product with a ping for each message.
	windowBytes = 64 << 10
	// instanceKey is the gRPC metadata key of the sender's instance name.
	instanceKey = "instance"
	// tokenKey is the gRPC metadata key of the token that all peers share.
	tokenKey = "token"
)

// link is a task that owns the connection to one other instance and sends messages over it in order.
type link struct {
	self    coltsfootlink.InstanceName
	to      coltsfootlink.InstanceName
	address string
	token   string
	secure  credentials.TransportCredentials
	stamper coltsfootlink.Stamper
	log     zerolog.Logger
	outbox  *mailbox.Mailbox[coltsfootlink.Message]
	// owner is the mailbox that receives LinkBroken when messages may have been lost.
	owner *mailbox.Deliveries
}

// outStream is the sending side of one Exchange stream, with its name table.
type outStream struct {
	grpc.ClientStreamingClient[peerpb.Batch, peerpb.Nothing]
	encoder *encoder
	// lastStamp is the stamp last sent on the stream; zero if none was.
	lastStamp coltsfootlink.Stamp
}

// Run sends the messages of the outbox until the context ends. After an error it opens a new stream and sends the same
// batch once more; messages are lost if that fails too, and so are those that a broken stream had accepted but not
// delivered.
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
		if stream != nil && !stream.encoder.full() && link.send(stream, messages) {
			continue
		}
		// The old stream is broken or its name table is full, so the messages are sent on a new one.
		if stream != nil {
			link.owner.Put(coltsfootlink.Delivery{From: link.self, Message: coltsfootlink.LinkBroken{To: link.to}})
		}
		stream = link.open(ctx, client)
		if stream != nil && !link.send(stream, messages) {
			stream = nil
		}
	}
}

// open returns a new stream, or nil if none can be opened to the other instance.
func (link *link) open(ctx context.Context, client peerpb.PeerClient) *outStream {
	ctx = metadata.AppendToOutgoingContext(ctx, instanceKey, string(link.self), tokenKey, link.token)
	stream, err := client.Exchange(ctx)
	if err != nil {
		link.log.Debug().Err(err).Str("instance", string(link.to)).Msg("peer: opening a stream failed; messages are lost")
		return nil
	}
	return &outStream{ClientStreamingClient: stream, encoder: newEncoder()}
}

// send sends messages in one batch and returns false if the stream is broken. It drops Asks whose deadline has passed:
// deadlines are sent as a remaining time of at least 1 ms, so the receiver would take them for unexpired.
func (link *link) send(stream *outStream, messages []coltsfootlink.Message) bool {
	batch := new(peerpb.Batch)
	for _, message := range messages {
		if ask, is := message.(coltsfootlink.Ask); is && ask.Expired(time.Now()) {
			continue
		}
		encoded, err := stream.encoder.encode(message)
		if err != nil {
			link.log.Error().Err(err).Msg("peer: encoding failed; message dropped")
			continue
		}
		batch.Messages = append(batch.Messages, encoded)
		metrics.CountMessage(kindOf(message), proto.Size(encoded))
	}
	if len(batch.Messages) == 0 {
		return true
	}
	batch.Stamp = uint64(stream.newStamp(link.stamper.Latest()))
	batch.Names = stream.encoder.takeUnsent()
	return stream.Send(batch) == nil
}

// newStamp returns the latest stamp if it has not been sent on the stream yet, zero otherwise. Stamps change only with
// events, so most batches carry none.
func (stream *outStream) newStamp(latest coltsfootlink.Stamp) coltsfootlink.Stamp {
	if latest == stream.lastStamp {
		return 0
	}
	stream.lastStamp = latest
	return latest
}

// kindOf returns the Go type name of a message, taken by reflection. It is the kind label of the metric
// control-bytes-by-kind, so renaming a message type changes the metric.
func kindOf(message coltsfootlink.Message) string {
	return reflect.TypeOf(message).Name()
}

// dial returns a connection that gRPC opens lazily, on the first call.
func dial(address string, secure credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(secure),
		grpc.WithNoProxy(),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithStatsHandler(metrics.Traffic{}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: ackTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: maxBackoff / 5, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	)
}
