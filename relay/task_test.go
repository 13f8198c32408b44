package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
	"coltsfootlink/web"
)

// freeAddress returns an address, of a host of its own, that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// serve runs a server until the test ends, and waits until it listens.
func serve(t *testing.T, server *web.Server) {
	t.Helper()
	server.Part, server.Log, server.StopLimit = "test", zerolog.Nop(), time.Second
	go func() { _ = server.Run(t.Context()) }()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", server.Address); err == nil {
			_ = conn.Close()
			return
		}
	}
	t.Fatal("the server does not listen")
}

// answers echoes bodies after the name of who answers.
func answers(name string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_, _ = writer.Write(append([]byte(name+" "), body...))
	})
}

// breaks ends its answers in the middle.
func breaks() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("other begins"))
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	})
}

func never() bool  { return false }
func always() bool { return true }

// start runs the relay of an instance whose zone has one other, which takes connections at an address, and waits until
// its plan is made.
func start(t *testing.T, state pressure.State, address string) *Task {
	t.Helper()
	otherHost, port, err := net.SplitHostPort(address)
	So(err, ShouldBeNil)
	here := coltsfootlink.Instance{Name: "here", Zone: "z", PeerAddress: "127.0.0.1:1"}
	other := coltsfootlink.Instance{Name: "other", Zone: "z", PeerAddress: net.JoinHostPort(otherHost, "1")}
	far := coltsfootlink.Instance{Name: "far", Zone: "y", PeerAddress: "127.0.0.3:1"}
	task := &Task{Self: here, Port: port, Most: 100, MostOpening: 10, Draw: func() float64 { return 0 }, Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
	view := coltsfootlink.View{Members: []coltsfootlink.Member{
		{Instance: far, Live: true}, {Instance: here, Live: true}, {Instance: other, Live: true},
	}}
	task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
	task.Inbox.Put(coltsfootlink.Delivery{Message: pressure.Changed{State: state}})
	go func() { _ = task.Run(t.Context()) }()
	for end := time.Now().Add(5 * time.Second); len(task.Plan().addresses) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	So(task.Plan().addresses, ShouldResemble, []string{address})
	return task
}

// post sends a body and returns the answer's status and body; an error if either was cut.
func post(client *http.Client, address, body string) (int, []byte, error) {
	response, err := client.Post(address, "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return response.StatusCode, got, err
}

func TestConnectionsArePassedOn(t *testing.T) {
	listens := func(handler http.Handler, full func() bool) func(*testing.T, string) {
		return func(t *testing.T, address string) {
			serve(t, &web.Server{Address: address, Handler: handler, ConnectionFilter: Entrance{Full: full}})
		}
	}
	cases := map[string]struct {
		state pressure.State
		// other starts what is at the address of the other instance.
		other func(*testing.T, string)
		by    string
		cut   bool
	}{
		"the other has room":         {behind(30), listens(answers("other"), never), "other", false},
		"the processor is calm":      {pressure.State{}, listens(answers("other"), never), "here", false},
		"the other is full":          {behind(30), listens(answers("other"), always), "here", false},
		"the other is gone":          {behind(30), func(*testing.T, string) {}, "here", false},
		"the other breaks off":       {behind(30), listens(breaks(), never), "", true},
		"the other does not welcome": {behind(30), func(t *testing.T, address string) { serve(t, &web.Server{Address: address, Handler: answers("other")}) }, "here", false},
	}
	for name, test := range cases {
		Convey("a caller gets its whole answer, or sees that it broke: "+name, t, func() {
			address := freeAddress(t)
			test.other(t, address)
			task := start(t, test.state, address)
			callers := freeAddress(t)
			serve(t, &web.Server{Address: callers, Handler: answers("here"), ConnectionFilter: task})
			// What the start of the server brought is over.
			time.Sleep(2 * refusedPause)
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for _, size := range []int{1, 100, 1 << 20} {
				sent := strings.Repeat("x", size)
				status, got, err := post(client, "http://"+callers+"/", sent)
				if test.cut {
					// A reset may overtake what had begun; the caller then gets the answer to a request that may have run.
					So(err != nil || status == http.StatusBadGateway && len(got) == 0, ShouldBeTrue)
					continue
				}
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
				So(bytes.Equal(got, []byte(test.by+" "+sent)), ShouldBeTrue)
			}
		})
	}
}

func TestWhatCanNeitherBeServedNorPassedOnIsRefusedUnread(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"
	whole := head + strings.Repeat("x", 30000)
	cases := map[string]struct {
		state   pressure.State
		draw    float64
		sent    string
		refused bool
	}{
		"the processor is calm":                        {pressure.State{}, 0.99, whole, false},
		"it is behind, and no other has room":          {behind(30), 0.99, whole, true},
		"it is behind, and a part has come":            {behind(30), 0.99, head, true},
		"it is behind, and nothing has come":           {behind(30), 0.99, "", false},
		"it is behind, and this one is to be served":   {behind(30), 0.01, whole, false},
		"it is a little behind, within shares all are": {behind(1), 0.99, whole, false},
	}
	for name, test := range cases {
		Convey("a caller is served, or told at once that its request has not run and when to come again: "+name, t, func() {
			plan := Plan{}.WithPressure(test.state)
			task := &Task{Most: 100, MostOpening: 10, Draw: func() float64 { return test.draw }, Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
			task.plan.Store(&plan)
			life := t.Context()
			task.life.Store(&life)
			caller, here := pair(t)
			_, err := io.WriteString(caller, test.sent)
			So(err, ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
			served := task.Admit(here, nil)
			So(served == nil, ShouldEqual, test.refused)
			if !test.refused {
				_ = caller.(*net.TCPConn).CloseWrite()
				got, err := io.ReadAll(here)
				So(err, ShouldBeNil)
				So(string(got), ShouldEqual, test.sent)
				return
			}
			_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(response.Header.Get("Retry-After"), ShouldEqual, "0.050")
			So(response.Close, ShouldBeTrue)
		})
	}
}

func TestCallersAreToldWhenTheOtherInstanceDies(t *testing.T) {
	const request = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nplan"
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nroof"
	cases := map[string]struct {
		// sent is what the caller sends in turn, and answers what the other answers to each before it ends.
		sent, answers []string
		reset         bool
		// got is all that the caller gets; broke says that the connection then breaks.
		got   string
		broke bool
	}{
		"it is killed before it answers":          {[]string{request}, []string{""}, false, failure, false},
		"it breaks off before it answers":         {[]string{request}, []string{""}, true, failure, false},
		"with the second request of a connection": {[]string{request, request}, []string{whole, ""}, true, whole + failure, false},
		"in an answer": {[]string{request}, []string{whole[:20]}, true, whole[:20], true},
		"in an answer that came before all was sent": {[]string{request[:len(request)-2], "an"}, []string{whole[:20], ""}, true, whole[:20], true},
		"after its answer":                           {[]string{request}, []string{whole}, false, whole, false},
	}
	for name, test := range cases {
		Convey("a caller whose request was passed on has an answer, or sees that it broke: "+name, t, func() {
			caller, here := pair(t)
			there, other := pair(t)
			task := &Task{Clock: coltsfootlink.SystemClock{}}
			passing := &passing{task: task, caller: here}
			ended := make(chan struct{})
			go func() {
				passing.between(t.Context(), there)
				close(ended)
			}()
			buffer := make([]byte, 1<<10)
			for turn, sent := range test.sent {
				_, err := io.WriteString(caller, sent)
				So(err, ShouldBeNil)
				_, err = other.Read(buffer)
				So(err, ShouldBeNil)
				_, err = io.WriteString(other, test.answers[turn])
				So(err, ShouldBeNil)
				time.Sleep(20 * time.Millisecond)
			}
			if test.reset {
				_ = other.(*net.TCPConn).SetLinger(0)
			}
			_ = other.Close()
			got, err := io.ReadAll(caller)
			So(string(got), ShouldEqual, test.got)
			So(err != nil, ShouldEqual, test.broke)
			_ = caller.Close()
			<-ended
		})
	}
}

// pair returns both ends of a connection.
func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp4", listener.Addr().String())
	So(err, ShouldBeNil)
	far, err := listener.Accept()
	So(err, ShouldBeNil)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func TestPassingIsBounded(t *testing.T) {
	cases := map[string]struct {
		open, opening int64
		passes        bool
	}{
		"few":                            {99, 9, true},
		"as many as may be passed on":    {100, 0, false},
		"as many as may be being opened": {10, 10, false},
	}
	for name, test := range cases {
		Convey("what is passed on is bounded: "+name, t, func() {
			task := start(t, behind(30), "127.0.0.2:7414")
			task.open.Store(test.open)
			task.opening.Store(test.opening)
			So(task.Passes(), ShouldEqual, test.passes)
		})
	}
}

func TestPassedConnectionsEnd(t *testing.T) {
	left := make(chan struct{}, 1)
	waits := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		left <- struct{}{}
	})
	cases := map[string]func(caller net.Conn, stop func()){
		"the caller leaves":      func(caller net.Conn, _ func()) { _ = caller.Close() },
		"the caller half-closes": func(caller net.Conn, _ func()) { _ = caller.(*net.TCPConn).CloseWrite() },
		"the relay stops":        func(_ net.Conn, stop func()) { stop() },
	}
	for name, end := range cases {
		Convey("no work goes on, and no connection stays, when "+name, t, func() {
			address := freeAddress(t)
			serve(t, &web.Server{Address: address, Handler: waits, ConnectionFilter: Entrance{Full: never}})
			task := start(t, behind(30), address)
			ctx, stop := context.WithCancel(t.Context())
			task.life.Store(&ctx)
			callers := freeAddress(t)
			serve(t, &web.Server{Address: callers, Handler: answers("here"), ConnectionFilter: task})
			time.Sleep(2 * refusedPause)
			conn, err := net.Dial("tcp", callers)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			So(err, ShouldBeNil)
			time.Sleep(100 * time.Millisecond)
			So(task.Open(), ShouldEqual, 1)
			So(task.opening.Load(), ShouldEqual, 0)
			end(conn, stop)
			select {
			case <-left:
			case <-time.After(5 * time.Second):
				So("the other still works", ShouldBeEmpty)
			}
			for by := time.Now().Add(5 * time.Second); task.Open() > 0 && time.Now().Before(by); {
				time.Sleep(time.Millisecond)
			}
			So(task.Open(), ShouldEqual, 0)
			stop()
		})
	}
}

func TestLatenessIsPassedOn(t *testing.T) {
	cases := map[string]struct {
		late, told time.Duration
	}{
		"not late":         {0, 0},
		"late":             {321 * time.Millisecond, 321 * time.Millisecond},
		"a clock set back": {-time.Second, 0},
		"very late":        {2 * time.Minute, 65535 * time.Millisecond},
	}
	for name, test := range cases {
		Convey("the first request of a connection that was passed on knows how late it is: "+name, t, func() {
			lateness := lateness(test.late)
			var told []time.Duration
			address := freeAddress(t)
			serve(t, &web.Server{Address: address, ConnectionFilter: Entrance{Full: never}, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				told = append(told, web.Lateness(request))
			})})
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			got, err := reader.ReadByte()
			So(err, ShouldBeNil)
			So(got, ShouldEqual, welcome)
			head := lateness[:]
			for range 2 {
				_, err = conn.Write(append(head, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"...))
				So(err, ShouldBeNil)
				response, err := http.ReadResponse(reader, nil)
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusOK)
				head = nil
			}
			So(told, ShouldResemble, []time.Duration{test.told, 0})
		})
	}
}
