package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"coltsfootlink"
	"coltsfootlink/engine"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
)

// Engine is a model engine on the users' platform: engine.State in real time, with faults.
type Engine struct {
	Name, Address string
	Traits        engine.Traits
	// Queue is the number of requests that wait before further ones are turned away.
	Queue int

	inbox  *mailbox.Mailbox[any]
	serial atomic.Uint64
}

// EngineFault is how an engine misbehaves from now on; the zero fault is none.
type EngineFault struct {
	// Crash ends all streams and forgets everything, once.
	Crash bool
	// Mute makes the engine take requests and answer nothing.
	Mute bool
}

// arrival is a request that has come; its events go to stream.
type arrival struct {
	job    engine.Job
	stream chan engine.Event
	// taken tells whether the engine takes the request.
	taken chan bool
}

// departure tells that a caller has left.
type departure struct{ id uint64 }

// inquiry asks for the engine's report, and what it has read.
type inquiry struct{ reply chan Reading }

// Reading is what an engine has read so far, and what it says of its work.
type Reading struct {
	coltsfootlink.EngineReport
	// Read is the prompt tokens that were read, Found those that were kept.
	Read, Found int
}

// NewEngine returns an engine that runs once Run is called.
func NewEngine(name, address string, traits engine.Traits, queue int) *Engine {
	return &Engine{Name: name, Address: address, Traits: traits, Queue: queue, inbox: mailbox.New[any]()}
}

// Run serves until the context ends.
func (served *Engine) Run(ctx context.Context) error {
	go served.runState(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReportPath, served.report)
	mux.HandleFunc("/", served.answer)
	return serve(ctx, served.Address, mux)
}

// SetFault makes the engine misbehave.
func (served *Engine) SetFault(fault EngineFault) { served.inbox.Put(fault) }

// Reading returns what the engine has read so far.
func (served *Engine) Reading(ctx context.Context) Reading {
	reply := make(chan Reading, 1)
	served.inbox.Put(inquiry{reply: reply})
	select {
	case reading := <-reply:
		return reading
	case <-ctx.Done():
		return Reading{}
	}
}

// shift is what the task that owns the engine's state knows.
type shift struct {
	served  *Engine
	state   engine.State
	streams map[uint64]chan engine.Event
	fault   EngineFault
	// readBefore and foundBefore are what was read before the last crash.
	readBefore, foundBefore int
}

// runState owns the engine's state until the context ends.
func (served *Engine) runState(ctx context.Context) {
	held := &shift{served: served, state: engine.NewState(served.Traits), streams: make(map[uint64]chan engine.Event)}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer held.endAll()
	for {
		if at, runs := held.state.NextAt(); runs {
			timer.Reset(time.Until(at))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-served.inbox.Ready():
		}
		held.bring(time.Now())
		for _, message := range served.inbox.Drain() {
			held.handle(message)
		}
	}
}

// bring brings the state forward and hands events to their streams.
func (held *shift) bring(now time.Time) {
	var occurrences []engine.Event
	held.state, occurrences = held.state.WithTime(now)
	for _, one := range occurrences {
		stream, open := held.streams[one.Job]
		if !open || held.fault.Mute {
			continue
		}
		// The channel has room for all events of its request.
		stream <- one
		if one.Ended {
			close(stream)
			delete(held.streams, one.Job)
		}
	}
}

func (held *shift) handle(message any) {
	now := time.Now()
	switch message := message.(type) {
	case arrival:
		taken := held.state.Report().Waiting < held.served.Queue
		if taken {
			held.streams[message.job.ID] = message.stream
			held.state = held.state.WithJob(now, message.job)
		}
		message.taken <- taken
	case departure:
		held.state = held.state.WithoutJob(message.id)
		delete(held.streams, message.id)
	case inquiry:
		read, found := held.state.PromptTokens()
		message.reply <- Reading{EngineReport: held.state.Report(), Read: held.readBefore + read, Found: held.foundBefore + found}
	case EngineFault:
		held.fault = message
		if message.Crash {
			read, found := held.state.PromptTokens()
			held.readBefore, held.foundBefore = held.readBefore+read, held.foundBefore+found
			held.endAll()
			held.state = engine.NewState(held.served.Traits)
		}
	}
}

// endAll breaks all streams.
func (held *shift) endAll() {
	for id, stream := range held.streams {
		close(stream)
		delete(held.streams, id)
	}
}

// report answers the question for the engine's report.
func (served *Engine) report(writer http.ResponseWriter, request *http.Request) {
	reading := served.Reading(request.Context())
	reply(writer, platform.ReportDocument{Waiting: reading.Waiting, Running: reading.Running})
}

// answer runs a request and sends its events.
func (served *Engine) answer(writer http.ResponseWriter, request *http.Request) {
	head := platform.DecodeCaller(request, time.Now())
	header := writer.Header()
	header.Set(RequestIDHeader, string(head.ID))
	if expected := request.Header.Get(ExpectTargetHeader); expected != "" && expected != served.Name {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := served.serial.Add(1)
	events := (head.Work.OutputTokens + served.Traits.EventTokens - 1) / served.Traits.EventTokens
	come := arrival{job: engine.Job{ID: id, Work: head.Work}, stream: make(chan engine.Event, 2*events+2), taken: make(chan bool, 1)}
	served.inbox.Put(come)
	if !<-come.taken {
		header.Set(NotRunHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set(StampHeader, served.Name+"."+string(head.ID))
	header.Set("Content-Type", "text/event-stream")
	served.stream(writer, request, come)
}

// stream passes events on as they come; a stream that the engine breaks does not look whole.
func (served *Engine) stream(writer http.ResponseWriter, request *http.Request, come arrival) {
	sent := 0
	for {
		select {
		case <-request.Context().Done():
			served.inbox.Put(departure{id: come.job.ID})
			return
		case one, open := <-come.stream:
			if !open {
				panic(http.ErrAbortHandler)
			}
			// A request that was put back begins again; its caller has had these events.
			if one.Number <= sent {
				continue
			}
			sent = one.Number
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", one.Number)
			// An error means that the caller has left, which the context tells too.
			_ = http.NewResponseController(writer).Flush()
			if one.Ended {
				return
			}
		}
	}
}
