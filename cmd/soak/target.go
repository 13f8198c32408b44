package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"coltsfootlink"
	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

const (
	// slots is the number of requests that a target executes concurrently.
	slots = 4
	// maxInFlight is the number of requests that a target accepts at a time; those beyond the slots wait.
	maxInFlight = 12
	// workDuration is how long a request is executed before its answer begins.
	workDuration = 40 * time.Millisecond
	// eventInterval is the time between two events of a stream.
	eventInterval = 15 * time.Millisecond
	// coldPerSecond is the request rate that a target sustains during its cold start.
	coldPerSecond = 9.1
	// coldStartDuration is how long a cold start takes.
	coldStartDuration = 3 * time.Second
	// ioTimeout limits how long a target waits for the header of a request, and for its peer to read garbage.
	ioTimeout = 5 * time.Second
	// faultyShare is the share of answers that a fault affects.
	faultyShare = 0.5
	// backoffDuration is how long a target that sheds load asks for no requests, and trickleInterval the time between two
	// comments of a stream that does not end.
	backoffDuration = 2 * time.Second
	trickleInterval = 200 * time.Millisecond
	// trickle is the comment that such a stream repeats.
	trickle = ":\n"
	// maxGarbageBytes is the maximum number of garbage bytes in an endless answer.
	maxGarbageBytes = 32 << 20
)

// behaviour is the set of faults of a target; the zero value is a target without faults.
type behaviour struct {
	// fails has the target answer a share of its requests with status 500. lies has targets with an even index report
	// that they are unhealthy although they serve, and those with an odd index fail as with fails although they report
	// that they are healthy. garbles spoils a share of the answers with invalid bytes. endless answers all requests
	// with garbage that goes on. cuts truncates a share of the answers. sheds refuses a share of the requests with a
	// Retry-After. repeats sends a share of the answers once more when the connection is used again. loses closes the
	// connection in place of a share of the answers. trickles keeps a share of the streams open without ending them.
	fails, lies, garbles, endless, cuts, sheds, repeats, loses, trickles bool
}

// WithFault returns the behaviour with the fault of a kind switched on or off.
func (behaviour behaviour) WithFault(kind faultKind, on bool) behaviour {
	switch kind {
	case targetFailsKind:
		behaviour.fails = on
	case targetLiesKind:
		behaviour.lies = on
	case targetGarblesKind:
		behaviour.garbles = on
	case targetEndlessKind:
		behaviour.endless = on
	case targetCutsKind:
		behaviour.cuts = on
	case targetShedsKind:
		behaviour.sheds = on
	case targetRepeatsKind:
		behaviour.repeats = on
	case targetLosesKind:
		behaviour.loses = on
	case targetTricklesKind:
		behaviour.trickles = on
	}
	return behaviour
}

// target is a stand-in target, from its start until it stops, whose faults can be switched on and off while it runs.
type target struct {
	index               int
	name, zone, version string
	pool                string
	// address is the address at which it listens.
	address string
	born    time.Time
	// coldUntil is when its cold start ends.
	coldUntil time.Time
	// badVersion indicates that it runs a bad version, which always fails a share of its requests.
	badVersion bool
	record     func(any)

	// crash is called when a prompt crashes the target.
	crash func()

	behaviour atomic.Pointer[behaviour]
	// leaving indicates that it announces in its answers that it is shutting down.
	leaving    atomic.Bool
	running    chan struct{}
	inFlight   atomic.Int64
	executions atomic.Int64
}

// Run serves until the context ends, which closes all connections.
func (target *target) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", target.address)
	if err != nil {
		target.record(unexpectedExit{target.name + " cannot listen: " + err.Error()})
		return err
	}
	target.running = make(chan struct{}, slots)
	target.behaviour.CompareAndSwap(nil, new(behaviour))
	server := &http.Server{Handler: target, ReadHeaderTimeout: ioTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
	return ctx.Err()
}

// ServeHTTP answers load reports, health checks and requests.
func (target *target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	behaviour := *target.behaviour.Load()
	switch request.URL.Path {
	case platform.ReportPath:
		if behaviour.lies && target.index%2 == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		waiting := max(0, int(target.inFlight.Load())-slots)
		_, _ = fmt.Fprintf(writer, `{"waiting_requests":%d,"running_requests":%d,"born":%d}`, waiting, len(target.running), target.born.UnixMilli())
	case "/health":
		writer.Header().Set(standin.TargetHeader, target.name)
		if behaviour.lies && target.index%2 == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		target.answer(writer, request, behaviour)
	}
}

// answer executes a request once a slot is free. It rejects requests meant for another target and those beyond
// maxInFlight.
func (target *target) answer(writer http.ResponseWriter, request *http.Request, behaviour behaviour) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header := request.Header
	arrival := arrival{
		id: header.Get(standin.RequestIDHeader), target: target.name, zone: target.zone, version: target.version, index: target.index,
		at: time.Now(), cold: time.Now().Before(target.coldUntil), repeatable: header.Get(repeatableHeader) != "",
	}
	writer.Header().Set(standin.RequestIDHeader, arrival.id)
	if target.leaving.Load() {
		arrival.leaving = true
		writer.Header().Set(standin.LeavingHeader, "1")
	}
	if expected := header.Get(standin.ExpectTargetHeader); expected != "" && expected != target.name {
		arrival.misdirected = true
		target.refuse(writer, arrival, http.StatusMisdirectedRequest)
		return
	}
	if behaviour.sheds && rand.Float64() < faultyShare {
		arrival.backoff = backoffDuration
		writer.Header().Set(standin.RetryAfterHeader, fmt.Sprint(backoffDuration.Seconds()))
		target.refuse(writer, arrival, http.StatusServiceUnavailable)
		return
	}
	if target.inFlight.Add(1) > maxInFlight {
		target.inFlight.Add(-1)
		target.refuse(writer, arrival, http.StatusServiceUnavailable)
		return
	}
	defer target.inFlight.Add(-1)
	select {
	case target.running <- struct{}{}:
		defer func() { <-target.running }()
	case <-request.Context().Done():
		target.record(arrival)
		panic(http.ErrAbortHandler)
	}
	arrival.alteration = alteration(request, body)
	target.run(writer, request, arrival, behaviour)
}

func (target *target) refuse(writer http.ResponseWriter, arrival arrival, status int) {
	target.record(arrival)
	writer.Header().Set(standin.NotRunHeader, "1")
	writer.WriteHeader(status)
}

// alteration describes how a request differs from what its caller sent; empty if it does not.
func alteration(request *http.Request, body []byte) string {
	header := request.Header
	for _, name := range standin.ReservedHeaders {
		if header.Get(name) != "" {
			return "reserved header " + name + " was forwarded"
		}
	}
	sent := header.Get(digestHeader)
	if sent != digest(request.Method, request.RequestURI, string(body), header.Get(standin.RequestIDHeader), header.Get(standin.TeamHeader), header.Get(serialHeader)) {
		return "method, path, body, identifier or team was altered"
	}
	return ""
}

// run executes a request. Status and body of the answer are determined, and recorded by their stamp, before it begins.
func (target *target) run(writer http.ResponseWriter, request *http.Request, arrival arrival, behaviour behaviour) {
	status := http.StatusOK
	body := answerBody(request.Header)
	failing := behaviour.fails || target.badVersion || behaviour.lies && target.index%2 == 1
	if failing && rand.Float64() < faultyShare {
		status = http.StatusInternalServerError
		body = []byte("failed " + arrival.id)
	}
	arrival.ran = true
	arrival.stamp = fmt.Sprintf("%s.%d.%d.%s", target.name, target.executions.Add(1), status, digest(string(body)))
	arrival.crashing = strings.Contains(request.Header.Get(standin.PromptHeader), crashingPart)
	target.record(arrival)
	if !coltsfootlink.Sleep(request.Context(), workDuration) {
		panic(http.ErrAbortHandler)
	}
	if arrival.crashing {
		target.crashUnder(writer, arrival)
	}
	if behaviour.garbles && rand.Float64() < faultyShare || behaviour.endless {
		target.garble(writer, request, behaviour.endless, arrival.stamp, body, status)
		return
	}
	if behaviour.loses && rand.Float64() < faultyShare {
		panic(http.ErrAbortHandler)
	}
	if behaviour.repeats && rand.Float64() < faultyShare {
		target.repeat(writer, arrival, body, status)
		return
	}
	writer.Header().Set(standin.StampHeader, arrival.stamp)
	cut := len(body)
	if behaviour.cuts && rand.Float64() < faultyShare {
		cut = rand.IntN(len(body) + 1)
	}
	if status == http.StatusOK && request.Header.Get(streamHeader) != "" {
		target.stream(writer, request, body, cut)
		if behaviour.trickles && rand.Float64() < faultyShare {
			sendTrickle(writer, request)
		}
		return
	}
	writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body[:cut])
	if cut < len(body) {
		panic(http.ErrAbortHandler)
	}
}

// crashUnder begins an answer and crashes.
func (target *target) crashUnder(writer http.ResponseWriter, arrival arrival) {
	writer.Header().Set(standin.StampHeader, arrival.stamp)
	writer.Header().Set("Content-Type", platform.EventStream)
	// An error means that the peer has disconnected.
	_ = http.NewResponseController(writer).Flush()
	time.Sleep(eventInterval)
	target.crash()
	panic(http.ErrAbortHandler)
}

// stream sends the events of a body one by one. It aborts after cut bytes, possibly in the middle of an event, if the
// body is longer.
func (target *target) stream(writer http.ResponseWriter, request *http.Request, body []byte, cut int) {
	writer.Header().Set("Content-Type", platform.EventStream)
	control := http.NewResponseController(writer)
	sent := 0
	for _, event := range strings.SplitAfter(string(body), "\n\n") {
		piece := event[:min(len(event), cut-sent)]
		sent += len(piece)
		_, _ = io.WriteString(writer, piece)
		// An error means that the peer has disconnected, which also ends the context.
		_ = control.Flush()
		if len(piece) < len(event) || event != "" && !coltsfootlink.Sleep(request.Context(), eventInterval) {
			panic(http.ErrAbortHandler)
		}
	}
}

// sendTrickle keeps a stream open with comments, a few bytes now and then, until its peer disconnects.
func sendTrickle(writer http.ResponseWriter, request *http.Request) {
	for coltsfootlink.Sleep(request.Context(), trickleInterval) {
		_, _ = io.WriteString(writer, trickle)
		_ = http.NewResponseController(writer).Flush()
	}
	panic(http.ErrAbortHandler)
}

// repeat sends a complete answer and keeps the connection open. When the next request arrives on it, it sends the answer
// once more and closes the connection.
func (target *target) repeat(writer http.ResponseWriter, arrival arrival, body []byte, status int) {
	connection, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(ioTimeout))
	answer := answerText(status, arrival.id, arrival.stamp, body)
	_, _ = io.WriteString(connection, answer)
	if next, err := http.ReadRequest(buffered.Reader); err == nil {
		_, _ = io.Copy(io.Discard, next.Body)
		_, _ = io.WriteString(connection, answer)
	}
}

// answerText returns an answer as it is sent.
func answerText(status int, id, stamp string, body []byte) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, standin.RequestIDHeader, id, standin.StampHeader, stamp, len(body), body)
}

// garble sends nothing, part of a header, an answer to another request or a complete answer, followed by garbage. If
// endless is set, the garbage goes on until maxGarbageBytes or ioTimeout is reached.
func (target *target) garble(writer http.ResponseWriter, request *http.Request, endless bool, stamp string, body []byte, status int) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(ioTimeout))
	other := answerText(http.StatusOK, "other", "other", []byte("other"))
	complete := answerText(status, request.Header.Get(standin.RequestIDHeader), stamp, body)
	prefixes := []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: ", other, complete, complete + other}
	_, _ = io.WriteString(connection, prefixes[rand.IntN(len(prefixes))])
	garbage := content(request.Header.Get(standin.RequestIDHeader), 1<<10)
	for sent := 0; sent == 0 || endless && sent < maxGarbageBytes; sent += len(garbage) {
		if _, err := connection.Write(garbage); err != nil {
			return
		}
	}
}
