package peer

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/peerpb"
	"coltsfootlink/supervisor"
	"coltsfootlink/timeline"
)

// TestLinkRequiresToken checks that a server delivers a link's messages only if the link has the server's token.
func TestLinkRequiresToken(t *testing.T) {
	cases := map[string]struct {
		token   string
		arrives bool
	}{
		"the peers' token": {"secret", true},
		"a wrong token":    {"guess", false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			address := listener.Addr().String()
			So(listener.Close(), ShouldBeNil)
			router := &Router{Self: "b", Membership: mailbox.NewDeliveries()}
			stamper := &timeline.HybridClock{Clock: coltsfootlink.SystemClock{}}
			server := &Server{Address: address, Token: "secret", Secure: insecure.NewCredentials(), Stamper: stamper, Router: router, Log: zerolog.Nop()}
			go func() { _ = server.Run(t.Context()) }()
			sending := &link{
				self: "a", to: "b", address: address, token: test.token, secure: insecure.NewCredentials(), stamper: stamper,
				log: zerolog.Nop(), outbox: mailbox.New[coltsfootlink.Message](), owner: mailbox.NewDeliveries(),
			}
			go func() { _ = sending.Run(t.Context()) }()
			var received []coltsfootlink.Delivery
			// Messages may be lost, so the message is sent until one is delivered; with the wrong token 20 times.
			for tries := 0; len(received) == 0 && (test.arrives || tries < 20); tries++ {
				sending.outbox.Put(messages["heartbeat"])
				time.Sleep(5 * time.Millisecond)
				received = router.Membership.Drain()
			}
			So(len(received) > 0, ShouldEqual, test.arrives)
			if test.arrives {
				So(received[0], ShouldResemble, coltsfootlink.Delivery{From: "a", Message: messages["heartbeat"]})
			}
		})
	}
}

// recordingStream is a client stream that records the messages sent on it.
type recordingStream struct {
	grpc.ClientStreamingClient[peerpb.Batch, peerpb.Nothing]
	sent []*peerpb.Message
}

// Send records the messages of a batch.
func (stream *recordingStream) Send(batch *peerpb.Batch) error {
	stream.sent = append(stream.sent, batch.GetMessages()...)
	return nil
}

// TestExpiredAsksAreNotSent checks that a link drops an Ask whose deadline passed while it was in the outbox, and no
// other message.
func TestExpiredAsksAreNotSent(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		message coltsfootlink.Message
		sent    int
	}{
		"an Ask before its deadline":              {coltsfootlink.Ask{Serial: 1, Deadline: now.Add(time.Minute)}, 1},
		"an Ask without a deadline":               {coltsfootlink.Ask{Serial: 1}, 1},
		"an Ask past its deadline":                {coltsfootlink.Ask{Serial: 1, Deadline: now.Add(-time.Millisecond)}, 0},
		"a Held with a request past its deadline": {coltsfootlink.Held{Requests: []coltsfootlink.HeldRequest{{Deadline: now.Add(-time.Minute)}}}, 1},
	}
	for name, test := range cases {
		Convey("only an expired Ask is dropped: "+name, t, func() {
			stream := new(recordingStream)
			sending := &link{stamper: &timeline.HybridClock{Clock: coltsfootlink.SystemClock{}}, log: zerolog.Nop()}
			So(sending.send(&outStream{ClientStreamingClient: stream, encoder: newEncoder()}, []coltsfootlink.Message{test.message}), ShouldBeTrue)
			So(stream.sent, ShouldHaveLength, test.sent)
		})
	}
}

// TestStampsAreSentOnce checks that a stream carries each stamp of the sender once, and that a new stream starts anew.
func TestStampsAreSentOnce(t *testing.T) {
	cases := map[string]struct {
		latest []coltsfootlink.Stamp
		sent   []coltsfootlink.Stamp
	}{
		"no event yet":                      {[]coltsfootlink.Stamp{0, 0}, []coltsfootlink.Stamp{0, 0}},
		"one event before the first batch":  {[]coltsfootlink.Stamp{7, 7, 7}, []coltsfootlink.Stamp{7, 0, 0}},
		"another event after two batches":   {[]coltsfootlink.Stamp{7, 7, 9, 9}, []coltsfootlink.Stamp{7, 0, 9, 0}},
		"an event before each batch":        {[]coltsfootlink.Stamp{7, 8, 9}, []coltsfootlink.Stamp{7, 8, 9}},
		"first event after the first batch": {[]coltsfootlink.Stamp{0, 3, 3}, []coltsfootlink.Stamp{0, 3, 0}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			for range 2 {
				stream := &outStream{}
				var sent []coltsfootlink.Stamp
				for _, latest := range test.latest {
					sent = append(sent, stream.newStamp(latest))
				}
				So(sent, ShouldResemble, test.sent)
			}
		})
	}
}

// TestReceivedStampsAdvanceTheClock checks that after receiving a message an instance issues greater stamps than the
// sender had issued before, although the receiver's system clock is two hours behind the sender's.
func TestReceivedStampsAdvanceTheClock(t *testing.T) {
	Convey("the receiver's next stamp is greater than the one that the sender issued before sending", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		router := &Router{Self: "b", Membership: mailbox.NewDeliveries()}
		ahead := &timeline.HybridClock{Clock: skewedClock{by: time.Hour}}
		behind := &timeline.HybridClock{Clock: skewedClock{by: -time.Hour}}
		server := &Server{Address: address, Secure: insecure.NewCredentials(), Stamper: behind, Router: router, Log: zerolog.Nop()}
		go func() { _ = server.Run(t.Context()) }()
		sending := &link{
			self: "a", to: "b", address: address, secure: insecure.NewCredentials(), stamper: ahead,
			log: zerolog.Nop(), outbox: mailbox.New[coltsfootlink.Message](), owner: mailbox.NewDeliveries(),
		}
		go func() { _ = sending.Run(t.Context()) }()
		for round := range coltsfootlink.Revision(3) {
			issued := ahead.Next()
			received := false
			// Messages may be lost, so the message is sent until it is delivered, at most 1000 times.
			for tries := 0; !received && tries < 1000; tries++ {
				sending.outbox.Put(coltsfootlink.Heartbeat{Revision: round + 1})
				time.Sleep(5 * time.Millisecond)
				for _, delivery := range router.Membership.Drain() {
					received = received || delivery.Message.(coltsfootlink.Heartbeat).Revision == round+1
				}
			}
			So(received, ShouldBeTrue)
			So(behind.Next(), ShouldBeGreaterThan, issued)
		}
	})
}

// skewedClock is a clock that differs from the system clock by a fixed duration.
type skewedClock struct{ by time.Duration }

func (clock skewedClock) Now() time.Time { return time.Now().Add(clock.by) }

// TestIdleLinksAreClosed checks that a link is closed once no message was sent on it for a while, and opened again.
func TestIdleLinksAreClosed(t *testing.T) {
	Convey("links are kept while they are used", t, func() {
		links := &Links{
			Self: "a", Secure: insecure.NewCredentials(), Log: zerolog.Nop(), Branch: supervisor.New("links", zerolog.Nop()),
			Stamper: &timeline.HybridClock{Clock: coltsfootlink.SystemClock{}}, links: make(map[coltsfootlink.InstanceName]handle),
		}
		for _, name := range []coltsfootlink.InstanceName{"b", "c"} {
			links.view.Members = append(links.view.Members, coltsfootlink.Member{Instance: coltsfootlink.Instance{Name: name, PeerAddress: "127.0.0.1:1"}, Live: true})
			links.forward(Outgoing{To: name, Message: coltsfootlink.Heartbeat{}})
		}
		used := links.links["c"]
		used.idleAt = used.idleAt.Add(idleTimeout)
		links.links["c"] = used
		links.closeIdle(time.Now().Add(idleTimeout / 2))
		So(links.links, ShouldHaveLength, 2)
		links.closeIdle(time.Now().Add(idleTimeout + time.Second))
		So(links.links, ShouldHaveLength, 1)
		So(links.links["c"].outbox, ShouldNotBeNil)
		links.forward(Outgoing{To: "b", Message: coltsfootlink.Heartbeat{}})
		So(links.links, ShouldHaveLength, 2)
	})
}
