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
	"golang.org/x/time/rate"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/memory"
	"coltsfootlink/pressure"
	"coltsfootlink/share"
	"coltsfootlink/upstream"
)

// fakeTarget is a target that answers one request per connection with a fixed text and records the requests.
type fakeTarget struct {
	coltsfootlink.Target
	mutex    sync.Mutex
	requests []*http.Request
}

// startTarget starts a target that writes text after each request and then closes the connection.
func startTarget(t *testing.T, name coltsfootlink.TargetName, text string) *fakeTarget {
	t.Helper()
	fake := &fakeTarget{Target: coltsfootlink.Target{Name: name, Pool: "p"}}
	var err error
	if text == noListener {
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

func (fake *fakeTarget) received() []*http.Request {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.requests
}

// fakeDispatcher offers its targets in order and records what is reported about them.
type fakeDispatcher struct {
	inbox   *mailbox.Deliveries
	targets []*fakeTarget
	refusal *coltsfootlink.Refusal
	// endsAt is when the instance stops; zero if it does not.
	endsAt time.Time
	// maxActive limits the requests that the service serves at once.
	maxActive int
	// maxWaiting limits the requests that wait for a target; neverReplies keeps all of them waiting until they are
	// cancelled.
	maxWaiting   int64
	neverReplies bool
	// beforeReply is called before a target is offered; nil to offer it at once.
	beforeReply func()
	// pressure is the CPU pressure of the instance.
	pressure pressure.State
	// wouldForward reports whether new connections would be forwarded.
	wouldForward func() bool
	// memoryBytes is the budget for large bodies; zero for one that suffices.
	memoryBytes int64
	// shares is the announcement of the team shares.
	shares coltsfootlink.Shares
	// log is the service's logger; the zero value discards everything.
	log zerolog.Logger

	mutex   sync.Mutex
	reports []dispatch.Report
	sheds   []dispatch.Shed
}

func (dispatcher *fakeDispatcher) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-dispatcher.inbox.Ready():
		}
		for _, delivery := range dispatcher.inbox.Drain() {
			switch message := delivery.Message.(type) {
			case dispatch.Want:
				if dispatcher.beforeReply != nil {
					dispatcher.beforeReply()
				}
				if !dispatcher.neverReplies {
					message.Reply <- dispatcher.choose(message)
					continue
				}
				go func() {
					<-message.Gone
					message.Reply <- dispatch.Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.CallerGone, "gone")}
				}()
			case dispatch.Report:
				dispatcher.mutex.Lock()
				dispatcher.reports = append(dispatcher.reports, message)
				dispatcher.mutex.Unlock()
			case dispatch.Shed:
				dispatcher.mutex.Lock()
				dispatcher.sheds = append(dispatcher.sheds, message)
				dispatcher.mutex.Unlock()
			}
		}
	}
}

func (dispatcher *fakeDispatcher) choose(want dispatch.Want) dispatch.Choice {
	for serial, fake := range dispatcher.targets {
		if !want.Avoid[fake.Name] {
			return dispatch.Choice{Serial: uint64(serial), Target: fake.Target}
		}
	}
	if dispatcher.refusal != nil {
		return dispatch.Choice{Refusal: dispatcher.refusal}
	}
	return dispatch.Choice{Refusal: coltsfootlink.Refuse(coltsfootlink.NoTarget, "none left")}
}

// results returns the results of all attempts, in order.
func (dispatcher *fakeDispatcher) results() []coltsfootlink.Result {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var results []coltsfootlink.Result
	for _, report := range dispatcher.reports {
		if report.Stage == coltsfootlink.Ended {
			results = append(results, report.Result)
		}
	}
	return results
}

// waitForSheds waits up to a second for that many reports of shed requests, and returns all that arrived.
func (dispatcher *fakeDispatcher) waitForSheds(count int) []dispatch.Shed {
	sheds := func() []dispatch.Shed {
		dispatcher.mutex.Lock()
		defer dispatcher.mutex.Unlock()
		return dispatcher.sheds
	}
	for end := time.Now().Add(time.Second); len(sheds()) < count && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return sheds()
}

// rules returns rules for each kind of request, and variants of them.
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

// newService returns a service that uses the given dispatcher; its tasks run until the test ends.
func newService(t testing.TB, dispatcher *fakeDispatcher, tableLoaded bool) *Service {
	t.Helper()
	dispatcher.inbox = mailbox.NewDeliveries()
	if dispatcher.maxActive == 0 {
		dispatcher.maxActive = 100
	}
	pool := &upstream.ConnPool{Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
	gate := &Gate{Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop()}
	if tableLoaded {
		table := coltsfootlink.RoutingTable{Version: 1, Limits: coltsfootlink.CallerLimits{BodyBytes: 1000}}
		table = table.WithRules(rules()).WithKeys("team", []string{"key"})
		gate.setCatalog(coltsfootlink.Catalog{}.WithTable(table))
	}
	standings := share.Standings{}.WithShares(time.Now(), dispatcher.shares)
	gate.standings.Store(&standings)
	gate.pressure.Store(&dispatcher.pressure)
	if !dispatcher.endsAt.IsZero() {
		gate.stopping.Store(&coltsfootlink.Stopping{EndsAt: dispatcher.endsAt})
	}
	service := &Service{
		Gate: gate, Clock: coltsfootlink.SystemClock{}, Dispatch: dispatcher.inbox, Log: dispatcher.log,
		Connections: new(atomic.Int64), MaxConnections: 100, MaxActive: int64(dispatcher.maxActive), MaxWaiting: cmp.Or(dispatcher.maxWaiting, 100),
		WouldForward: dispatcher.wouldForward, LongAnswers: rate.NewLimiter(rate.Inf, freeAnswerBytes),
		Memory: memory.NewBudget(cmp.Or(dispatcher.memoryBytes, 64<<20)),
		Client: &upstream.Client{Clock: coltsfootlink.SystemClock{}, ConnPool: pool.Inbox},
	}
	ctx := t.Context()
	go func() { _ = pool.Run(ctx) }()
	go dispatcher.run(ctx.Done())
	return service
}

// start serves callers with the given dispatcher and returns the URL.
func start(t *testing.T, dispatcher *fakeDispatcher, tableLoaded bool) string {
	t.Helper()
	server := httptest.NewServer(newService(t, dispatcher, tableLoaded))
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

// requestWith sends one request with the given headers.
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
	noListener       = "no listener"
	closedUnanswered = ""
	notRun           = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	misdirected      = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	succeeded        = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 4\r\n\r\nroof"
	unstamped        = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nContent-Length: 4\r\n\r\nroof"
	encoded          = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nroof"
	failed           = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 4\r\n\r\noops"
	unmarked503      = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r-1\r\nContent-Length: 4\r\n\r\noops"
	truncated        = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 9\r\n\r\nroof"
)

// events returns an event stream with numbered events, followed by the text of end.
func events(first, last int, end string) string {
	text := "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for id := first; id <= last; id++ {
		event := eventText(id)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	return text + end
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// TestAttempts checks how the outcome at each target decides whether the request is sent to another one.
func TestAttempts(t *testing.T) {
	cases := map[string]struct {
		path    string
		targets []string
		status  int
		body    string
		sent    int
		results []coltsfootlink.Result
	}{
		"success":               {"/safe/a", []string{succeeded}, 200, "roof", 1, []coltsfootlink.Result{coltsfootlink.Succeeded}},
		"not run, then success": {"/unsafe/a", []string{notRun, succeeded}, 200, "roof", 2, []coltsfootlink.Result{coltsfootlink.Failed, coltsfootlink.Succeeded}},
		"not run in either of the two attempts allowed":         {"/unsafe/a", []string{notRun, notRun, succeeded}, 503, "", 2, nil},
		"not run where one attempt is allowed":                  {"/once/a", []string{notRun, succeeded}, 503, "", 1, nil},
		"no listener, then success":                             {"/unsafe/a", []string{noListener, succeeded}, 200, "roof", 1, []coltsfootlink.Result{coltsfootlink.Refused, coltsfootlink.Succeeded}},
		"another target at the address":                         {"/once/a", []string{misdirected, succeeded}, 200, "roof", 2, nil},
		"safe, connection closed without an answer":             {"/safe/a", []string{closedUnanswered, succeeded}, 200, "roof", 2, []coltsfootlink.Result{coltsfootlink.Crashed, coltsfootlink.Succeeded}},
		"unsafe, connection closed without an answer, no retry": {"/unsafe/a", []string{closedUnanswered, succeeded}, 502, "", 1, []coltsfootlink.Result{coltsfootlink.Crashed}},
		"safe, truncated answer":                                {"/safe/a", []string{truncated, succeeded}, 200, "roof", 2, nil},
		"unsafe, truncated answer, no retry":                    {"/unsafe/a", []string{truncated, succeeded}, 502, "", 1, nil},
		"no signature in the answer":                            {"/unsafe/a", []string{unstamped}, 502, "", 1, nil},
		"content encoding that was not requested":               {"/unsafe/a", []string{encoded}, 502, "", 1, nil},
		"failed, repeatable":                                    {"/safe/a", []string{failed, succeeded}, 200, "roof", 2, []coltsfootlink.Result{coltsfootlink.Failed, coltsfootlink.Succeeded}},
		"failed, not repeatable":                                {"/unsafe/a", []string{failed, succeeded}, 500, "oops", 1, []coltsfootlink.Result{coltsfootlink.Failed}},
		"failed in both of the two attempts allowed":            {"/safe/a", []string{failed, failed, succeeded}, 500, "oops", 2, nil},
		"a 503 without the header that the request was not run": {"/unsafe/a", []string{unmarked503, succeeded}, 502, "", 1, nil},
		"no target":         {"/unsafe/a", nil, 503, "", 0, nil},
		"a complete stream": {"/stream/a", []string{events(1, 3, "0\r\n\r\n")}, 200, eventText(1) + eventText(2) + eventText(3), 1, []coltsfootlink.Result{coltsfootlink.Succeeded}},
		"a stream that was interrupted before its start": {"/stream/a", []string{closedUnanswered, events(1, 1, "0\r\n\r\n")}, 502, "", 1, nil},
		"a stream that another target resumes":           {"/resumable/a", []string{events(1, 2, "7\r\nid: 3\nd"), events(3, 4, "0\r\n\r\n")}, 200, eventText(1) + eventText(2) + eventText(3) + eventText(4), 2, []coltsfootlink.Result{coltsfootlink.Crashed, coltsfootlink.Succeeded}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			dispatcher := new(fakeDispatcher)
			for index, text := range test.targets {
				dispatcher.targets = append(dispatcher.targets, startTarget(t, coltsfootlink.TargetName(fmt.Sprint("t-", index)), text))
			}
			status, header, body, err := request(t, start(t, dispatcher, true), test.path, "plan", "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(body, ShouldEqual, test.body)
			So(header.Get("Attempt-Id"), ShouldEqual, "r-1")
			So(header.Get("Answer-Stamp") != "", ShouldEqual, test.body != "")
			So(header.Get("Retry-After") != "", ShouldEqual, test.status == 503)
			sent := 0
			for _, fake := range dispatcher.targets {
				sent += len(fake.received())
			}
			So(sent, ShouldEqual, test.sent)
			if test.results != nil {
				time.Sleep(10 * time.Millisecond)
				So(dispatcher.results(), ShouldResemble, test.results)
			}
		})
	}
}

func TestInterruptedStreamsAreNotEndedAsComplete(t *testing.T) {
	interrupted := events(1, 2, "9\r\nid: 3")
	cases := map[string]struct {
		path    string
		targets []string
	}{
		"interrupted between events":                            {"/stream/a", []string{events(1, 2, "")}},
		"interrupted within an event":                           {"/stream/a", []string{interrupted}},
		"interrupted, no other target left":                     {"/resumable/a", []string{interrupted}},
		"ended within an event":                                 {"/resumable/a", []string{events(1, 2, "5\r\nid: 3\r\n0\r\n\r\n")}},
		"interrupted, the next target fails":                    {"/resumable/a", []string{interrupted, failed}},
		"interrupted, the next target sends no stream":          {"/resumable/a", []string{interrupted, succeeded}},
		"interrupted, the next target does not run it":          {"/resumable/a", []string{interrupted, notRun}},
		"interrupted, the next target closes without an answer": {"/resumable/a", []string{interrupted, closedUnanswered}},
		"interrupted, the next answer has no signature":         {"/resumable/a", []string{interrupted, unstamped}},
	}
	for name, test := range cases {
		Convey("an interrupted stream ends with an error: "+name, t, func() {
			dispatcher := new(fakeDispatcher)
			for index, text := range test.targets {
				dispatcher.targets = append(dispatcher.targets, startTarget(t, coltsfootlink.TargetName(fmt.Sprint("t-", index)), text))
			}
			status, _, body, err := request(t, start(t, dispatcher, true), test.path, "plan", "")
			So(status, ShouldEqual, 200)
			So(err, ShouldNotBeNil)
			So(body, ShouldStartWith, eventText(1))
			So(eventText(1)+eventText(2)+eventText(3), ShouldStartWith, body)
		})
	}
	Convey("the next target gets the last event ID", t, func() {
		second := startTarget(t, "u", events(3, 3, "0\r\n\r\n"))
		dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", events(1, 2, "")), second}}
		_, _, _, err := request(t, start(t, dispatcher, true), "/resumable/a", "plan", "")
		So(err, ShouldBeNil)
		So(second.received()[0].Header.Get("Last-Event-Id"), ShouldEqual, "2")
	})
}

// TestRefusals checks requests that are refused before they reach a target.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		path, body, key string
		tableLoaded     bool
		status          int
	}{
		"no configuration has been loaded": {"/safe/a", "plan", "", false, 503},
		"no route":                         {"/novel/a", "plan", "", true, 404},
		"no key":                           {"/private/a", "plan", "", true, 401},
		"an unknown key":                   {"/private/a", "plan", "guess", true, 401},
		"a body that is too large":         {"/safe/a", strings.Repeat("plan", 1000), "", true, 413},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			fake := startTarget(t, "t", succeeded)
			status, header, _, err := request(t, start(t, &fakeDispatcher{targets: []*fakeTarget{fake}}, test.tableLoaded), test.path, test.body, test.key)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(header.Get("Answer-Stamp"), ShouldBeEmpty)
			So(fake.received(), ShouldBeEmpty)
		})
	}
	Convey("a known API key is replaced by its team", t, func() {
		fake := startTarget(t, "t", succeeded)
		status, _, _, err := request(t, start(t, &fakeDispatcher{targets: []*fakeTarget{fake}}, true), "/private/a", "plan", "key")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 200)
		So(fake.received()[0].Header.Get("Tenant"), ShouldEqual, "team")
		So(fake.received()[0].Header.Get("Authorization"), ShouldBeEmpty)
	})
	Convey("a refusal has a Retry-After header", t, func() {
		dispatcher := &fakeDispatcher{refusal: coltsfootlink.Refuse(coltsfootlink.TargetFull, "full").WithRetryAt(time.Now().Add(300 * time.Millisecond))}
		status, header, _, err := request(t, start(t, dispatcher, true), "/safe/a", "plan", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(header.Get("Retry-After"), ShouldBeBetween, "0.100", "0.301")
	})
}

func TestStoppingInstanceRefusesLongRequests(t *testing.T) {
	cases := map[string]struct {
		untilStop time.Duration
		status    int
	}{
		"a request whose deadline lies before the stop is served": {time.Minute, 200},
		"one whose deadline lies after it is refused at once":     {time.Second, 503},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", succeeded)}}
			dispatcher.endsAt = time.Now().Add(test.untilStop)
			status, header, _, err := request(t, start(t, dispatcher, true), "/unsafe/a", "plan", "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(header.Get("Retry-After") != "", ShouldEqual, test.status == 503)
			So(dispatcher.targets[0].received(), ShouldHaveLength, map[int]int{200: 1, 503: 0}[test.status])
		})
	}
}

func TestOverloadRefusals(t *testing.T) {
	Convey("requests above MaxActive are refused without a target", t, func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		unresponsive := &fakeTarget{Target: coltsfootlink.Target{Name: "t", Address: listener.Addr().String()}}
		url := start(t, &fakeDispatcher{targets: []*fakeTarget{unresponsive}, maxActive: 1}, true)
		firstStatus := make(chan int, 1)
		go func() {
			status, _, _, _ := request(t, url, "/safe/a", "plan", "")
			firstStatus <- status
		}()
		time.Sleep(100 * time.Millisecond)
		status, header, _, err := request(t, url, "/safe/a", "plan", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(header.Get("Retry-After"), ShouldNotBeEmpty)
		So(<-firstStatus, ShouldEqual, 504)
	})
	Convey("a refusal because no slot is free counts towards the team's load", t, func() {
		dispatcher := &fakeDispatcher{neverReplies: true, maxWaiting: -1}
		status, _, _, err := request(t, start(t, dispatcher, true), "/private/a", "plan", "key")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(dispatcher.waitForSheds(1), ShouldResemble, []dispatch.Shed{{Pool: "p", Team: "team"}})
	})
	for name, forwards := range map[string]bool{"a new one would be forwarded": true, "a new one would not be forwarded": false} {
		Convey("a refused caller's connection is closed if a new one would be forwarded: "+name, t, func() {
			dispatcher := &fakeDispatcher{neverReplies: true, maxWaiting: -1, wouldForward: func() bool { return forwards }}
			outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodPost, start(t, dispatcher, true)+"/safe/a", strings.NewReader("plan"))
			So(err, ShouldBeNil)
			outgoing.Host = "h"
			response, err := http.DefaultTransport.RoundTrip(outgoing)
			So(err, ShouldBeNil)
			_ = response.Body.Close()
			So(response.StatusCode, ShouldEqual, 503)
			So(response.Close, ShouldEqual, forwards)
		})
	}
	Convey("requests above MaxWaiting are refused before their bodies are read", t, func() {
		url := start(t, &fakeDispatcher{neverReplies: true, maxWaiting: 1}, true)
		ctx, leave := context.WithCancel(t.Context())
		waitingRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/safe/a", strings.NewReader("plan"))
		So(err, ShouldBeNil)
		waitingRequest.Host = "h"
		callError := make(chan error, 1)
		go func() {
			response, err := http.DefaultTransport.RoundTrip(waitingRequest)
			if err == nil {
				_ = response.Body.Close()
			}
			callError <- err
		}()
		time.Sleep(100 * time.Millisecond)
		status, header, _, err := request(t, url, "/safe/a", "plan", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(header.Get("Retry-After"), ShouldEqual, "0.050")
		leave()
		So(<-callError, ShouldNotBeNil)
	})
}

func TestDeadlinesIncludeArrivalDelay(t *testing.T) {
	cases := map[string]struct {
		wait        time.Duration
		least, most time.Duration
	}{
		"no delay":                      {0, 1400 * time.Millisecond, 1900 * time.Millisecond},
		"delayed by the tolerated time": {50 * time.Millisecond, 1400 * time.Millisecond, 1900 * time.Millisecond},
		"delayed by a second":           {time.Second, 400 * time.Millisecond, 900 * time.Millisecond},
		"delayed beyond its deadline":   {time.Minute, 0, 400 * time.Millisecond},
	}
	for name, test := range cases {
		Convey("a request ends at its caller's deadline, however late the instance saw it: "+name, t, func() {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			unresponsive := &fakeTarget{Target: coltsfootlink.Target{Name: "t", Address: listener.Addr().String()}}
			url := start(t, &fakeDispatcher{targets: []*fakeTarget{unresponsive}, pressure: pressure.State{}.WithWait(test.wait)}, true)
			startedAt := time.Now()
			status, _, _, err := request(t, url, "/safe/a", "plan", "")
			So(err, ShouldBeNil)
			So(status, ShouldBeIn, 503, 504)
			So(time.Since(startedAt), ShouldBeBetween, test.least, test.most)
		})
	}
}

// TestRequestsBeyondSharesAreRefused checks requests of a team by the share announced for it.
func TestRequestsBeyondSharesAreRefused(t *testing.T) {
	cases := map[string]struct {
		path   string
		share  coltsfootlink.TeamShare
		status int
		sheds  []dispatch.Shed
	}{
		"beyond the share, no surplus is admitted":  {"/private/a", coltsfootlink.TeamShare{Team: "team"}, 503, []dispatch.Shed{{Pool: "p", Team: "team"}}},
		"beyond the share, all surplus is admitted": {"/private/a", coltsfootlink.TeamShare{Team: "team", Surplus: 1}, 200, nil},
		"within the share":                          {"/private/a", coltsfootlink.TeamShare{Team: "team", Entitled: 1}, 200, nil},
		"the announcement is about another team":    {"/private/a", coltsfootlink.TeamShare{Team: "other"}, 200, nil},
		"a public rule":                             {"/safe/a", coltsfootlink.TeamShare{}, 200, nil},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			dispatcher := &fakeDispatcher{
				targets: []*fakeTarget{startTarget(t, "t", succeeded)},
				shares:  coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{test.share}},
			}
			status, header, _, err := request(t, start(t, dispatcher, true), test.path, strings.Repeat("plan", 200), "key")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(header.Get("Retry-After") != "", ShouldEqual, test.status == 503)
			So(dispatcher.waitForSheds(len(test.sheds)), ShouldResemble, test.sheds)
			So(dispatcher.targets[0].received(), ShouldHaveLength, map[int]int{200: 1, 503: 0}[test.status])
		})
	}
}

func TestUnresponsiveTargetsTimeOut(t *testing.T) {
	Convey("a request to an unresponsive target times out at the caller's deadline", t, func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		unresponsive := &fakeTarget{Target: coltsfootlink.Target{Name: "t", Address: listener.Addr().String()}}
		startedAt := time.Now()
		status, _, _, err := request(t, start(t, &fakeDispatcher{targets: []*fakeTarget{unresponsive}}, true), "/safe/a", "plan", "")
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 504)
		So(time.Since(startedAt), ShouldBeBetween, 1400*time.Millisecond, 2*time.Second)
	})
}
