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

// partVariable makes this test's program another process of a benchmark: it holds the part, an address and a number.
const partVariable = "COLTSFOOT_TEST_PART"

// eventGap is the time between two events of the benchmarks' streams.
const eventGap = 20 * time.Millisecond

func TestMain(m *testing.M) {
	if words := strings.Fields(os.Getenv(partVariable)); len(words) == 3 {
		number, _ := strconv.Atoi(words[2])
		map[string]func(string, int){"caller": callMany, "other": answerStreams}[words[0]](words[1], number)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// answerStreams is the other instance: it answers with that many events, one after the other.
func answerStreams(address string, events int) {
	server := &web.Server{Part: "other", Address: address, ConnectionFilter: Entrance{Full: never}, Log: zerolog.Nop(),
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			for event := range events {
				if event > 0 {
					time.Sleep(eventGap)
				}
				_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 80))
				_ = http.NewResponseController(writer).Flush()
			}
		})}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	_ = server.Run(ctx)
}

// part returns another process of a benchmark.
func part(name, address string, number int) *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), partVariable+"="+name+" "+address+" "+strconv.Itoa(number))
	return command
}

// callMany makes that many calls, some at a time, each on a new connection.
func callMany(address string, count int) {
	var left atomic.Int64
	left.Store(int64(count))
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
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

// lagging is a doorman that lets connections wait, so that their requests have come when they are accepted.
type lagging struct {
	*Task
	seen int
}

// Admit waits before each sixteenth connection.
func (lagging *lagging) Admit(caller net.Conn, back func(net.Conn)) net.Conn {
	if lagging.seen++; lagging.seen%16 == 0 {
		time.Sleep(2 * time.Millisecond)
	}
	return lagging.Task.Admit(caller, back)
}

// measure serves callers with a doorman and reports what each costs this process, in microseconds of the processor.
func measure(b *testing.B, task *Task, plan Plan) {
	task.plan.Store(&plan)
	life := b.Context()
	task.life.Store(&life)
	here, err := loopback.FreeAddress()
	if err != nil {
		b.Fatal(err)
	}
	server := &web.Server{Part: "here", Address: here, Handler: answers("here"), ConnectionFilter: &lagging{Task: task}, Log: zerolog.Nop()}
	go func() { _ = server.Run(life) }()
	time.Sleep(500 * time.Millisecond)
	caller := part("caller", here, b.N)
	b.ResetTimer()
	before := rig.Spent()
	if err := caller.Run(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64((rig.Spent()-before).Microseconds())/float64(b.N), "processor-µs/op")
}

// newRelay returns the task of an instance whose others take connections at a port.
func newRelay(port string, draw float64) *Task {
	return &Task{
		Self: coltsfootlink.Instance{Name: "here"}, Port: port, Most: 1000, MostOpening: 1000,
		Draw: func() float64 { return draw }, Clock: coltsfootlink.SystemClock{}, Inbox: mailbox.NewDeliveries(),
	}
}

// BenchmarkPassedOn is what connections that are passed on cost an instance, by how many events come back.
func BenchmarkPassedOn(b *testing.B) {
	cases := map[string]int{"1 event": 1, "2 events": 2, "30 events": 30}
	for name, events := range cases {
		b.Run(name, func(b *testing.B) {
			other, err := loopback.FreeAddress()
			if err != nil {
				b.Fatal(err)
			}
			answering := part("other", other, events)
			if err := answering.Start(); err != nil {
				b.Fatal(err)
			}
			defer func() {
				_ = answering.Process.Signal(syscall.SIGTERM)
				_ = answering.Wait()
			}()
			host, port, _ := net.SplitHostPort(other)
			measure(b, newRelay(port, 0), Plan{}.WithPressure(behind(30)).WithAddresses([]string{net.JoinHostPort(host, port)}))
		})
	}
}

// BenchmarkRefusedUnread is what connections that are refused unread cost an instance.
func BenchmarkRefusedUnread(b *testing.B) {
	measure(b, newRelay("1", 0.99), Plan{}.WithPressure(behind(30)))
}
