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
	"golang.org/x/sys/unix"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
	"coltsfootlink/web"
)

// freeAddress returns an address on its own loopback host that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// serve runs a server until the test ends, and returns once it listens.
func serve(t *testing.T, server *web.Server) {
	t.Helper()
	server.Part, server.Log, server.ShutdownTimeout = "test", zerolog.Nop(), time.Second
	go func() { _ = server.Run(t.Context()) }()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", server.Address); err == nil {
			_ = conn.Close()
			return
		}
	}
	t.Fatal("the server did not listen within 5 s")
}

// echo answers each request with the name of the instance followed by the request's body.
func echo(name string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_, _ = writer.Write(append([]byte(name+" "), body...))
	})
}

// abortMidResponse aborts the connection after the first bytes of each response.
func abortMidResponse() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("other begins"))
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	})
}

func never() bool  { return false }
func always() bool { return true }

// startTask runs the relay task of an instance whose zone has one other instance, which accepts forwarded connections
// at the given address, and waits until the plan has that address.
func startTask(t *testing.T, state pressure.State, address string) *Task {
	t.Helper()
	otherHost, port, err := net.SplitHostPort(address)
	So(err, ShouldBeNil)
	here := coltsfootlink.Instance{Name: "here", Zone: "z", PeerAddress: "127.0.0.1:1"}
	other := coltsfootlink.Instance{Name: "other", Zone: "z", PeerAddress: net.JoinHostPort(otherHost, "1")}
	far := coltsfootlink.Instance{Name: "far", Zone: "y", PeerAddress: "127.0.0.3:1"}
	task := &Task{Self: here, Port: port, MaxOpen: 100, MaxOpening: 10, Draw: func() float64 { return 0 }, Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
	view := coltsfootlink.View{Members: []coltsfootlink.Member{
		{Instance: far, Live: true}, {Instance: here, Live: true}, {Instance: other, Live: true},
	}}
	task.Inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.ViewChanged{View: view}})
	task.Inbox.Put(coltsfootlink.Delivery{Message: pressure.Changed{State: state}})
	go func() { _ = task.Run(t.Context()) }()
	for deadline := time.Now().Add(5 * time.Second); len(task.Plan().addresses) == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	So(task.Plan().addresses, ShouldResemble, []string{address})
	return task
}

// post sends a body and returns the response's status and body; an error if the connection broke before the end of the
// response.
func post(client *http.Client, address, body string) (int, []byte, error) {
	response, err := client.Post(address, "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return response.StatusCode, got, err
}

func TestConnectionsAreForwardedWhileCPUIsShort(t *testing.T) {
	listen := func(handler http.Handler, full func() bool) func(*testing.T, string) {
		return func(t *testing.T, address string) {
			serve(t, &web.Server{Address: address, Handler: handler, ConnectionFilter: Receiver{Full: full}})
		}
	}
	cases := map[string]struct {
		state pressure.State
		// other starts the server of the other instance at an address.
		other     func(*testing.T, string)
		servedBy  string
		truncated bool
	}{
		"the other instance has capacity":                    {shortOfCPU(30), listen(echo("other"), never), "other", false},
		"CPU is not short":                                   {pressure.State{}, listen(echo("other"), never), "here", false},
		"the other instance is full":                         {shortOfCPU(30), listen(echo("other"), always), "here", false},
		"the other instance does not listen":                 {shortOfCPU(30), func(*testing.T, string) {}, "here", false},
		"the other instance aborts its response":             {shortOfCPU(30), listen(abortMidResponse(), never), "", true},
		"the other instance does not confirm the connection": {shortOfCPU(30), func(t *testing.T, address string) { serve(t, &web.Server{Address: address, Handler: echo("other")}) }, "here", false},
	}
	for name, test := range cases {
		Convey("a caller gets the complete response, or sees that it is truncated: "+name, t, func() {
			address := freeAddress(t)
			test.other(t, address)
			task := startTask(t, test.state, address)
			callers := freeAddress(t)
			serve(t, &web.Server{Address: callers, Handler: echo("here"), ConnectionFilter: task})
			// Let the backoff end that connections made while the server was starting may have caused.
			time.Sleep(2 * refusalBackoff)
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for _, size := range []int{1, 100, 1 << 20} {
				sent := strings.Repeat("x", size)
				status, got, err := post(client, "http://"+callers+"/", sent)
				if test.truncated {
					// The reset can overtake the response's first bytes; the caller then gets 502, since its request may have run.
					So(err != nil || status == http.StatusBadGateway && len(got) == 0, ShouldBeTrue)
					continue
				}
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
				So(bytes.Equal(got, []byte(test.servedBy+" "+sent)), ShouldBeTrue)
			}
		})
	}
}

func TestRequestsAreRefusedUnreadWhileCPUIsShort(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"
	complete := head + strings.Repeat("x", 30000)
	cases := map[string]struct {
		state   pressure.State
		draw    float64
		sent    string
		refused bool
	}{
		"CPU is not short": {pressure.State{}, 0.99, complete, false},
		"short of CPU, no other instance has capacity":             {shortOfCPU(30), 0.99, complete, true},
		"short of CPU, part of the request has arrived":            {shortOfCPU(30), 0.99, head, true},
		"short of CPU, nothing has arrived":                        {shortOfCPU(30), 0.99, "", false},
		"short of CPU, draw outside the refused fraction":          {shortOfCPU(30), 0.01, complete, false},
		"slightly short of CPU, requests within shares are served": {shortOfCPU(1), 0.99, complete, false},
	}
	for name, test := range cases {
		Convey("a caller is served, or refused at once with a time to retry: "+name, t, func() {
			plan := Plan{}.WithPressure(test.state)
			task := &Task{MaxOpen: 100, MaxOpening: 10, Draw: func() float64 { return test.draw }, Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries()}
			task.plan.Store(&plan)
			ctx := t.Context()
			task.runContext.Store(&ctx)
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

func TestForwardedCallersSeeTheFailureOfTheOtherInstance(t *testing.T) {
	const request = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nplan"
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nroof"
	cases := map[string]struct {
		// sent is what the caller sends in turn, and answers what the other instance answers to each before it closes
		// the connection.
		sent, answers []string
		reset         bool
		// got is everything that the caller receives; broke indicates that the connection then breaks.
		got   string
		broke bool
	}{
		"closed before the response":                                         {[]string{request}, []string{""}, false, badGateway, false},
		"reset before the response":                                          {[]string{request}, []string{""}, true, badGateway, false},
		"reset before the response to a connection's second request":         {[]string{request, request}, []string{complete, ""}, true, complete + badGateway, false},
		"reset within the response":                                          {[]string{request}, []string{complete[:20]}, true, complete[:20], true},
		"reset within a response that began before the request was complete": {[]string{request[:len(request)-2], "an"}, []string{complete[:20], ""}, true, complete[:20], true},
		"closed after the complete response":                                 {[]string{request}, []string{complete}, false, complete, false},
	}
	for name, test := range cases {
		Convey("a forwarded caller gets a response, or sees that the connection broke: "+name, t, func() {
			caller, here := pair(t)
			there, other := pair(t)
			task := &Task{Clock: coltsfootlink.SystemClock{}}
			forwarding := &forwarding{task: task, caller: here}
			ended := make(chan struct{})
			go func() {
				forwarding.copyBoth(t.Context(), there)
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

// TestResetsDuringAnUploadReachTheCaller guards against a response that breaks off and ends like a complete one, because the copy
// of the request was told of the reset.
func TestResetsDuringAnUploadReachTheCaller(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		Convey("reset after "+after.String(), t, func() {
			for range 20 {
				caller, here := pair(t)
				there, other := pair(t)
				forwarding := &forwarding{task: &Task{Clock: coltsfootlink.SystemClock{}}, caller: here}
				go forwarding.copyBoth(t.Context(), there)
				go func() {
					_, _ = io.WriteString(caller, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n"+strings.Repeat("x", 8<<20))
				}()
				_, err := other.Read(make([]byte, 1<<10))
				So(err, ShouldBeNil)
				_, err = io.WriteString(other, "HTTP/1.1 200 OK\r\n\r\nro")
				So(err, ShouldBeNil)
				time.Sleep(after)
				reset(other)
				got, err := io.ReadAll(caller)
				// The caller's own write may be told of the reset, too. A reset that overtakes the response is answered.
				So(err != nil || string(got) == badGateway || web.TCPState(caller) == unix.BPF_TCP_CLOSE, ShouldBeTrue)
				_ = caller.Close()
			}
		})
	}
}

// pair returns both ends of a TCP connection.
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

func TestForwardedConnectionsAreBounded(t *testing.T) {
	cases := map[string]struct {
		open, opening int64
		forwards      bool
	}{
		"below both limits":                         {99, 9, true},
		"limit of forwarded connections reached":    {100, 0, false},
		"limit of connections being opened reached": {10, 10, false},
	}
	for name, test := range cases {
		Convey("the number of forwarded connections is bounded: "+name, t, func() {
			task := startTask(t, shortOfCPU(30), "127.0.0.2:7414")
			task.open.Store(test.open)
			task.opening.Store(test.opening)
			So(task.ShouldForward(), ShouldEqual, test.forwards)
		})
	}
}

func TestForwardedConnectionsEnd(t *testing.T) {
	requestEnded := make(chan struct{}, 1)
	blockUntilEnd := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		requestEnded <- struct{}{}
	})
	cases := map[string]func(caller net.Conn, stop func()){
		"the caller leaves":      func(caller net.Conn, _ func()) { _ = caller.Close() },
		"the caller half-closes": func(caller net.Conn, _ func()) { _ = caller.(*net.TCPConn).CloseWrite() },
		"the relay stops":        func(_ net.Conn, stop func()) { stop() },
	}
	for name, end := range cases {
		Convey("the request is cancelled and no connection stays open when "+name, t, func() {
			address := freeAddress(t)
			serve(t, &web.Server{Address: address, Handler: blockUntilEnd, ConnectionFilter: Receiver{Full: never}})
			task := startTask(t, shortOfCPU(30), address)
			ctx, stop := context.WithCancel(t.Context())
			task.runContext.Store(&ctx)
			callers := freeAddress(t)
			serve(t, &web.Server{Address: callers, Handler: echo("here"), ConnectionFilter: task})
			time.Sleep(2 * refusalBackoff)
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
			case <-requestEnded:
			case <-time.After(5 * time.Second):
				So("the other instance is still handling the request after 5 s", ShouldBeEmpty)
			}
			for by := time.Now().Add(5 * time.Second); task.Open() > 0 && time.Now().Before(by); {
				time.Sleep(time.Millisecond)
			}
			So(task.Open(), ShouldEqual, 0)
			stop()
		})
	}
}

func TestDelayIsForwarded(t *testing.T) {
	cases := map[string]struct {
		sent, reported time.Duration
	}{
		"no delay":                              {0, 0},
		"a delay":                               {321 * time.Millisecond, 321 * time.Millisecond},
		"clock set back":                        {-time.Second, 0},
		"a delay beyond the encoding's maximum": {2 * time.Minute, 65535 * time.Millisecond},
	}
	for name, test := range cases {
		Convey("only the first request on a forwarded connection has a delay: "+name, t, func() {
			var reported []time.Duration
			address := freeAddress(t)
			serve(t, &web.Server{Address: address, ConnectionFilter: Receiver{Full: never}, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				reported = append(reported, web.ForwardingDelay(request))
			})})
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			got, err := reader.ReadByte()
			So(err, ShouldBeNil)
			So(got, ShouldEqual, acceptByte)
			const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
			for _, delay := range []time.Duration{test.sent, 0} {
				framed := make([]byte, frameBytes)
				newDataFrame(len(request), delay).put(framed)
				_, err = conn.Write(append(framed, request...))
				So(err, ShouldBeNil)
				response, err := http.ReadResponse(reader, nil)
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, http.StatusOK)
			}
			So(reported, ShouldResemble, []time.Duration{test.reported, 0})
		})
	}
}
