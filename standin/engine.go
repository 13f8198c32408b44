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

// Engine is a simulated model engine on the users' platform: it serves HTTP, runs engine.State in real time and can
// inject faults.
type Engine struct {
	Name, Address string
	Traits        engine.Traits
	// QueueLimit is the number of waiting requests from which on further requests are refused.
	QueueLimit int

	inbox  *mailbox.Mailbox[any]
	serial atomic.Uint64
}

// EngineFault is the fault that an engine injects from now on; the zero value is none.
type EngineFault struct {
	// Crash breaks all streams and discards all requests and the cache, once.
	Crash bool
	// Mute makes the engine accept requests without sending any events.
	Mute bool
}

// submission is a request for the engine; its events go to stream.
type submission struct {
	job    engine.Job
	stream chan engine.Event
	// accepted receives whether the engine accepts the request; it is refused when the queue is full.
	accepted chan bool
}

// cancellation reports that the caller of a request has disconnected.
type cancellation struct{ id uint64 }

// statsRequest asks for the engine's counts and its load report.
type statsRequest struct{ reply chan EngineStats }

// EngineStats holds an engine's load report and its counts of prompt tokens since the start, crashes included.
type EngineStats struct {
	coltsfootlink.EngineReport
	// ReadTokens is the number of prompt tokens that were read. CachedTokens is the number of those that were found in
	// the cache instead; ReadTokens does not include them.
	ReadTokens, CachedTokens int
}

// NewEngine returns an engine that starts to serve when Run is called.
func NewEngine(name, address string, traits engine.Traits, queueLimit int) *Engine {
	return &Engine{Name: name, Address: address, Traits: traits, QueueLimit: queueLimit, inbox: mailbox.New[any]()}
}

// Run serves requests until the context ends.
func (server *Engine) Run(ctx context.Context) error {
	go server.runState(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReportPath, server.serveReport)
	mux.HandleFunc("/", server.serveRequest)
	return serve(ctx, server.Address, mux)
}

// SetFault replaces the injected fault.
func (server *Engine) SetFault(fault EngineFault) { server.inbox.Put(fault) }

// Stats returns the engine's counts and load report; the zero value if the context ends first.
func (server *Engine) Stats(ctx context.Context) EngineStats {
	reply := make(chan EngineStats, 1)
	server.inbox.Put(statsRequest{reply: reply})
	select {
	case stats := <-reply:
		return stats
	case <-ctx.Done():
		return EngineStats{}
	}
}

// stateTask is the data of the task that owns the engine's state.
type stateTask struct {
	engine  *Engine
	state   engine.State
	streams map[uint64]chan engine.Event
	fault   EngineFault
	// readBeforeCrash and cachedBeforeCrash are the counts of prompt tokens up to the last crash.
	readBeforeCrash, cachedBeforeCrash int
}

// runState handles messages and advances the engine's state until the context ends.
func (server *Engine) runState(ctx context.Context) {
	task := &stateTask{engine: server, state: engine.NewState(server.Traits), streams: make(map[uint64]chan engine.Event)}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer task.endAll()
	for {
		if at, scheduled := task.state.NextAt(); scheduled {
			timer.Reset(time.Until(at))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-server.inbox.Ready():
		}
		task.advance(time.Now())
		for _, message := range server.inbox.Drain() {
			task.handle(message)
		}
	}
}

// advance moves the state forward to the given time and sends the events to their streams.
func (task *stateTask) advance(now time.Time) {
	var events []engine.Event
	task.state, events = task.state.WithTime(now)
	for _, event := range events {
		stream, open := task.streams[event.Job]
		if !open || task.fault.Mute {
			continue
		}
		// The channel's buffer holds all events of the request, so sending does not block.
		stream <- event
		if event.Ended {
			close(stream)
			delete(task.streams, event.Job)
		}
	}
}

func (task *stateTask) handle(message any) {
	now := time.Now()
	switch message := message.(type) {
	case submission:
		accepted := task.state.Report().Waiting < task.engine.QueueLimit
		if accepted {
			task.streams[message.job.ID] = message.stream
			task.state = task.state.WithJob(now, message.job)
		}
		message.accepted <- accepted
	case cancellation:
		task.state = task.state.WithoutJob(message.id)
		delete(task.streams, message.id)
	case statsRequest:
		read, cached := task.state.PromptTokens()
		message.reply <- EngineStats{EngineReport: task.state.Report(), ReadTokens: task.readBeforeCrash + read, CachedTokens: task.cachedBeforeCrash + cached}
	case EngineFault:
		task.fault = message
		if message.Crash {
			read, cached := task.state.PromptTokens()
			task.readBeforeCrash, task.cachedBeforeCrash = task.readBeforeCrash+read, task.cachedBeforeCrash+cached
			task.endAll()
			task.state = engine.NewState(task.engine.Traits)
		}
	}
}

// endAll closes all streams; their callers see broken connections.
func (task *stateTask) endAll() {
	for id, stream := range task.streams {
		close(stream)
		delete(task.streams, id)
	}
}

// serveReport answers a request for the engine's load report.
func (server *Engine) serveReport(writer http.ResponseWriter, request *http.Request) {
	stats := server.Stats(request.Context())
	reply(writer, platform.ReportDocument{Waiting: stats.Waiting, Running: stats.Running})
}

// serveRequest submits a request to the engine and streams its events.
func (server *Engine) serveRequest(writer http.ResponseWriter, request *http.Request) {
	head := platform.DecodeCaller(request, time.Now())
	header := writer.Header()
	header.Set(RequestIDHeader, string(head.ID))
	if expected := request.Header.Get(ExpectTargetHeader); expected != "" && expected != server.Name {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := server.serial.Add(1)
	eventCount := (head.Work.OutputTokens + server.Traits.EventTokens - 1) / server.Traits.EventTokens
	submitted := submission{job: engine.Job{ID: id, Work: head.Work}, stream: make(chan engine.Event, 2*eventCount+2), accepted: make(chan bool, 1)}
	server.inbox.Put(submitted)
	if !<-submitted.accepted {
		header.Set(NotRunHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set(StampHeader, server.Name+"."+string(head.ID))
	header.Set("Content-Type", "text/event-stream")
	server.serveEvents(writer, request, submitted)
}

// serveEvents forwards events as they come. If the engine breaks the stream, the connection is aborted, so that the
// caller can't take the answer for complete.
func (server *Engine) serveEvents(writer http.ResponseWriter, request *http.Request, submitted submission) {
	sent := 0
	for {
		select {
		case <-request.Context().Done():
			server.inbox.Put(cancellation{id: submitted.job.ID})
			return
		case event, open := <-submitted.stream:
			if !open {
				panic(http.ErrAbortHandler)
			}
			// A preempted request starts over and repeats events that its caller already has.
			if event.Number <= sent {
				continue
			}
			sent = event.Number
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", event.Number)
			// An error means that the caller has disconnected, which also ends the request's context.
			_ = http.NewResponseController(writer).Flush()
			if event.Ended {
				return
			}
		}
	}
}
