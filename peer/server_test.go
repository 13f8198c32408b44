package peer

import (
	"testing"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/peerpb"
	"coltsfootlink/timeline"
)

// TestPanicsEndOnlyTheirStream checks that a server whose handling of messages panics, here for lack of a router, answers
// the next stream.
func TestPanicsEndOnlyTheirStream(t *testing.T) {
	Convey("a message whose handling panics ends its stream with an error", t, func() {
		address, err := loopback.FreeAddress()
		So(err, ShouldBeNil)
		server := &Server{Address: address, Secure: insecure.NewCredentials(), Stamper: &timeline.HybridClock{Clock: coltsfootlink.SystemClock{}}, Log: zerolog.Nop()}
		go func() { _ = server.Run(t.Context()) }()
		conn, err := dial(address, insecure.NewCredentials())
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		failures := 0
		// The server may not listen yet.
		for attempt := 0; failures < 2 && attempt < 100; attempt++ {
			stream, err := peerpb.NewPeerClient(conn).Exchange(t.Context())
			if err != nil {
				continue
			}
			encoded, err := newEncoder().encode(coltsfootlink.Heartbeat{})
			So(err, ShouldBeNil)
			_ = stream.Send(&peerpb.Batch{Messages: []*peerpb.Message{encoded}})
			if _, err = stream.CloseAndRecv(); status.Code(err) == codes.Internal {
				failures++
			}
		}
		So(failures, ShouldEqual, 2)
	})
}

// TestMessagesWithoutReceiver checks that a message for a task that an instance does not run is dropped.
func TestMessagesWithoutReceiver(t *testing.T) {
	for name, message := range messages {
		Convey(name, t, func() {
			So(func() { new(Router).Deliver(coltsfootlink.Delivery{Message: message}) }, ShouldNotPanic)
		})
	}
}
