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

// startEngine runs an engine with two slots and a queue of one.
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
	t.Fatal("the engine does not listen")
	return nil
}

// askEngine sends a request for so many tokens.
func askEngine(t *testing.T, served *Engine, expected string, output int) (*http.Response, error) {
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

func TestStandinEngine(t *testing.T) {
	cases := map[string]struct {
		expected string
		output   int
		// busy is how many requests the engine has before.
		busy   int
		fault  EngineFault
		status int
		events int
		whole  bool
	}{
		"a whole stream":                  {"e", 20, 0, EngineFault{}, 200, 4, true},
		"another engine was meant":        {"f", 20, 0, EngineFault{}, 421, 0, true},
		"full":                            {"e", 20, 3, EngineFault{}, 503, 0, true},
		"a crash in the middle of it":     {"e", 100_000, 0, EngineFault{Crash: true}, 200, -1, false},
		"an engine that no longer speaks": {"e", 100_000, 0, EngineFault{Mute: true}, 200, -1, false},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			served := startEngine(t)
			for range test.busy {
				go func() {
					if response, err := askEngine(t, served, "e", 100_000); err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
					}
				}()
			}
			time.Sleep(time.Duration(test.busy) * 50 * time.Millisecond)
			response, err := askEngine(t, served, test.expected, test.output)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			So(response.StatusCode, ShouldEqual, test.status)
			So(response.Header.Get("Not-Run") != "", ShouldEqual, test.status == 503)
			So(response.Header.Get("Answer-Stamp") != "", ShouldEqual, test.status == 200)
			if test.fault != (EngineFault{}) {
				time.AfterFunc(50*time.Millisecond, func() { served.SetFault(test.fault) })
				// One that says nothing more is ended by its caller.
				time.AfterFunc(300*time.Millisecond, func() { _ = response.Body.Close() })
			}
			events := 0
			lines := bufio.NewScanner(response.Body)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "id: ") {
					events++
				}
			}
			So(lines.Err() == nil, ShouldEqual, test.whole)
			if test.events >= 0 {
				So(events, ShouldEqual, test.events)
			}
		})
	}
	Convey("what was read is not read again", t, func() {
		served := startEngine(t)
		for range 2 {
			response, err := askEngine(t, served, "e", 6)
			So(err, ShouldBeNil)
			_, err = io.ReadAll(response.Body)
			So(err, ShouldBeNil)
		}
		reading := served.Reading(t.Context())
		So(reading.Read, ShouldEqual, 1000)
		So(reading.Found, ShouldEqual, 1000)
	})
}
