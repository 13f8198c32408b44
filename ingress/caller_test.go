package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/pressure"
	"coltsfootlink/rig"
	"coltsfootlink/share"
)

// callerEnv turns the test binary into a caller process. It holds the call pattern, the address and the number of
// calls.
const callerEnv = "COLTSFOOT_TEST_CALLER"

func TestMain(m *testing.M) {
	if fields := strings.Fields(os.Getenv(callerEnv)); len(fields) == 3 {
		count, _ := strconv.Atoi(fields[2])
		callMany(patterns[fields[0]], fields[1], count)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const callText = "POST /private/a HTTP/1.1\r\nHost: h\r\nAttempt-Id: 9c41d07be2a35f68\r\nModel: m\r\nToken-Counts: 1460,80\r\n" +
	"Authorization: Bearer key\r\nTime-Left-Ms: 1500\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: 4\r\n\r\nplan"

// patterns are the ways in which callers use connections. Each makes one call on the given connection, nil for none,
// and returns the connection for the next call.
var patterns = map[string]func(conn net.Conn, address string) net.Conn{
	"new": func(_ net.Conn, address string) net.Conn {
		_ = call(nil, address).Close()
		return nil
	},
	"keep-alive": call,
	"disconnect": func(_ net.Conn, address string) net.Conn {
		if conn, err := net.Dial("tcp4", address); err == nil {
			_, _ = io.WriteString(conn, callText)
			_ = conn.Close()
		}
		return nil
	},
}

// call sends a request and reads its answer; it opens a connection if there is none.
func call(conn net.Conn, address string) net.Conn {
	if conn == nil {
		opened, err := net.Dial("tcp4", address)
		if err != nil {
			panic(err)
		}
		conn = opened
	}
	_, _ = io.WriteString(conn, callText)
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
	return conn
}

// callMany makes count calls from 16 concurrent callers.
func callMany(pattern func(net.Conn, string) net.Conn, address string, count int) {
	var remaining atomic.Int64
	remaining.Store(int64(count))
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			var conn net.Conn
			for remaining.Add(-1) >= 0 {
				conn = pattern(conn, address)
			}
		})
	}
	callers.Wait()
}

// BenchmarkCallers measures the CPU time in microseconds that a call from another process costs an instance, by how the
// instance treats it.
func BenchmarkCallers(b *testing.B) {
	overloaded := pressure.State{}
	for range 100 {
		overloaded = overloaded.WithWait(time.Second)
	}
	noShare := coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team"}}}
	cases := map[string]struct {
		pattern    string
		dispatcher *fakeDispatcher
	}{
		"refused for the team's share, new connection":    {"new", &fakeDispatcher{shares: noShare}},
		"refused for the team's share, kept connection":   {"keep-alive", &fakeDispatcher{shares: noShare}},
		"refused for lack of CPU, new connection":         {"new", &fakeDispatcher{pressure: overloaded}},
		"refused for lack of CPU, kept connection":        {"keep-alive", &fakeDispatcher{pressure: overloaded}},
		"disconnected before the connection was accepted": {"disconnect", &fakeDispatcher{shares: noShare}},
	}
	for name, test := range cases {
		b.Run(name, func(b *testing.B) {
			test.dispatcher.log = zerolog.New(io.Discard).With().Timestamp().Logger()
			service := newService(b, test.dispatcher, true)
			standings := share.Standings{}.WithShares(time.Now().Add(time.Hour), test.dispatcher.shares)
			service.Gate.standings.Store(&standings)
			address := serveFiltered(b, service, nil)
			_ = dialWithRetry(b, address).Close()
			caller := exec.Command(os.Args[0])
			caller.Env = append(os.Environ(), callerEnv+"="+test.pattern+" "+address+" "+strconv.Itoa(b.N))
			b.ResetTimer()
			before := rig.CPUTime()
			if err := caller.Run(); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64((rig.CPUTime()-before).Microseconds())/float64(b.N), "processor-µs/op")
		})
	}
}
