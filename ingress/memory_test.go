package ingress

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/time/rate"

	"coltsfootlink"
)

// heapBytes returns the size of the objects that are in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestEndlessAnswersShareTheMemory guards against targets whose endless answers are held in full for each caller.
func TestEndlessAnswersShareTheMemory(t *testing.T) {
	const (
		callers = 80
		budget  = 4 << 20
		// perCaller bounds what an exchange holds without a reservation: its buffer, and the connections on both sides.
		perCaller = 4 * smallBytes
	)
	const withinBuffer, withinHead = bufferedAnswerBytes - 128<<10, 1
	cases := map[string]struct {
		path, begin, repeated string
		stallAfter            int
	}{
		"in a body until the close":  {"/safe/a", stamped + "\r\n", "x", withinBuffer},
		"in a body with a length":    {"/safe/a", stamped + "Content-Length: 60000000\r\n\r\n", "x", withinBuffer},
		"in chunks":                  {"/safe/a", stamped + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", withinBuffer},
		"in an event":                {"/resumable/a", stamped + "Content-Type: text/event-stream\r\n\r\n", "data: x\n", withinBuffer},
		"in events without end":      {"/stream/a", stamped + "Content-Type: text/event-stream\r\n\r\n", "data: x\n", withinBuffer},
		"in the lines of a head":     {"/safe/a", stamped, "X: y\r\n", withinHead},
		"in different header lines":  {"/safe/a", stamped, headerLines(), withinHead},
		"in the line of a head":      {"/safe/a", stamped + "X: ", "x", withinHead},
		"in chunks of one byte each": {"/safe/a", stamped + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", withinBuffer},
	}
	for name, test := range cases {
		Convey("of many callers: "+name, t, func() {
			service := newService(t, &fakeDispatcher{targets: []*fakeTarget{startFlood(t, test.begin, test.repeated, test.stallAfter)}, memoryBytes: budget}, true)
			service.LongAnswers = rate.NewLimiter(1<<20, freeAnswerBytes)
			server := httptest.NewServer(service)
			defer server.Close()
			defer debug.SetGCPercent(debug.SetGCPercent(10))
			before := heapBytes()
			var running atomic.Int64
			for range callers {
				running.Add(1)
				go func() {
					defer running.Add(-1)
					_, _ = receive(t, server.URL+test.path, 2*time.Second)
				}()
			}
			peak := int64(0)
			for running.Load() > 0 {
				peak = max(peak, heapBytes()-before)
				time.Sleep(10 * time.Millisecond)
			}
			So(peak, ShouldBeLessThan, budget+callers*perCaller)
		})
	}
}

// headerLines returns header lines that all differ.
func headerLines() string {
	var text bytes.Buffer
	for number := range 5000 {
		text.WriteString("A" + strings.Repeat("b", number%7) + string(rune('a'+number%26)) + string(rune('a'+number/26%26)) + string(rune('a'+number/676)) + ":\r\n")
	}
	return text.String()
}

// TestLargeBodiesShareTheMemory guards against callers whose large bodies take all memory of the instance.
func TestLargeBodiesShareTheMemory(t *testing.T) {
	const callers, bodyBytes, budget = 12, 1 << 20, 3 << 20
	// The target closes each connection after its answer, and says so, so that none is used again.
	lastAnswer := strings.Replace(succeeded, "\r\n", "\r\nConnection: close\r\n", 1)
	cases := map[string]bool{"with a length": true, "in chunks": false}
	for name, declared := range cases {
		Convey("large bodies beyond the memory are refused, and small requests go on: "+name, t, func() {
			var held, most atomic.Int64
			release := make(chan struct{})
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", lastAnswer)}, memoryBytes: budget}
			dispatcher.beforeReply = func() { <-release }
			service := newService(t, dispatcher, true)
			table := coltsfootlink.RoutingTable{Version: 1, Limits: coltsfootlink.CallerLimits{BodyBytes: bodyBytes}}.WithRules(rules())
			service.Gate.setCatalog(coltsfootlink.Catalog{}.WithTable(table))
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				most.Store(max(most.Load(), held.Add(1)))
				defer held.Add(-1)
				service.ServeHTTP(writer, request)
			}))
			defer server.Close()
			statuses := make(chan int, callers)
			for range callers {
				go func() {
					var body io.Reader = bytes.NewReader(make([]byte, bodyBytes))
					if !declared {
						body = io.MultiReader(body)
					}
					status, retry := post(t, server.URL+"/safe/a", body)
					if status == http.StatusServiceUnavailable && retry == "" {
						status = 0
					}
					statuses <- status
				}()
			}
			counts := make(map[int]int)
			for range callers - budget/bodyBytes {
				counts[<-statuses]++
			}
			So(counts, ShouldResemble, map[int]int{http.StatusServiceUnavailable: callers - budget/bodyBytes})
			close(release)
			for range budget / bodyBytes {
				counts[<-statuses]++
			}
			So(counts[http.StatusOK], ShouldEqual, budget/bodyBytes)
			status, _ := post(t, server.URL+"/safe/a", strings.NewReader("small"))
			So(status, ShouldEqual, http.StatusOK)
			status, _ = post(t, server.URL+"/safe/a", bytes.NewReader(make([]byte, bodyBytes)))
			So(status, ShouldEqual, http.StatusOK)
		})
	}
}

// post sends a request with a body and returns the status and the Retry-After of the answer; the status is zero if there is none.
func post(t *testing.T, url string, body io.Reader) (status int, retryAfter string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	request.Host = "h"
	request.Header = http.Header{"Attempt-Id": {"r-1"}, "Time-Left-Ms": {"5000"}}
	response, err := new(http.Client).Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Retry-After")
}
