package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/rig"
	"coltsfootlink/web"
)

// helperVariable is the environment variable that makes the test binary run as a helper process of a benchmark. Its
// value is the process's role, an address and a number.
const helperVariable = "COLTSFOOT_TEST_PART"

// eventInterval is the time between two events of a stream in the benchmarks.
const eventInterval = 20 * time.Millisecond

func TestMain(m *testing.M) {
	if words := strings.Fields(os.Getenv(helperVariable)); len(words) == 3 {
		number, _ := strconv.Atoi(words[2])
		map[string]func(string, int){"caller": makeCalls, "other": serveEvents}[words[0]](words[1], number)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// serveEvents runs the other instance: it answers each request with the given number of events, one every
// eventInterval.
func serveEvents(address string, events int) {
	server := &web.Server{Part: "other", Address: address, ConnectionFilter: Receiver{Full: never}, Log: zerolog.Nop(),
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			for event := range events {
				if event > 0 {
					time.Sleep(eventInterval)
				}
				_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 80))
				_ = http.NewResponseController(writer).Flush()
			}
		})}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	_ = server.Run(ctx)
}

// helperProcess returns the command for a helper process of a benchmark.
func helperProcess(name, address string, number int) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), helperVariable+"="+name+" "+address+" "+strconv.Itoa(number))
	return command
}

// makeCalls makes the given number of calls, 64 at a time, each on a new connection.
func makeCalls(address string, count int) {
	var remaining atomic.Int64
	remaining.Store(int64(count))
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			for remaining.Add(-1) >= 0 {
				conn, err := net.Dial("tcp4", address)
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2400\r\n\r\n"+strings.Repeat("x", 2400))
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
				}
				_ = conn.Close()
			}
		})
	}
	callers.Wait()
}

// delayingFilter is a connection filter that delays connections, so that their requests have arrived by the time they
// are admitted.
type delayingFilter struct {
	*Task
	seen int
}

// Admit sleeps for 2 ms before every sixteenth connection.
func (filter *delayingFilter) Admit(caller net.Conn, giveBack func(net.Conn)) net.Conn {
	if filter.seen++; filter.seen%16 == 0 {
		time.Sleep(2 * time.Millisecond)
	}
	return filter.Task.Admit(caller, giveBack)
}

// measureCPU serves the calls of another process with the given plan and reports the CPU time that a call costs this
// process, in microseconds.
func measureCPU(b *testing.B, task *Task, plan Plan) {
	task.plan.Store(&plan)
	ctx := b.Context()
	task.runContext.Store(&ctx)
	here, err := loopback.FreeAddress()
	if err != nil {
		b.Fatal(err)
	}
	server := &web.Server{Part: "here", Address: here, Handler: echo("here"), ConnectionFilter: &delayingFilter{Task: task}, Log: zerolog.Nop()}
	go func() { _ = server.Run(ctx) }()
	time.Sleep(500 * time.Millisecond)
	caller := helperProcess("caller", here, b.N)
	b.ResetTimer()
	before := rig.CPUTime()
	if err := caller.Run(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64((rig.CPUTime()-before).Microseconds())/float64(b.N), "processor-µs/op")
}

// newTask returns the task of an instance that forwards connections to a port.
func newTask(port string, draw float64) *Task {
	return &Task{
		Self: coltsfootlink.Instance{Name: "here"}, Port: port, MaxOpen: 1000, MaxOpening: 1000,
		Draw: func() float64 { return draw }, Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries(),
	}
}

// BenchmarkPassedOn measures the CPU time that a forwarded connection costs an instance, by the number of events in
// the response.
func BenchmarkPassedOn(b *testing.B) {
	cases := map[string]int{"1 event": 1, "2 events": 2, "30 events": 30}
	for name, events := range cases {
		b.Run(name, func(b *testing.B) {
			other, err := loopback.FreeAddress()
			if err != nil {
				b.Fatal(err)
			}
			server := helperProcess("other", other, events)
			if err := server.Start(); err != nil {
				b.Fatal(err)
			}
			defer func() {
				_ = server.Process.Signal(syscall.SIGTERM)
				_ = server.Wait()
			}()
			host, port, _ := net.SplitHostPort(other)
			measureCPU(b, newTask(port, 0), Plan{}.WithPressure(shortOfCPU(30)).WithAddresses([]string{net.JoinHostPort(host, port)}))
		})
	}
}

// BenchmarkRefusedUnread measures the CPU time that a connection refused unread costs an instance.
func BenchmarkRefusedUnread(b *testing.B) {
	measureCPU(b, newTask("1", 0.99), Plan{}.WithPressure(shortOfCPU(30)))
}
