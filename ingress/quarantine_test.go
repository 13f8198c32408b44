package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/quarantine"
)

// startCrashing starts a target that answers its first request with the text and then closes the connection; if down is set, it
// crashes and accepts no further connections.
func startCrashing(t *testing.T, name coltsfootlink.TargetName, text string, down bool) *fakeTarget {
	t.Helper()
	return startExiting(t, name, text, down, 0)
}

// startExiting starts a target like startCrashing, whose listener is closed some time after the connection.
func startExiting(t *testing.T, name coltsfootlink.TargetName, text string, down bool, listenerAfter time.Duration) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				_ = conn.Close()
				continue
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
			time.Sleep(20 * time.Millisecond)
			if down && listenerAfter == 0 {
				_ = listener.Close()
			}
			_ = conn.Close()
			if down && listenerAfter > 0 {
				time.Sleep(listenerAfter)
				_ = listener.Close()
			}
		}
	}()
	return &fakeTarget{Target: coltsfootlink.Target{Name: name, Pool: "p", Incarnation: 7, Address: listener.Addr().String()}}
}

// startQuarantine runs a quarantine task for the service and records what the service reports to it.
func startQuarantine(t *testing.T, service *Service, mayRepeat bool) func() (crashes []coltsfootlink.PromptCrash, answered int) {
	t.Helper()
	service.Quarantine = mailbox.NewDeliveries()
	view := quarantine.View{}.WithSynced(true)
	service.Gate.barred.Store(&view)
	done := make(chan struct{})
	stop := make(chan struct{})
	var crashes []coltsfootlink.PromptCrash
	answered := 0
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-service.Quarantine.Ready():
			}
			for _, delivery := range service.Quarantine.Drain() {
				switch message := delivery.Message.(type) {
				case quarantine.Crashed:
					crashes = append(crashes, message.Crash)
					message.Reply <- mayRepeat
				case quarantine.TrialSent:
					crashes = append(crashes, message.Crash)
				case quarantine.Answered:
					answered++
				}
			}
		}
	}()
	return func() ([]coltsfootlink.PromptCrash, int) {
		time.Sleep(20 * time.Millisecond)
		close(stop)
		<-done
		return crashes, answered
	}
}

func promptHeader(parts string) http.Header {
	return http.Header{"Time-Left-Ms": {"1500"}, "Model": {"m"}, "Token-Counts": {"30,10"}, "Prompt-Prefix": {parts}}
}

func TestOnlyCrashesUnderAnAnswerThatBeginsAreBlamedOnPrompts(t *testing.T) {
	unframed := strings.Replace(streamHead, "Transfer-Encoding: chunked\r\n", "", 1)
	one, two := chunk(eventText(1)), chunk(eventText(1))+chunk(eventText(2))
	cases := map[string]struct {
		text string
		down bool
		// whole indicates that the caller gets a complete answer.
		whole             bool
		crashes, answered int
	}{
		"a crash after the head":                                  {streamHead, true, false, 1, 0},
		"a crash within the first event":                          {streamHead + chunk("id: 1\nda"), true, false, 1, 0},
		"a crash after one event":                                 {streamHead + one, true, false, 1, 0},
		"a crash after two events":                                {streamHead + two, true, false, 0, 1},
		"a crash before the head, the target is not registered":   {"", true, false, 0, 0},
		"a crash after one byte":                                  {"H", true, false, 1, 0},
		"a crash within the status line":                          {"HTTP/1.1 20", true, false, 1, 0},
		"a crash within the head":                                 {"HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n", true, false, 1, 0},
		"a crash before the end of the head":                      {strings.TrimSuffix(streamHead, "\r\n"), true, false, 1, 0},
		"a connection that breaks within the head":                {"HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n", false, false, 0, 0},
		"a crash after an interim answer":                         {"HTTP/1.1 103 Early Hints\r\n\r\n", true, false, 0, 0},
		"a connection that breaks after the head":                 {streamHead, false, false, 0, 0},
		"a short answer":                                          {streamHead + one + "0\r\n\r\n", false, true, 0, 1},
		"a short answer of a target that crashes right after it":  {streamHead + one + "0\r\n\r\n", true, true, 0, 1},
		"a crash after the head, without length and chunks":       {unframed, true, false, 1, 0},
		"a crash after two events, without length and chunks":     {unframed + eventText(1) + eventText(2), true, false, 0, 1},
		"a short answer without length and chunks":                {unframed + eventText(1), false, true, 0, 0},
		"an error of the target's own":                            {failed, false, false, 0, 0},
		"a refusal":                                               {notRun, false, false, 0, 0},
		"a crash within an event, without length and chunks":      {unframed + "id: 1\nda", true, false, 1, 0},
		"a break within an event, without length and chunks":      {unframed + "id: 1\nda", false, false, 0, 0},
		"a crash under an answer that is not a stream, unchunked": {"HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\nContent-Length: 9\r\n\r\nro", true, false, 1, 0},
	}
	for name, test := range cases {
		for _, path := range []string{"/stream/a", "/resumable/a"} {
			Convey("what an answer shows of its prompt: "+name+", "+path, t, func() {
				service := newService(t, &fakeDispatcher{targets: []*fakeTarget{startCrashing(t, "t", test.text, test.down)}}, true)
				reported := startQuarantine(t, service, false)
				server := httptest.NewServer(service)
				defer server.Close()
				status, _, _, err := requestWith(t, server.URL, path, "plan", promptHeader("c:10,d:10,own:10"))
				So(err == nil && status == http.StatusOK, ShouldEqual, test.whole)
				crashes, answered := reported()
				So(crashes, ShouldHaveLength, test.crashes)
				So(answered, ShouldEqual, test.answered)
				if test.crashes > 0 {
					So(crashes[0].Suspects, ShouldHaveLength, 2)
					So(crashes[0].Target, ShouldEqual, coltsfootlink.TargetName("t"))
					So(crashes[0].Incarnation, ShouldEqual, 7)
				}
			})
		}
	}
}

// TestCrashesBeforeAByteAreReported guards against prompts that crash targets before a byte of the answer is sent, and are never held
// back, and against prompts that are blamed for the end of a target which shuts down.
func TestCrashesBeforeAByteAreReported(t *testing.T) {
	cases := map[string]struct {
		text             string
		leaving, crashes bool
		crash            bool
	}{
		"a crash":                               {text: "", crashes: true, crash: true},
		"a crash after an interim answer":       {text: "HTTP/1.1 103 Early Hints\r\n\r\n", crashes: true, crash: true},
		"a target that shuts down":              {text: "", leaving: true, crashes: true},
		"a connection that breaks":              {text: ""},
		"a crash after the head, shutting down": {text: streamHead, leaving: true, crashes: true, crash: true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target := startCrashing(t, "t", test.text, test.crashes)
			service := newService(t, &fakeDispatcher{targets: []*fakeTarget{target}}, true)
			service.Gate.setCatalog(service.Gate.Catalog().WithTarget(target.Target.WithLeaving(test.leaving)))
			reported := startQuarantine(t, service, false)
			server := httptest.NewServer(service)
			defer server.Close()
			_, _, _, _ = requestWith(t, server.URL, "/stream/a", "plan", promptHeader("c:10,d:10,own:10"))
			crashes, _ := reported()
			So(len(crashes) > 0, ShouldEqual, test.crash)
			So(test.crash && crashes[0].Unbegun, ShouldEqual, test.crash && test.text != streamHead)
		})
	}
}

// TestCrashesCountThoughConnectionsBreakBeforeTheListener guards against taking a target whose process is just ending for one
// that still runs.
func TestCrashesCountThoughConnectionsBreakBeforeTheListener(t *testing.T) {
	cases := map[string]struct {
		path, text string
		after      time.Duration
		crashes    int
	}{
		"within the head":                    {"/stream/a", "HTTP/1.1 200 OK\r\n", 5 * time.Millisecond, 1},
		"after the head":                     {"/resumable/a", streamHead, 5 * time.Millisecond, 1},
		"without length and chunks":          {"/stream/a", strings.Replace(streamHead, "Transfer-Encoding: chunked\r\n", "", 1) + eventText(1), 5 * time.Millisecond, 1},
		"and the listener stays much longer": {"/stream/a", streamHead, time.Second, 0},
	}
	for name, test := range cases {
		Convey("a target crashes: "+name, t, func() {
			service := newService(t, &fakeDispatcher{targets: []*fakeTarget{startExiting(t, "t", test.text, true, test.after)}}, true)
			reported := startQuarantine(t, service, false)
			server := httptest.NewServer(service)
			defer server.Close()
			status, _, _, err := requestWith(t, server.URL, test.path, "plan", promptHeader("c:10,d:10,own:10"))
			So(err == nil && status == http.StatusOK, ShouldBeFalse)
			crashes, _ := reported()
			So(crashes, ShouldHaveLength, test.crashes)
		})
	}
}

func TestSuspectedRequestsAreNotSentToSecondTargets(t *testing.T) {
	cases := map[string]struct {
		parts     string
		mayRepeat bool
		sent      int
	}{
		"its prompt is suspected":        {"c:10,d:10,own:10", false, 1},
		"its prompt is known to be good": {"c:10,d:10,own:10", true, 2},
		"it has no shared parts":         {"own:10", false, 2},
	}
	for name, test := range cases {
		Convey("a resumable request under which a target crashed: "+name, t, func() {
			second := startTarget(t, "u", events(1, 3, "0\r\n\r\n"))
			service := newService(t, &fakeDispatcher{targets: []*fakeTarget{startCrashing(t, "t", streamHead, true), second}}, true)
			reported := startQuarantine(t, service, test.mayRepeat)
			server := httptest.NewServer(service)
			defer server.Close()
			status, _, _, _ := requestWith(t, server.URL, "/resumable/a", "plan", promptHeader(test.parts))
			So(len(second.received()), ShouldEqual, test.sent-1)
			if test.sent == 1 {
				So(status, ShouldEqual, http.StatusBadGateway)
			}
			reported()
		})
	}
}

func TestBarredPromptsAreRefusedAtOnce(t *testing.T) {
	now := time.Now()
	bar := func(trialAt time.Time) quarantine.View {
		state := quarantine.NewState()
		// An instance that knows of no answers needs three crashes for a bar; the first trial is due two seconds after them.
		for number := range 3 {
			at := trialAt.Add(time.Duration(number)*time.Second - 4*time.Second)
			crash := coltsfootlink.PromptCrash{Pool: "p", Request: coltsfootlink.RequestID(fmt.Sprint(number)), SentAt: at.Add(-time.Millisecond), CrashedAt: at}
			for _, part := range decodedParts("d:1,o:1") {
				crash.Suspects = append(crash.Suspects, coltsfootlink.Suspect{Part: part})
			}
			state = state.WithCrash(now, crash)
		}
		return quarantine.View{}.WithSynced(true).WithBars("p", state.Bars())
	}
	putOff := bar(now.Add(time.Minute))
	cases := map[string]struct {
		view  quarantine.View
		parts string
		// status is that of the answer, tries the number of requests that the target gets, and probes those that are reported as such.
		status, tries, probes int
		// later are the bars that are announced while the request waits for a target.
		later *quarantine.View
	}{
		"it has the part":                                {bar(now.Add(time.Minute)), "c:10,d:10,own:10", 503, 0, 0, nil},
		"it has the part in another place":               {bar(now.Add(time.Minute)), "d:7,x:10,own:10", 503, 0, 0, nil},
		"it has other parts":                             {bar(now.Add(time.Minute)), "c:10,e:10,own:10", 200, 1, 0, nil},
		"the part is its own one":                        {bar(now.Add(time.Minute)), "c:10,d:10", 200, 1, 0, nil},
		"a trial is due":                                 {bar(now.Add(-time.Second)), "c:10,d:10,own:10", 200, 1, 1, nil},
		"a trial is due, and another one has just begun": {bar(now.Add(-time.Second)), "c:10,d:10,own:10", 503, 0, 0, &putOff},
		"it is not known yet what others know":           {quarantine.View{}, "c:10,e:10,own:10", 503, 0, 0, nil},
		"it has no shared parts, and others are unknown": {quarantine.View{}, "own:10", 200, 1, 0, nil},
	}
	for name, test := range cases {
		Convey("a request whose prompt is held back takes no place and does not count for its team: "+name, t, func() {
			target := startTarget(t, "t", events(1, 3, "0\r\n\r\n"))
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{target}}
			service := newService(t, dispatcher, true)
			reported := startQuarantine(t, service, false)
			service.Gate.barred.Store(&test.view)
			if test.later != nil {
				dispatcher.beforeReply = func() { service.Gate.barred.Store(test.later) }
			}
			server := httptest.NewServer(service)
			defer server.Close()
			status, header, _, err := requestWith(t, server.URL, "/stream/a", "plan", promptHeader(test.parts))
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(target.received(), ShouldHaveLength, test.tries)
			So(header.Get("Retry-After") != "", ShouldEqual, status == 503)
			So(dispatcher.waitForSheds(0), ShouldBeEmpty)
			probes, _ := reported()
			So(probes, ShouldHaveLength, test.probes)
		})
	}
}

// TestPartsBehindManyOthersAreHeldBack guards against a part that crashes targets and is never suspected because of its place in
// the prompt.
func TestPartsBehindManyOthersAreHeldBack(t *testing.T) {
	cases := map[string]struct{ place, parts int }{
		"near the beginning":              {2, 71},
		"behind the 64th":                 {67, 71},
		"the last but one":                {69, 71},
		"behind the parts of predictions": {1500, 2000},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			now := time.Now()
			// promptOf returns the shared parts of a request with a subject of its own, and with the deadly part or without it.
			promptOf := func(request int, deadly bool) []coltsfootlink.PartID {
				list := make([]string, test.parts)
				for index := range list {
					list[index] = fmt.Sprintf("%x:1", index)
				}
				list[1], list[test.parts-1] = fmt.Sprintf("subject-%d:1", request), fmt.Sprintf("own-%d:1", request)
				if deadly {
					list[test.place] = "deadly:1"
				}
				return decodedParts(strings.Join(list, ","))
			}
			state := quarantine.NewState()
			for request := range 3 {
				crash := coltsfootlink.PromptCrash{Pool: "p", Request: coltsfootlink.RequestID(fmt.Sprint(request)), SentAt: now, CrashedAt: now.Add(time.Second)}
				for _, part := range promptOf(request, true) {
					crash.Suspects = append(crash.Suspects, coltsfootlink.Suspect{Part: part})
				}
				state = state.WithCrash(now.Add(time.Second), crash).WithAnswered(now.Add(time.Second+time.Millisecond), promptOf(10+request, false))
				now = now.Add(2 * time.Second)
			}
			view := quarantine.View{}.WithSynced(true).WithBars("p", state.Bars())
			_, barred := view.Bar("p", promptOf(20, true))
			So(barred, ShouldBeTrue)
			_, barred = view.Bar("p", promptOf(21, false))
			So(barred, ShouldBeFalse)
			So(state.Bars()[0].Parts, ShouldHaveLength, 1)
		})
	}
}

// decodedParts returns the identifiers of the parts of a prompt but its last.
func decodedParts(parts string) []coltsfootlink.PartID {
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	request.Header = promptHeader(parts)
	return platform.DecodeCaller(request, time.Now()).Work.SharedParts
}
