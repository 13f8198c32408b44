package ingress

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
	"coltsfootlink/share"
	"coltsfootlink/upstream"
)

// fakeTarget answers each request with what its script says, once per connection.
type fakeTarget struct {
	coltsfootlink.Target
	mutex    sync.Mutex
	requests []*http.Request
}

// startTarget runs a target that writes text after each request and then closes the connection.
func startTarget(t *testing.T, name coltsfootlink.TargetName, text string) *fakeTarget {
	t.Helper()
	fake := &fakeTarget{Target: coltsfootlink.Target{Name: name, Pool: "p"}}
	var err error
	if text == nobody {
		fake.Address, err = loopback.FreeAddress()
	} else {
		fake.Address, err = loopback.Serve(t.Context(), func(conn net.Conn) { fake.answer(conn, text) })
	}
	if err != nil {
		t.Fatal(err)
	}
	return fake
}

func (fake *fakeTarget) answer(conn net.Conn, text string) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	fake.mutex.Lock()
	fake.requests = append(fake.requests, request)
	fake.mutex.Unlock()
	_, _ = conn.Write([]byte(text))
}

func (fake *fakeTarget) seen() []*http.Request {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.requests
}

// offer is a dispatcher that offers targets in their order, and notes what is reported of them.
type offer struct {
	inbox   *mailbox.Deliveries
	targets []*fakeTarget
	refusal *coltsfootlink.Refusal
	// endsAt is when the instance ends; zero if it goes on.
	endsAt time.Time
	// most is how many requests the service takes at once.
	most int
	// mostChoosing is how many may wait for a target; slow says that none gets one.
	mostChoosing int64
	slow         bool
	// hold is called before a target is offered; nil if none waits.
	hold func()
	// state is how far the processor is behind.
	state pressure.State
	// passes says whether new connections are passed on.
	passes func() bool
	// shares is what is known of the teams' shares.
	shares coltsfootlink.Shares
	// log is the service's; by default nobody reads it.
	log zerolog.Logger

	mutex   sync.Mutex
	reports []dispatch.Report
	sheds   []dispatch.Shed
}

func (offer *offer) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-offer.inbox.Ready():
		}
		for _, delivery := range offer.inbox.Drain() {
			switch message := delivery.Message.(type) {
			case dispatch.Want:
				if offer.hold != nil {
					offer.hold()
				}
				if !offer.slow {
					message.Reply <- offer.choose(message)
					continue
				}
				go func() {
					<-message.Gone
					message.Reply <- dispatch.Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.CallerGone, "gone")}
				}()
			case dispatch.Report:
				offer.mutex.Lock()
				offer.reports = append(offer.reports, message)
				offer.mutex.Unlock()
			case dispatch.Shed:
				offer.mutex.Lock()
				offer.sheds = append(offer.sheds, message)
				offer.mutex.Unlock()
			}
		}
	}
}

func (offer *offer) choose(want dispatch.Want) dispatch.Choice {
	for serial, fake := range offer.targets {
		if !want.Avoid[fake.Name] {
			return dispatch.Choice{Serial: uint64(serial), Target: fake.Target}
		}
	}
	if offer.refusal != nil {
		return dispatch.Choice{Refusal: offer.refusal}
	}
	return dispatch.Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.NoTarget, "none left")}
}

// results returns how the requests ended, in order.
func (offer *offer) results() []coltsfootlink.Result {
	offer.mutex.Lock()
	defer offer.mutex.Unlock()
	var results []coltsfootlink.Result
	for _, report := range offer.reports {
		if report.Stage == coltsfootlink.Ended {
			results = append(results, report.Result)
		}
	}
	return results
}

// shedsOf waits until that many requests were not offered, and returns all that were not.
func (offer *offer) shedsOf(count int) []dispatch.Shed {
	sheds := func() []dispatch.Shed {
		offer.mutex.Lock()
		defer offer.mutex.Unlock()
		return offer.sheds
	}
	for end := time.Now().Add(time.Second); len(sheds()) < count && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return sheds()
}

// rules has one rule for each kind of request.
func rules() []coltsfootlink.RoutingRule {
	rule := func(name string, kind coltsfootlink.RequestKind, attempts int) coltsfootlink.RoutingRule {
		return coltsfootlink.RoutingRule{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Splits: []coltsfootlink.Split{{Pool: "p", Weight: 1}},
			Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: attempts, Public: true,
		}
	}
	resumable := rule("resumable", coltsfootlink.StreamRequest, 2)
	resumable.Resumable = true
	private := rule("private", coltsfootlink.SafeRequest, 2)
	private.Public = false
	return []coltsfootlink.RoutingRule{
		rule("safe", coltsfootlink.SafeRequest, 2), rule("unsafe", coltsfootlink.UnsafeRequest, 2), rule("once", coltsfootlink.SafeRequest, 1),
		rule("stream", coltsfootlink.StreamRequest, 2), resumable, private,
	}
}

// newService returns a service with the given targets, whose tasks run until the test ends.
func newService(t testing.TB, offered *offer, known bool) *Service {
	t.Helper()
	offered.inbox = mailbox.NewDeliveries()
	if offered.most == 0 {
		offered.most = 100
	}
	keeper := &upstream.Keeper{Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
	gate := &Gate{Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop()}
	if known {
		table := coltsfootlink.RoutingTable{Version: 1, Limits: coltsfootlink.CallerLimits{BodyBytes: 1000}}
		table = table.WithRules(rules()).WithKeys("team", []string{"key"})
		gate.follow(coltsfootlink.Catalog{}.WithTable(table))
	}
	standings := share.Standings{}.WithShares(time.Now(), offered.shares)
	gate.standings.Store(&standings)
	gate.pressure.Store(&offered.state)
	if !offered.endsAt.IsZero() {
		gate.endsAt.Store(&offered.endsAt)
	}
	service := &Service{
		Gate: gate, Clock: coltsfootlink.SystemClock{}, Dispatch: offered.inbox, Log: offered.log,
		Open: new(atomic.Int64), MaxOpen: 100, MaxActive: int64(offered.most), MaxChoosing: cmp.Or(offered.mostChoosing, 100),
		Passes: offered.passes,
		Client: &upstream.Client{Clock: coltsfootlink.SystemClock{}, Keeper: keeper.Inbox},
	}
	ctx := t.Context()
	go func() { _ = keeper.Run(ctx) }()
	go offered.run(ctx.Done())
	return service
}

// start serves callers with the given targets and returns the address.
func start(t *testing.T, offered *offer, known bool) string {
	t.Helper()
	server := httptest.NewServer(newService(t, offered, known))
	t.Cleanup(server.Close)
	return server.URL
}

// request sends one request and returns the answer's status, headers and body.
func request(t *testing.T, url, path, body, key string) (int, http.Header, string, error) {
	t.Helper()
	header := http.Header{"Time-Left-Ms": {"1500"}}
	if key != "" {
		header.Set("Authorization", "Bearer "+key)
	}
	return requestWith(t, url, path, body, header)
}

// requestWith sends one request with headers of its own.
func requestWith(t *testing.T, url, path, body string, header http.Header) (int, http.Header, string, error) {
	t.Helper()
	outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	outgoing.Host = "h"
	outgoing.Header = header
	outgoing.Header.Set("Attempt-Id", "r-1")
	response, err := http.DefaultTransport.RoundTrip(outgoing)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(text), err
}

const (
	nobody  = "nobody"
	reset   = ""
	shed    = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	moved   = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	good    = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 4\r\n\r\nroof"
	bare    = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 4\r\n\r\nroof"
	encoded = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nroof"
	failed  = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 4\r\n\r\noops"
	full503 = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-1\r\nContent-Length: 4\r\n\r\noops"
	short   = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 9\r\n\r\nroof"
)

// events is a stream of events with identifiers, ended as the last argument says.
func events(first, last int, end string) string {
	text := "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for id := first; id <= last; id++ {
		event := eventText(id)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	return text + end
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// TestAttempts holds for one request and the targets that it is sent to in turn.
func TestAttempts(t *testing.T) {
	cases := map[string]struct {
		path    string
		targets []string
		status  int
		body    string
		sent    int
		results []coltsfootlink.Result
	}{
		"whole":                                  {"/safe/a", []string{good}, 200, "roof", 1, []coltsfootlink.Result{coltsfootlink.Succeeded}},
		"shed, then whole":                       {"/unsafe/a", []string{shed, good}, 200, "roof", 2, []coltsfootlink.Result{coltsfootlink.Failed, coltsfootlink.Succeeded}},
		"shed by all":                            {"/unsafe/a", []string{shed, shed, good}, 503, "", 2, nil},
		"shed where one attempt is allowed":      {"/once/a", []string{shed, good}, 503, "", 1, nil},
		"nobody there, then whole":               {"/unsafe/a", []string{nobody, good}, 200, "roof", 1, []coltsfootlink.Result{coltsfootlink.Refused, coltsfootlink.Succeeded}},
		"another target at the address":          {"/once/a", []string{moved, good}, 200, "roof", 2, nil},
		"safe and broken":                        {"/safe/a", []string{reset, good}, 200, "roof", 2, []coltsfootlink.Result{coltsfootlink.Crashed, coltsfootlink.Succeeded}},
		"unsafe and broken runs only once":       {"/unsafe/a", []string{reset, good}, 502, "", 1, []coltsfootlink.Result{coltsfootlink.Crashed}},
		"safe and short":                         {"/safe/a", []string{short, good}, 200, "roof", 2, nil},
		"unsafe and short":                       {"/unsafe/a", []string{short, good}, 502, "", 1, nil},
		"no signature":                           {"/unsafe/a", []string{bare}, 502, "", 1, nil},
		"encoded, though nobody asked for it":    {"/unsafe/a", []string{encoded}, 502, "", 1, nil},
		"failed, and may be repeated":            {"/safe/a", []string{failed, good}, 200, "roof", 2, []coltsfootlink.Result{coltsfootlink.Failed, coltsfootlink.Succeeded}},
		"failed, and may not":                    {"/unsafe/a", []string{failed, good}, 500, "oops", 1, []coltsfootlink.Result{coltsfootlink.Failed}},
		"failed by all":                          {"/safe/a", []string{failed, failed, good}, 500, "oops", 2, nil},
		"a 503 that does not say it has not run": {"/unsafe/a", []string{full503, good}, 502, "", 1, nil},
		"no target":                              {"/unsafe/a", nil, 503, "", 0, nil},
		"a whole stream":                         {"/stream/a", []string{events(1, 3, "0\r\n\r\n")}, 200, eventText(1) + eventText(2) + eventText(3), 1, []coltsfootlink.Result{coltsfootlink.Succeeded}},
		"a stream that broke before its start":   {"/stream/a", []string{reset, events(1, 1, "0\r\n\r\n")}, 502, "", 1, nil},
		"a stream that goes on elsewhere":        {"/resumable/a", []string{events(1, 2, "7\r\nid: 3\nd"), events(3, 4, "0\r\n\r\n")}, 200, eventText(1) + eventText(2) + eventText(3) + eventText(4), 2, []coltsfootlink.Result{coltsfootlink.Crashed, coltsfootlink.Succeeded}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			offered := new(offer)
			for index, text := range test.targets {
				offered.targets = append(offered.targets, startTarget(t, coltsfootlink.TargetName(fmt.Sprint("t-", index)), text))
			}
			status, header, body, err := request(t, start(t, offered, true), test.path, "plan", "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(body, ShouldEqual, test.body)
			So(header.Get("Attempt-Id"), ShouldEqual, "r-1")
			So(header.Get("Answer-Stamp") != "", ShouldEqual, test.body != "")
			So(header.Get("Retry-After") != "", ShouldEqual, test.status == 503)
			sent := 0
			for _, fake := range offered.targets {
				sent += len(fake.seen())
			}
			So(sent, ShouldEqual, test.sent)
			if test.results != nil {
				time.Sleep(10 * time.Millisecond)
				So(offered.results(), ShouldResemble, test.results)
			}
		})
	}
}

func TestBrokenStreams(t *testing.T) {
	broken := events(1, 2, "9\r\nid: 3")
	cases := map[string]struct {
		path    string
		targets []string
	}{
		"cut between events":                   {"/stream/a", []string{events(1, 2, "")}},
		"cut in the middle of one":             {"/stream/a", []string{broken}},
		"cut, and nobody else can go on":       {"/resumable/a", []string{broken}},
		"ended in the middle of one event":     {"/resumable/a", []string{events(1, 2, "5\r\nid: 3\r\n0\r\n\r\n")}},
		"cut, and the next target fails":       {"/resumable/a", []string{broken, failed}},
		"cut, and the next answers in one":     {"/resumable/a", []string{broken, good}},
		"cut, and the next has not run it":     {"/resumable/a", []string{broken, shed}},
		"cut, and the next is cut before it":   {"/resumable/a", []string{broken, reset}},
		"cut, and the next is not who it says": {"/resumable/a", []string{broken, bare}},
	}
	for name, test := range cases {
		Convey("a broken stream does not look whole: "+name, t, func() {
			offered := new(offer)
			for index, text := range test.targets {
				offered.targets = append(offered.targets, startTarget(t, coltsfootlink.TargetName(fmt.Sprint("t-", index)), text))
			}
			status, _, body, err := request(t, start(t, offered, true), test.path, "plan", "")
			So(status, ShouldEqual, 200)
			So(err, ShouldNotBeNil)
			So(body, ShouldStartWith, eventText(1))
			So(eventText(1)+eventText(2)+eventText(3), ShouldStartWith, body)
		})
	}
	Convey("the next target is told after which event the stream goes on", t, func() {
		second := startTarget(t, "u", events(3, 3, "0\r\n\r\n"))
		offered := &offer{targets: []*fakeTarget{startTarget(t, "t", events(1, 2, "")), second}}
		_, _, _, err := request(t, start(t, offered, true), "/resumable/a", "plan", "")
		So(err, ShouldBeNil)
		So(second.seen()[0].Header.Get("Last-Event-Id"), ShouldEqual, "2")
	})
}

// TestRefusals holds for requests that no target sees.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		path, body, key string
		known           bool
		status          int
	}{
		"no configuration is known": {"/safe/a", "plan", "", false, 503},
		"no route":                  {"/novel/a", "plan", "", true, 404},
		"no key":                    {"/private/a", "plan", "", true, 401},
		"an unknown key":            {"/private/a", "plan", "guess", true, 401},
		"a body that is too large":  {"/safe/a", strings.Repeat("plan", 1000), "", true, 413},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			fake := startTarget(t, "t", good)
			status, header, _, err := request(t, start(t, &offer{targets: []*fakeTarget{fake}}, test.known), test.path, test.body, test.key)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(header.Get("Answer-Stamp"), ShouldBeEmpty)
			So(fake.seen(), ShouldBeEmpty)
		})
	}
	Convey("a known key is exchanged for its team", t, func() {
		fake := startTarget(t, "t", good)
		status, _, _, err := request(t, start(t, &offer{targets: []*fakeTarget{fake}}, true), "/private/a", "plan", "key")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 200)
		So(fake.seen()[0].Header.Get("Tenant"), ShouldEqual, "team")
		So(fake.seen()[0].Header.Get("Authorization"), ShouldBeEmpty)
	})
	Convey("a refusal says when to come again", t, func() {
		offered := &offer{refusal: coltsfootlink.Refuse(coltsfootlink.TargetFull, "full").WithRetryAt(time.Now().Add(300 * time.Millisecond))}
		status, header, _, err := request(t, start(t, offered, true), "/safe/a", "plan", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(header.Get("Retry-After"), ShouldBeBetween, "0.100", "0.301")
	})
}

func TestStoppingInstance(t *testing.T) {
	cases := map[string]struct {
		left   time.Duration
		status int
	}{
		"a request that is over in time is served":    {time.Minute, 200},
		"one that may last longer is refused at once": {time.Second, 503},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			offered := &offer{targets: []*fakeTarget{startTarget(t, "t", good)}}
			offered.endsAt = time.Now().Add(test.left)
			status, header, _, err := request(t, start(t, offered, true), "/unsafe/a", "plan", "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(header.Get("Retry-After") != "", ShouldEqual, test.status == 503)
			So(offered.targets[0].seen(), ShouldHaveLength, map[int]int{200: 1, 503: 0}[test.status])
		})
	}
}

func TestPressure(t *testing.T) {
	Convey("requests beyond the most at once are refused without a target", t, func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		silent := &fakeTarget{Target: coltsfootlink.Target{Name: "t", Address: listener.Addr().String()}}
		url := start(t, &offer{targets: []*fakeTarget{silent}, most: 1}, true)
		held := make(chan int, 1)
		go func() {
			status, _, _, _ := request(t, url, "/safe/a", "plan", "")
			held <- status
		}()
		time.Sleep(100 * time.Millisecond)
		status, header, _, err := request(t, url, "/safe/a", "plan", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(header.Get("Retry-After"), ShouldNotBeEmpty)
		So(<-held, ShouldEqual, 504)
	})
	Convey("what is refused for the processor counts as asked for by its team", t, func() {
		offered := &offer{slow: true, mostChoosing: -1}
		status, _, _, err := request(t, start(t, offered, true), "/private/a", "plan", "key")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(offered.shedsOf(1), ShouldResemble, []dispatch.Shed{{Pool: "p", Team: "team"}})
	})
	for name, passes := range map[string]bool{"and others have room": true, "and no other has room": false} {
		Convey("a refused caller's connection ends if a new one would be passed on: the processor is behind, "+name, t, func() {
			offered := &offer{slow: true, mostChoosing: -1, passes: func() bool { return passes }}
			outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodPost, start(t, offered, true)+"/safe/a", strings.NewReader("plan"))
			So(err, ShouldBeNil)
			outgoing.Host = "h"
			response, err := http.DefaultTransport.RoundTrip(outgoing)
			So(err, ShouldBeNil)
			_ = response.Body.Close()
			So(response.StatusCode, ShouldEqual, 503)
			So(response.Close, ShouldEqual, passes)
		})
	}
	Convey("requests beyond the most that wait for a target are refused before their bodies are read", t, func() {
		url := start(t, &offer{slow: true, mostChoosing: 1}, true)
		ctx, leave := context.WithCancel(t.Context())
		held, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/safe/a", strings.NewReader("plan"))
		So(err, ShouldBeNil)
		held.Host = "h"
		left := make(chan error, 1)
		go func() {
			response, err := http.DefaultTransport.RoundTrip(held)
			if err == nil {
				_ = response.Body.Close()
			}
			left <- err
		}()
		time.Sleep(100 * time.Millisecond)
		status, header, _, err := request(t, url, "/safe/a", "plan", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(header.Get("Retry-After"), ShouldEqual, "0.050")
		leave()
		So(<-left, ShouldNotBeNil)
	})
}

func TestLateRequests(t *testing.T) {
	cases := map[string]struct {
		wait        time.Duration
		least, most time.Duration
	}{
		"calm":                    {0, 1400 * time.Millisecond, 1900 * time.Millisecond},
		"late by the allowed":     {50 * time.Millisecond, 1400 * time.Millisecond, 1900 * time.Millisecond},
		"late by a second":        {time.Second, 400 * time.Millisecond, 900 * time.Millisecond},
		"later than its deadline": {time.Minute, 0, 400 * time.Millisecond},
	}
	for name, test := range cases {
		Convey("no request is worked on after its caller has left, however late it was seen: "+name, t, func() {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			silent := &fakeTarget{Target: coltsfootlink.Target{Name: "t", Address: listener.Addr().String()}}
			url := start(t, &offer{targets: []*fakeTarget{silent}, state: pressure.State{}.WithWait(test.wait)}, true)
			began := time.Now()
			status, _, _, err := request(t, url, "/safe/a", "plan", "")
			So(err, ShouldBeNil)
			So(status, ShouldBeIn, 503, 504)
			So(time.Since(began), ShouldBeBetween, test.least, test.most)
		})
	}
}

// TestShares holds for requests of a team that asks for more than its share.
func TestShares(t *testing.T) {
	cases := map[string]struct {
		path   string
		share  coltsfootlink.TeamShare
		status int
		sheds  []dispatch.Shed
	}{
		"none of the surplus is offered": {"/private/a", coltsfootlink.TeamShare{Team: "team"}, 503, []dispatch.Shed{{Pool: "p", Team: "team"}}},
		"all of it is offered":           {"/private/a", coltsfootlink.TeamShare{Team: "team", Surplus: 1}, 200, nil},
		"all is within the share":        {"/private/a", coltsfootlink.TeamShare{Team: "team", Entitled: 1}, 200, nil},
		"another team":                   {"/private/a", coltsfootlink.TeamShare{Team: "other"}, 200, nil},
		"a rule without teams":           {"/safe/a", coltsfootlink.TeamShare{}, 200, nil},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			offered := &offer{
				targets: []*fakeTarget{startTarget(t, "t", good)},
				shares:  coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{test.share}},
			}
			status, header, _, err := request(t, start(t, offered, true), test.path, strings.Repeat("plan", 200), "key")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(header.Get("Retry-After") != "", ShouldEqual, test.status == 503)
			So(offered.shedsOf(len(test.sheds)), ShouldResemble, test.sheds)
			So(offered.targets[0].seen(), ShouldHaveLength, map[int]int{200: 1, 503: 0}[test.status])
		})
	}
}

func TestTimeouts(t *testing.T) {
	Convey("a target that never answers is given up at the caller's deadline", t, func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		silent := &fakeTarget{Target: coltsfootlink.Target{Name: "t", Address: listener.Addr().String()}}
		begun := time.Now()
		status, _, _, err := request(t, start(t, &offer{targets: []*fakeTarget{silent}}, true), "/safe/a", "plan", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 504)
		So(time.Since(begun), ShouldBeBetween, 1400*time.Millisecond, 2*time.Second)
	})
}
