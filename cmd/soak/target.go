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
	// slots is the requests that a target runs at once, and places those that are there at once.
	slots  = 4
	places = 12
	// workSpan is how long a request runs, and eventPause the time between two events.
	workSpan   = 40 * time.Millisecond
	eventPause = 15 * time.Millisecond
	// coldPerSecond is what a cold target bears, and coldSpan how long it is cold.
	coldPerSecond = 9.1
	coldSpan      = 3 * time.Second
	// linkLimit is how long a target waits for a request's head, and for a caller to take garbage.
	linkLimit = 5 * time.Second
	// badShare is the part of the answers that a fault spoils.
	badShare = 0.5
	// mostGarbage is the most that an endless answer sends.
	mostGarbage = 32 << 20
)

// conduct is how a target behaves; the zero conduct is sound.
type conduct struct {
	fails, lies, garbles, endless, cuts bool
}

// WithFault returns the conduct with a fault, by the name of its kind, on or off.
func (held conduct) WithFault(kind faultKind, on bool) conduct {
	switch kind {
	case targetFailsKind:
		held.fails = on
	case targetLiesKind:
		held.lies = on
	case targetGarblesKind:
		held.garbles = on
	case targetEndlessKind:
		held.endless = on
	case targetCutsKind:
		held.cuts = on
	}
	return held
}

// target is one lifetime of a stand-in target that can be told to misbehave.
type target struct {
	index               int
	name, zone, version string
	pool                string
	// address is where it listens.
	address string
	born    time.Time
	// coldUntil is when it is warm.
	coldUntil time.Time
	// bad makes a part of its answers failures for good.
	bad  bool
	note func(any)

	conduct atomic.Pointer[conduct]
	running chan struct{}
	present atomic.Int64
	runs    atomic.Int64
}

// Run serves until the context ends, which cuts all connections.
func (served *target) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", served.address)
	if err != nil {
		served.note(ownEnding{served.name + " cannot listen: " + err.Error()})
		return err
	}
	served.running = make(chan struct{}, slots)
	served.conduct.CompareAndSwap(nil, new(conduct))
	server := &http.Server{Handler: served, ReadHeaderTimeout: linkLimit}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
	return ctx.Err()
}

// ServeHTTP answers reports, checks of health, and requests.
func (served *target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	behaves := *served.conduct.Load()
	switch request.URL.Path {
	case platform.ReportPath:
		if behaves.lies && served.index%2 == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		waits := max(0, int(served.present.Load())-slots)
		_, _ = fmt.Fprintf(writer, `{"waiting_requests":%d,"running_requests":%d,"born":%d}`, waits, len(served.running), served.born.UnixMilli())
	case "/health":
		writer.Header().Set(standin.TargetHeader, served.name)
		if behaves.lies && served.index%2 == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		served.answer(writer, request, behaves)
	}
}

// answer takes a request up or turns it away.
func (served *target) answer(writer http.ResponseWriter, request *http.Request, behaves conduct) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header := request.Header
	arrived := arrival{
		id: header.Get(standin.RequestIDHeader), target: served.name, zone: served.zone, version: served.version, index: served.index,
		at: time.Now(), cold: time.Now().Before(served.coldUntil), repeatable: header.Get(repeatHeader) != "",
	}
	writer.Header().Set(standin.RequestIDHeader, arrived.id)
	if expected := header.Get(standin.ExpectTargetHeader); expected != "" && expected != served.name {
		arrived.misdirected = true
		served.refuse(writer, arrived, http.StatusMisdirectedRequest)
		return
	}
	if served.present.Add(1) > places {
		served.present.Add(-1)
		served.refuse(writer, arrived, http.StatusServiceUnavailable)
		return
	}
	defer served.present.Add(-1)
	select {
	case served.running <- struct{}{}:
		defer func() { <-served.running }()
	case <-request.Context().Done():
		served.note(arrived)
		panic(http.ErrAbortHandler)
	}
	arrived.fault = changed(request, body)
	served.run(writer, request, arrived, behaves)
}

func (served *target) refuse(writer http.ResponseWriter, arrived arrival, status int) {
	served.note(arrived)
	writer.Header().Set(standin.NotRunHeader, "1")
	writer.WriteHeader(status)
}

// changed tells what of a request is not as its caller has sent it; empty if all is.
func changed(request *http.Request, body []byte) string {
	header := request.Header
	for _, name := range standin.ReservedHeaders {
		if header.Get(name) != "" {
			return "header " + name + " came through"
		}
	}
	sent := header.Get(digestHeader)
	if sent != digest(request.Method, request.RequestURI, string(body), header.Get(standin.RequestIDHeader), header.Get(standin.TeamHeader), header.Get(serialHeader)) {
		return "method, path, body, identifier or team was changed"
	}
	return ""
}

// run runs a request; what it answers is settled before it begins.
func (served *target) run(writer http.ResponseWriter, request *http.Request, arrived arrival, behaves conduct) {
	status := http.StatusOK
	body := answerBody(request.Header)
	failing := behaves.fails || served.bad || behaves.lies && served.index%2 == 1
	if failing && rand.Float64() < badShare {
		status = http.StatusInternalServerError
		body = []byte("failed " + arrived.id)
	}
	arrived.ran = true
	arrived.stamp = fmt.Sprintf("%s.%d.%d.%s", served.name, served.runs.Add(1), status, digest(string(body)))
	served.note(arrived)
	if !coltsfootlink.Sleep(request.Context(), workSpan) {
		panic(http.ErrAbortHandler)
	}
	if behaves.garbles && rand.Float64() < badShare || behaves.endless {
		served.garble(writer, request, behaves.endless, arrived.stamp, body, status)
		return
	}
	writer.Header().Set(standin.StampHeader, arrived.stamp)
	cut := len(body)
	if behaves.cuts && rand.Float64() < badShare {
		cut = rand.IntN(len(body) + 1)
	}
	if status == http.StatusOK && request.Header.Get(streamHeader) != "" {
		served.stream(writer, request, body, cut)
		return
	}
	writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body[:cut])
	if cut < len(body) {
		panic(http.ErrAbortHandler)
	}
}

// stream sends events one by one and breaks off where it is cut, also in the middle of an event.
func (served *target) stream(writer http.ResponseWriter, request *http.Request, body []byte, cut int) {
	writer.Header().Set("Content-Type", platform.EventStream)
	control := http.NewResponseController(writer)
	sent := 0
	for _, one := range strings.SplitAfter(string(body), "\n\n") {
		piece := one[:min(len(one), cut-sent)]
		sent += len(piece)
		_, _ = io.WriteString(writer, piece)
		// An error means that the caller has left, which the context tells too.
		_ = control.Flush()
		if len(piece) < len(one) || one != "" && !coltsfootlink.Sleep(request.Context(), eventPause) {
			panic(http.ErrAbortHandler)
		}
	}
}

// garble sends bytes that are no answer, with or without an end, or bytes after an answer.
func (served *target) garble(writer http.ResponseWriter, request *http.Request, endless bool, stamp string, body []byte, status int) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(linkLimit))
	answer := func(status int, id, stamp string, body []byte) string {
		return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, standin.RequestIDHeader, id, standin.StampHeader, stamp, len(body), body)
	}
	other := answer(http.StatusOK, "other", "other", []byte("other"))
	whole := answer(status, request.Header.Get(standin.RequestIDHeader), stamp, body)
	beginnings := []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX: ", other, whole, whole + other}
	_, _ = io.WriteString(connection, beginnings[rand.IntN(len(beginnings))])
	garbage := content(request.Header.Get(standin.RequestIDHeader), 1<<10)
	for sent := 0; sent == 0 || endless && sent < mostGarbage; sent += len(garbage) {
		if _, err := connection.Write(garbage); err != nil {
			return
		}
	}
}
