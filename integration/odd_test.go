package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"coltsfootlink/peerpb"
	"coltsfootlink/platform"
)

// oddMessages holds a message of each kind without content, and some with numbers and references out of range.
func oddMessages() map[string]*peerpb.Message {
	messages := make(map[string]*peerpb.Message)
	kinds := new(peerpb.Message).ProtoReflect().Descriptor().Oneofs().ByName("kind").Fields()
	for index := range kinds.Len() {
		field := kinds.Get(index)
		message := new(peerpb.Message)
		message.ProtoReflect().Set(field, message.ProtoReflect().NewField(field))
		messages["an empty "+string(field.Name())] = message
	}
	const huge = 1<<32 - 1
	messages["no message"] = new(peerpb.Message)
	messages["an ask with numbers out of range"] = &peerpb.Message{Kind: &peerpb.Message_Ask{Ask: &peerpb.Ask{
		TargetRef: huge, TeamRef: huge, Rank: huge, Standing: huge, ObjectiveMillis: huge, Patience: -1,
		Work: &peerpb.Work{PromptTokens: huge, OutputTokens: huge, Prompt: []*peerpb.CachePart{{Tokens: huge}, nil}},
	}}}
	messages["a verdict on no ask"] = &peerpb.Message{Kind: &peerpb.Message_Verdict{Verdict: &peerpb.Verdict{Serial: 1 << 63, RetryMillis: huge, ExpectedMillis: huge}}}
	messages["a heartbeat without instance"] = &peerpb.Message{Kind: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{Beats: []*peerpb.Beat{nil, {}, {Instance: &peerpb.Instance{NameRef: huge}}}}}}
	messages["news that cannot be decoded"] = &peerpb.Message{Kind: &peerpb.Message_News{News: &peerpb.News{Records: []*peerpb.NewsRecord{nil, {Key: "config", Value: []byte("{"), Offset: 1 << 63}}}}}
	messages["a listing without names"] = &peerpb.Message{Kind: &peerpb.Message_ListReply{ListReply: &peerpb.ListReply{Instances: []*peerpb.Instance{nil, {}}, Targets: []*peerpb.Target{nil}}}}
	return messages
}

func TestOddMessagesDoNotEndAGateway(t *testing.T) {
	bed := startTestbed(t)
	gateway := bed.gateways[0]
	for name, message := range oddMessages() {
		Convey("a gateway outlives a peer's message, and goes on reading: "+name, t, func() {
			conn, err := grpc.NewClient("passthrough:///"+gateway.Peers, grpc.WithTransportCredentials(insecure.NewCredentials()))
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			stream, err := peerpb.NewPeerClient(conn).Exchange(t.Context())
			So(err, ShouldBeNil)
			So(stream.Send(&peerpb.Batch{Names: []string{"name", "\xff"[:0]}, Messages: []*peerpb.Message{message}}), ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
			So(gateway.Running(), ShouldBeTrue)
			So(proto.Size(message), ShouldBeLessThan, 1000)
		})
	}
	Convey("all gateways serve afterwards", t, func() {
		bed.expectRecovery(t, "/safe/a", []int{0, 1, 2, 3})
	})
}

// oddRecords are records that name no target to use.
func oddRecords() map[string]string {
	const sound = `{"service":"p","address":"%s","zone":"zone","version":"v1","slots":%s,"state":"ready","cold_remaining_ms":%s,"born":%s,"sequence":1}`
	entry := func(address, slots, cold, born string) string { return fmt.Sprintf(sound, address, slots, cold, born) }
	return map[string]string{
		"not JSON":                     "\x00\xff",
		"very deeply nested":           strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"deeply nested in a field":     `{"service":` + strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000) + "}",
		"a port out of range":          entry("127.0.0.1:99999", "4", "0", "1"),
		"no port":                      entry("127.0.0.1", "4", "0", "1"),
		"port zero":                    entry("127.0.0.1:0", "4", "0", "1"),
		"a host name":                  entry("localhost:80", "4", "0", "1"),
		"line breaks in the address":   entry(`127.0.0.1:80\r\nX: y`, "4", "0", "1"),
		"slots beyond all targets":     entry("127.0.0.1:80", "9000000000000000000", "0", "1"),
		"slots too large for a number": entry("127.0.0.1:80", "1e400", "0", "1"),
		"a cold start without end":     entry("127.0.0.1:80", "4", "1e300", "1"),
		"a cold start before all time": entry("127.0.0.1:80", "4", "-1e300", "1"),
		"a start after all time":       entry("127.0.0.1:80", "4", "0", "18446744073709551615"),
		"another type in a field":      `{"service":["p"],"address":{},"zone":1}`,
		"fields missing":               `{"state":"ready"}`,
		"version and sequence missing": `{"service":"p","address":"127.0.0.1:80","zone":"zone","slots":4,"state":"ready","cold_remaining_ms":0,"born":1}`,
		"a service that is not a name": `{"service":"p\u0000\n","address":"127.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"born":1,"sequence":1}`,
		"an empty document":            "{}",
		"a list":                       "[]",
		"a number":                     "7",
		"large, and not usable":        `{"service":"` + strings.Repeat("p", 200_000) + `"}`,
	}
}

func TestOddRecordsDoNotKeepGatewaysFromFollowing(t *testing.T) {
	// Two of the four gateways of a zone read the platform; the others learn from them.
	bed := startProxiedTestbed(t)
	stop := bed.load("/safe/a", 0, 1, 2, 3)
	for name, record := range oddRecords() {
		Convey("the record of a target names none to use, and the others hold: "+name, t, func() {
			for _, key := range []string{"odd", "odd\xff", "", "odd\r\nkey", strings.Repeat("k", 255)} {
				bed.append(t, platform.TargetTopic, key, []byte(record))
			}
			bed.append(t, platform.OperatorTopic, "rollout/p", []byte(record))
			bed.append(t, platform.OperatorTopic, "evacuate/", []byte(record))
			bed.append(t, platform.OperatorTopic, "config", []byte(record))
			for index := range bed.gateways {
				So(bed.gateways[index].Running(), ShouldBeTrue)
			}
		})
	}
	Convey("all gateways still follow the configuration and the targets, and have refused no call", t, func() {
		for _, result := range stop() {
			So(result.err, ShouldBeNil)
			So(result.status, ShouldEqual, http.StatusOK)
		}
		bed.configure(t, "new-key")
		added := &recordingTarget{name: "t-new", zone: zones[0], version: "v1"}
		bed.add(t, added)
		for index := range bed.gateways {
			eventually(t, "the new key is accepted", func() bool {
				status, _, err := bed.call(index, "/safe/a", fmt.Sprint("new-", index), "new-key")
				return err == nil && status == http.StatusOK
			})
		}
		eventually(t, "the new target gets requests", func() bool {
			for number := range 20 {
				_, _, _ = bed.call(number%4, "/safe/a", fmt.Sprint("more-", number, time.Now()), "new-key")
			}
			return added.arrivalsBetween(time.Time{}, time.Now()) > 0
		})
		fresh := bed.gateways[0]
		So(fresh.Kill(), ShouldBeNil)
		So(fresh.Start(), ShouldBeNil)
		So(fresh.WaitReady(t.Context()), ShouldBeNil)
		eventually(t, "a gateway that starts among these records serves", func() bool {
			status, _, err := bed.call(0, "/safe/a", fmt.Sprint("fresh-", time.Now()), "new-key")
			return err == nil && status == http.StatusOK
		})
	})
}
