package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/engine"
)

// startEngine runs an engine with two slots and a queue limit of one request.
func startEngine(t *testing.T) *Engine {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	served := NewEngine("e", address, engine.Traits{
		Rates: engine.Rates{PromptTokensPerMilli: 100, StepMillis: 2, ChunkTokens: 1000}, Slots: 2, MemoryTokens: 50_000, EventTokens: 6,
	}, 1)
	ctx := t.Context()
	go func() { _ = served.Run(ctx) }()
	for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp4", address); err == nil {
			_ = conn.Close()
			return served
		}
	}
	t.Fatal("the engine accepted no connection within 5 s")
	return nil
}

// sendRequest sends a request with the given number of output tokens; expected is the engine that it is meant for.
func sendRequest(t *testing.T, served *Engine, expected string, output int) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+served.Address+"/a", strings.NewReader("plan"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Attempt-Id", "r-1")
	request.Header.Set("Expect-Instance", expected)
	request.Header.Set("Token-Counts", fmt.Sprintf("1000,%d", output))
	request.Header.Set("Prompt-Prefix", "a1:800,b2:200")
	return http.DefaultTransport.RoundTrip(request)
}

func TestEngine(t *testing.T) {
	cases := map[string]struct {
		expected string
		output   int
		// pending is the number of long requests that the engine runs or queues when the request is sent.
		pending  int
		fault    EngineFault
		status   int
		events   int
		complete bool
	}{
		"complete stream":             {"e", 20, 0, EngineFault{}, 200, 4, true},
		"request for another engine":  {"f", 20, 0, EngineFault{}, 421, 0, true},
		"queue full":                  {"e", 20, 3, EngineFault{}, 503, 0, true},
		"crash during the stream":     {"e", 100_000, 0, EngineFault{Crash: true}, 200, -1, false},
		"engine sends no more events": {"e", 100_000, 0, EngineFault{Mute: true}, 200, -1, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			served := startEngine(t)
			for range test.pending {
				go func() {
					if response, err := sendRequest(t, served, "e", 100_000); err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
					}
				}()
			}
			time.Sleep(time.Duration(test.pending) * 50 * time.Millisecond)
			response, err := sendRequest(t, served, test.expected, test.output)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			So(response.StatusCode, ShouldEqual, test.status)
			So(response.Header.Get("Not-Run") != "", ShouldEqual, test.status == 503)
			So(response.Header.Get("Answer-Stamp") != "", ShouldEqual, test.status == 200)
			if test.fault != (EngineFault{}) {
				time.AfterFunc(50*time.Millisecond, func() { served.SetFault(test.fault) })
				// The caller closes the body if the engine sends no more events.
				time.AfterFunc(300*time.Millisecond, func() { _ = response.Body.Close() })
			}
			events := 0
			lines := bufio.NewScanner(response.Body)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "id: ") {
					events++
				}
			}
			So(lines.Err() == nil, ShouldEqual, test.complete)
			if test.events >= 0 {
				So(events, ShouldEqual, test.events)
			}
		})
	}
	Convey("the prompt tokens of a repeated prompt are found in the cache", t, func() {
		served := startEngine(t)
		for range 2 {
			response, err := sendRequest(t, served, "e", 6)
			So(err, ShouldBeNil)
			_, err = io.ReadAll(response.Body)
			So(err, ShouldBeNil)
		}
		stats := served.Stats(t.Context())
		So(stats.ReadTokens, ShouldEqual, 1000)
		So(stats.CachedTokens, ShouldEqual, 1000)
	})
}
