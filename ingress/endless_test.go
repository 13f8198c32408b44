package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/time/rate"

	"coltsfootlink"
	"coltsfootlink/loopback"
)

// startFlood starts a target that answers each request with a text and then repeats another one until the connection is closed.
// After a number of bytes it stalls; zero for never.
func startFlood(t *testing.T, begin, repeated string, stallAfter int) *fakeTarget {
	t.Helper()
	block := []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated)))
	address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, begin); err != nil {
			return
		}
		for sent := 0; stallAfter == 0 || sent < stallAfter; sent += len(block) {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fakeTarget{Target: coltsfootlink.Target{Name: "t", Pool: "p", Address: address}}
}

// endlessBodies are answers whose bodies do not end, by how they go on.
var endlessBodies = map[string]struct{ path, begin, repeated string }{
	"a plain body until the close": {"/safe/a", stamped + "\r\n", "x"},
	"a plain body in chunks":       {"/safe/a", stamped + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	"events of a stream":           {"/stream/a", stamped + "Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
	"events of a resumable stream": {"/resumable/a", stamped + "Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
}

// TestEndlessBodiesArePacedTogether guards against targets whose endless bodies take the processor from other requests.
func TestEndlessBodiesArePacedTogether(t *testing.T) {
	const callers, pace, timeout = 4, 1 << 20, time.Second
	for name, test := range endlessBodies {
		Convey(name, t, func() {
			service := newService(t, &fakeDispatcher{targets: []*fakeTarget{startFlood(t, test.begin, test.repeated, 0)}}, true)
			service.LongAnswers = rate.NewLimiter(pace, freeAnswerBytes)
			server := httptest.NewServer(service)
			defer server.Close()
			received := make(chan int64, callers)
			for range callers {
				go func() {
					count, whole := receive(t, server.URL+test.path, timeout)
					if whole {
						count = -1
					}
					received <- count
				}()
			}
			var sum int64
			for range callers {
				count := <-received
				So(count, ShouldBeGreaterThanOrEqualTo, 0)
				sum += count
			}
			So(sum, ShouldBeLessThan, (callers+1)*freeAnswerBytes+2*pace)
		})
	}
}

// receive sends a request and returns the number of bytes of its answer's body, and whether it came to its end.
func receive(t *testing.T, url string, timeout time.Duration) (count int64, whole bool) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
	if err != nil {
		t.Error(err)
		return 0, false
	}
	request.Host = "h"
	request.Header = http.Header{"Attempt-Id": {"r-1"}, "Time-Left-Ms": {"1000"}, "Authorization": {"Bearer key"}}
	response, err := (&http.Client{Timeout: 5 * timeout}).Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	count, err = io.Copy(io.Discard, response.Body)
	return count, err == nil && response.StatusCode == http.StatusOK
}
