package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
)

const (
	unframedHalf = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s\r\n\r\nroo"
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 12 << 20
)

// answerEarly writes text when only the head of a request was read, and ends the connection some time after it.
func answerEarly(text string, after time.Duration, end func(conn *net.TCPConn, rest io.Reader)) behaviour {
	return func(conn net.Conn, requests *bufio.Reader) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		time.Sleep(after)
		end(conn.(*net.TCPConn), request.Body)
	}
}

func resetNow(conn *net.TCPConn, _ io.Reader) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// TestAnswersDuringTheUpload guards against half an answer without a length that passes for a whole one, because the error of its
// connection was reported to the write of the request.
func TestAnswersDuringTheUpload(t *testing.T) {
	closeNow := func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }
	readAll := func(conn *net.TCPConn, rest io.Reader) {
		_, _ = io.Copy(io.Discard, rest)
		_ = conn.Close()
	}
	framed := strings.Replace(unframedHalf, "\r\n\r\nroo", "\r\nContent-Length: 3\r\n\r\nroo", 1)
	cases := map[string]struct {
		behave behaviour
		whole  bool
	}{
		"reset at once":                            {answerEarly(unframedHalf, 0, resetNow), false},
		"reset after 2 ms":                         {answerEarly(unframedHalf, 2*time.Millisecond, resetNow), false},
		"reset after 20 ms":                        {answerEarly(unframedHalf, 20*time.Millisecond, resetNow), false},
		"closed with the request unread":           {answerEarly(unframedHalf, 0, closeNow), false},
		"its direction closed, the request unread": {answerEarly(unframedHalf, 0, func(conn *net.TCPConn, _ io.Reader) { _ = conn.CloseWrite(); time.Sleep(time.Second) }), false},
		"ended once the request was read":          {answerEarly(unframedHalf, 0, readAll), true},
		"with a length, reset after 20 ms":         {answerEarly(framed, 20*time.Millisecond, resetNow), true},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			target, _ := startTarget(t, test.behave)
			client := newClient(t)
			for range 5 {
				answer, err := client.Call(t.Context(), "r-1", requestTo(target, strings.Repeat("x", uploadBytes)), true)
				if err != nil {
					// The reset may overtake the head.
					So(test.whole, ShouldBeFalse)
					continue
				}
				_, err = io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				So(err == nil, ShouldEqual, test.whole)
			}
		})
	}
}

// TestEvidence checks what is concluded from what is known of the end of an answer.
func TestEvidence(t *testing.T) {
	leaving := evidence{requestReceived: true, leaving: true, servedOn: true}
	cases := map[string]struct {
		known evidence
		want  verdict
	}{
		"the witness is open":                                  {evidence{requestReceived: true, witnessOpen: true}, processAlive},
		"the witness is open, read long after the end":         {evidence{requestReceived: true, witnessOpen: true, quiet: time.Minute}, processAlive},
		"no witness, the target accepts connections":           {evidence{requestReceived: true, reachable: true, quiet: time.Millisecond}, processAlive},
		"no witness, read when another process may have begun": {evidence{requestReceived: true, reachable: true, quiet: restartTime}, processGone},
		"no witness, and the target accepts nothing":           {evidence{requestReceived: true}, processGone},
		"no witness, another answer is still coming":           {evidence{requestReceived: true, othersOpen: true, othersEnded: true}, processAlive},
		"reset, and the target accepts connections":            {evidence{requestReceived: true, reset: true, reachable: true}, connectionReset},
		"the request was not taken":                            {evidence{witnessOpen: true, reachable: true}, requestUnread},
		"shutting down in order":                               {leaving, orderlyShutdown},
		"shutting down, and others ended at the same time":     {evidence{requestReceived: true, leaving: true, servedOn: true, othersEnded: true}, endedWithOthers},
		"shutting down, and reset":                             {evidence{requestReceived: true, leaving: true, servedOn: true, reset: true}, connectionReset},
		"shutting down, and the request was not taken":         {evidence{leaving: true, servedOn: true}, requestUnread},
		"announced, and the listener closed with the answer":   {evidence{requestReceived: true, leaving: true}, processGone},
		"the listener closed before, nothing announced":        {evidence{requestReceived: true, servedOn: true}, processGone},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(test.known.verdict(), ShouldEqual, test.want) })
	}
}

// processTarget is a target whose process can be shut down or crash while it sends answers without a length.
type processTarget struct {
	target        coltsfootlink.Target
	stopListening context.CancelFunc
	// answers are the connections with an answer, unused all connections.
	answers, unused chan net.Conn
}

func startProcess(t *testing.T) *processTarget {
	t.Helper()
	process := &processTarget{answers: make(chan net.Conn, 8), unused: make(chan net.Conn, 64)}
	ctx, stopListening := context.WithCancel(t.Context())
	address, err := loopback.Serve(ctx, func(conn net.Conn) {
		process.unused <- conn
		if readRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, unframedHalf)
			process.answers <- conn
			<-t.Context().Done()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	process.target, process.stopListening = coltsfootlink.Target{Name: "t", Address: address}, stopListening
	return process
}

// closeListener returns once connections are refused.
func (process *processTarget) closeListener() {
	process.stopListening()
	for {
		probe, err := net.Dial("tcp4", process.target.Address)
		if err != nil {
			return
		}
		_ = probe.Close()
	}
}

// closeUnused closes the connections that carry no answer of those given.
func (process *processTarget) closeUnused(answers ...net.Conn) {
	for len(process.unused) > 0 {
		if conn := <-process.unused; !slices.Contains(answers, conn) {
			_ = conn.Close()
		}
	}
}

// finish sends the last byte of an answer and closes its connection.
func finish(answer net.Conn) {
	_, _ = io.WriteString(answer, "f")
	_ = answer.Close()
}

// TestLastAnswersOfProcesses guards against whole answers of a target that shuts down which pass for cut ones, and against cut
// answers of one that crashes which pass for whole ones.
func TestLastAnswersOfProcesses(t *testing.T) {
	const apart = 4 * exitTimeout
	shutDown := func(process *processTarget, answers []net.Conn) {
		process.closeListener()
		process.closeUnused(answers...)
		time.Sleep(apart)
	}
	finishInTurn := func(answers []net.Conn) {
		for _, answer := range answers {
			finish(answer)
			time.Sleep(apart)
		}
	}
	cases := map[string]struct {
		announced bool
		answers   int
		end       func(process *processTarget, answers []net.Conn)
		whole     int
	}{
		"shut down in order, the answers end in turn": {true, 3, func(process *processTarget, answers []net.Conn) {
			shutDown(process, answers)
			finishInTurn(answers)
		}, 3},
		"shut down, unused connections end with the process": {true, 1, func(process *processTarget, answers []net.Conn) {
			process.closeListener()
			time.Sleep(shutdownProbeInterval + apart)
			finish(answers[0])
			process.closeUnused()
		}, 1},
		"shut down without an announcement, but for the last one": {false, 3, func(process *processTarget, answers []net.Conn) {
			shutDown(process, answers)
			finishInTurn(answers)
		}, 2},
		"crashed": {false, 3, func(process *processTarget, answers []net.Conn) {
			process.closeListener()
			process.closeUnused()
			for _, answer := range answers {
				_ = answer.Close()
			}
		}, 0},
		"crashed after the announcement": {true, 1, func(process *processTarget, answers []net.Conn) {
			time.Sleep(apart)
			process.closeListener()
			process.closeUnused()
			_ = answers[0].Close()
		}, 0},
		"crashed while it shut down": {true, 3, func(process *processTarget, answers []net.Conn) {
			shutDown(process, answers)
			for _, answer := range answers {
				_ = answer.Close()
			}
		}, 0},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			process, client := startProcess(t), newClient(t)
			catalog := coltsfootlink.Catalog{Targets: map[coltsfootlink.TargetName]coltsfootlink.Target{"t": process.target.WithLeaving(test.announced)}}
			client.ConnPool.Put(coltsfootlink.Delivery{Message: coltsfootlink.CatalogChanged{Catalog: catalog}})
			results := make(chan error, test.answers)
			var answers []net.Conn
			for range test.answers {
				answer, err := client.Call(t.Context(), "r-1", requestTo(process.target, "plan"), true)
				So(err, ShouldBeNil)
				answers = append(answers, <-process.answers)
				go func() {
					_, err := io.ReadAll(answer.Body)
					_ = answer.Body.Close()
					results <- err
				}()
			}
			time.Sleep(apart)
			test.end(process, answers)
			whole := 0
			for range test.answers {
				if <-results == nil {
					whole++
				}
			}
			So(whole, ShouldEqual, test.whole)
		})
	}
}

// TestInvalidStatuses guards against a status that is none of HTTP and is passed on, or taken for that of an interim answer, so
// that its body is read as an answer.
func TestInvalidStatuses(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s\r\nContent-Length: 4\r\n\r\nroof"
	cases := map[string]struct {
		status  string
		invalid bool
	}{
		"000":                      {"000 Nothing", true},
		"099":                      {"099 Nothing", true},
		"101 without a request":    {"101 Switching Protocols", true},
		"103, then the final one":  {"103 Early Hints", false},
		"600":                      {"600 Much", true},
		"999":                      {"999 More", true},
		"200, the lowest final":    {"200 OK", false},
		"599, the highest of HTTP": {"599 Last", false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			head := "HTTP/1.1 " + test.status + "\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s\r\n"
			if !strings.HasPrefix(test.status, "1") {
				head += "Content-Length: 78\r\n"
			}
			target, _ := startTarget(t, answerOnce(head+"\r\n"+inner))
			answer, err := newClient(t).Call(t.Context(), "r-1", requestTo(target, "plan"), true)
			var failure *coltsfootlink.CallError
			So(errors.As(err, &failure), ShouldEqual, test.invalid)
			if test.invalid {
				So(failure.Result, ShouldEqual, coltsfootlink.Failed)
				So(failure.Sent, ShouldBeTrue)
				return
			}
			_ = answer.Body.Close()
		})
	}
}
