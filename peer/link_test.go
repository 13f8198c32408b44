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
	"coltsfootlink/timeline"
)

// TestLink sends a message from one instance to another, with a right token and a wrong one.
func TestLink(t *testing.T) {
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
			// Messages may be lost, so one is sent until it comes or enough have been refused.
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

// kept is a stream that keeps what is sent.
type kept struct {
	grpc.ClientStreamingClient[peerpb.Batch, peerpb.Nothing]
	sent []*peerpb.Message
}

// Send keeps the messages of a batch.
func (kept *kept) Send(batch *peerpb.Batch) error {
	kept.sent = append(kept.sent, batch.GetMessages()...)
	return nil
}

// TestQuestionsThatWaitedTooLong holds for messages that were put into the outbox some time ago.
func TestQuestionsThatWaitedTooLong(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		message coltsfootlink.Message
		sent    int
	}{
		"a question with time left":         {coltsfootlink.Ask{Serial: 1, Deadline: now.Add(time.Minute)}, 1},
		"a question without a deadline":     {coltsfootlink.Ask{Serial: 1}, 1},
		"a question past its deadline":      {coltsfootlink.Ask{Serial: 1, Deadline: now.Add(-time.Millisecond)}, 0},
		"what runs, though it is out of it": {coltsfootlink.Held{Requests: []coltsfootlink.HeldRequest{{Deadline: now.Add(-time.Minute)}}}, 1},
	}
	for name, test := range cases {
		Convey("what is of no use any more is not sent: "+name, t, func() {
			stream := new(kept)
			sending := &link{stamper: &timeline.HybridClock{Clock: coltsfootlink.SystemClock{}}, log: zerolog.Nop()}
			So(sending.send(&outStream{ClientStreamingClient: stream, names: newEncoder()}, []coltsfootlink.Message{test.message}), ShouldBeTrue)
			So(stream.sent, ShouldHaveLength, test.sent)
		})
	}
}

// TestFreshStamps holds for what a stream carries of the sender's stamps: each once, and again on a new stream.
func TestFreshStamps(t *testing.T) {
	cases := map[string]struct {
		latest []coltsfootlink.Stamp
		sent   []coltsfootlink.Stamp
	}{
		"no event yet":         {[]coltsfootlink.Stamp{0, 0}, []coltsfootlink.Stamp{0, 0}},
		"one event":            {[]coltsfootlink.Stamp{7, 7, 7}, []coltsfootlink.Stamp{7, 0, 0}},
		"an event in between":  {[]coltsfootlink.Stamp{7, 7, 9, 9}, []coltsfootlink.Stamp{7, 0, 9, 0}},
		"an event each time":   {[]coltsfootlink.Stamp{7, 8, 9}, []coltsfootlink.Stamp{7, 8, 9}},
		"the first event late": {[]coltsfootlink.Stamp{0, 3, 3}, []coltsfootlink.Stamp{0, 3, 0}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			for range 2 {
				stream := &outStream{}
				var sent []coltsfootlink.Stamp
				for _, latest := range test.latest {
					sent = append(sent, stream.freshStamp(latest))
				}
				So(sent, ShouldResemble, test.sent)
			}
		})
	}
}

// TestEventsAreOrdered holds for an instance whose clock is behind: what it notes after it was sent a message gets a
// later stamp than what the sender had noted before.
func TestEventsAreOrdered(t *testing.T) {
	Convey("a receiver's events come after those that the sender noted before it sent", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		router := &Router{Self: "b", Membership: mailbox.NewDeliveries()}
		ahead := &timeline.HybridClock{Clock: shifted{by: time.Hour}}
		behind := &timeline.HybridClock{Clock: shifted{by: -time.Hour}}
		server := &Server{Address: address, Secure: insecure.NewCredentials(), Stamper: behind, Router: router, Log: zerolog.Nop()}
		go func() { _ = server.Run(t.Context()) }()
		sending := &link{
			self: "a", to: "b", address: address, secure: insecure.NewCredentials(), stamper: ahead,
			log: zerolog.Nop(), outbox: mailbox.New[coltsfootlink.Message](), owner: mailbox.NewDeliveries(),
		}
		go func() { _ = sending.Run(t.Context()) }()
		for round := range coltsfootlink.Revision(3) {
			noted := ahead.Next()
			received := false
			// Messages may be lost, so one is sent until it comes.
			for tries := 0; !received && tries < 1000; tries++ {
				sending.outbox.Put(coltsfootlink.Heartbeat{Revision: round + 1})
				time.Sleep(5 * time.Millisecond)
				for _, delivery := range router.Membership.Drain() {
					received = received || delivery.Message.(coltsfootlink.Heartbeat).Revision == round+1
				}
			}
			So(received, ShouldBeTrue)
			So(behind.Next(), ShouldBeGreaterThan, noted)
		}
	})
}

// shifted is a clock that is ahead or behind.
type shifted struct{ by time.Duration }

func (clock shifted) Now() time.Time { return time.Now().Add(clock.by) }
