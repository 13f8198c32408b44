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

// callerVariable makes this test's program a caller: it holds the way to call, the address and the number of calls.
const callerVariable = "COLTSFOOT_TEST_CALLER"

func TestMain(m *testing.M) {
	if words := strings.Fields(os.Getenv(callerVariable)); len(words) == 3 {
		count, _ := strconv.Atoi(words[2])
		callMany(ways[words[0]], words[1], count)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const callText = "POST /private/a HTTP/1.1\r\nHost: h\r\nAttempt-Id: 9c41d07be2a35f68\r\nModel: m\r\nToken-Counts: 1460,80\r\n" +
	"Authorization: Bearer key\r\nTime-Left-Ms: 1500\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: 4\r\n\r\nplan"

// ways are how callers call: the connection is nil before the first call, and after those that end it.
var ways = map[string]func(conn net.Conn, address string) net.Conn{
	"new": func(_ net.Conn, address string) net.Conn {
		_ = call(nil, address).Close()
		return nil
	},
	"kept": call,
	"leave": func(_ net.Conn, address string) net.Conn {
		if conn, err := net.Dial("tcp4", address); err == nil {
			_, _ = io.WriteString(conn, callText)
			_ = conn.Close()
		}
		return nil
	},
}

// call sends a request, on a new connection if there is none, and reads its answer.
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

// callMany makes that many calls, some at a time.
func callMany(way func(net.Conn, string) net.Conn, address string, count int) {
	var left atomic.Int64
	left.Store(int64(count))
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			var conn net.Conn
			for left.Add(-1) >= 0 {
				conn = way(conn, address)
			}
		})
	}
	callers.Wait()
}

// BenchmarkCallers is what callers of another process cost an instance, in microseconds of the processor, by how it treats them.
func BenchmarkCallers(b *testing.B) {
	behind := pressure.State{}
	for range 100 {
		behind = behind.WithWait(time.Second)
	}
	over := coltsfootlink.Shares{Pool: "p", Teams: []coltsfootlink.TeamShare{{Team: "team"}}}
	cases := map[string]struct {
		way   string
		offer *offer
	}{
		"refused for the share, new connection":      {"new", &offer{shares: over}},
		"refused for the share, kept connection":     {"kept", &offer{shares: over}},
		"refused for the processor, new connection":  {"new", &offer{state: behind}},
		"refused for the processor, kept connection": {"kept", &offer{state: behind}},
		"left before they were accepted":             {"leave", &offer{shares: over}},
	}
	for name, test := range cases {
		b.Run(name, func(b *testing.B) {
			test.offer.log = zerolog.New(io.Discard).With().Timestamp().Logger()
			service := newService(b, test.offer, true)
			standings := share.Standings{}.WithShares(time.Now().Add(time.Hour), test.offer.shares)
			service.Gate.standings.Store(&standings)
			address := serveBehind(b, service, nil)
			_ = dialUntil(b, address).Close()
			caller := exec.Command(os.Args[0])
			caller.Env = append(os.Environ(), callerVariable+"="+test.way+" "+address+" "+strconv.Itoa(b.N))
			b.ResetTimer()
			before := rig.CPUTime()
			if err := caller.Run(); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64((rig.CPUTime()-before).Microseconds())/float64(b.N), "processor-µs/op")
		})
	}
}
