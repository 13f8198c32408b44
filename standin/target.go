package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"coltsfootlink"
	"coltsfootlink/supervisor"
	"coltsfootlink/target"
)

const (
	// chunkInterval is the time between two chunks of an answer.
	chunkInterval = 20 * time.Millisecond
	// crashLoad is the ratio of running requests to the concurrency limit above which a target crashes.
	crashLoad = 2
	// EndMarker is the last line of each complete answer.
	EndMarker = "[done]"
	// StatsPath returns the target's Stats as a JSON document.
	StatsPath = "/stats"
	// FaultPath accepts a Fault as a JSON document by POST.
	FaultPath = "/fault"
)

// Work is the body of a request to a stand-in target.
type Work struct {
	// Serial identifies the request; each line of the answer repeats it.
	Serial string `json:"serial"`
	Team   string `json:"team"`
	// Cost is the number of tokens for an engine, or of milliseconds for a plain service.
	Cost float64 `json:"cost"`
	// Poison makes the request crash the target.
	Poison bool `json:"poison"`
}

// Fault describes the faults that a target injects; the zero value is none.
type Fault struct {
	// Crash restarts the target with a new incarnation after DownMillis.
	Crash      bool `json:"crash"`
	DownMillis int  `json:"down-millis"`
	// Cut is the number of answers to truncate after their first chunk, by aborting the connection.
	Cut int64 `json:"cut"`
	// Cross is the number of answers to send with a wrong request ID, as if they were answers to other requests.
	Cross int64 `json:"cross"`
	// Fail is the number of requests to answer with status 500.
	Fail int64 `json:"fail"`
	// Unmarked is the number of answers to end after their first chunk, without the end marker but with a regular end of the
	// HTTP body.
	Unmarked int64 `json:"unmarked"`
	// FailAbove is the ratio of running requests to the concurrency limit above which requests are answered with status
	// 500; none are if it is zero.
	FailAbove float64 `json:"fail-above"`
	// SlowFactor multiplies the time of each answer; zero counts as one.
	SlowFactor float64 `json:"slow-factor"`
}

// Target simulates a model engine or a plain service with a cold start and a concurrency limit, above which answers take
// longer.
type Target struct {
	Name    string
	Address string
	Kind    coltsfootlink.PoolKind
	// Unreported makes the target answer requests for its load report with status 404.
	Unreported bool
	// Cold and Warm are the concurrency limits of the target right after its start and once it is warm. In between the
	// limit grows linearly.
	Cold float64
	Warm float64
	// WarmUp is the duration of the cold start.
	WarmUp time.Duration
	// TokensPerSecond is the rate at which an engine generates each answer.
	TokensPerSecond float64
	// FirstToken is the delay before an answer's first chunk is generated. ColdFirstToken replaces it in the first half of
	// the cold start.
	FirstToken     time.Duration
	ColdFirstToken time.Duration

	collector   *statsCollector
	incarnation atomic.Uint64
	crash       chan time.Duration
	cut         atomic.Int64
	cross       atomic.Int64
	fail        atomic.Int64
	unmarked    atomic.Int64
	slowFactor  atomic.Pointer[float64]
	failAbove   atomic.Pointer[float64]
}

// Run serves requests until the context ends. A crash closes all connections; then the target restarts cold.
func (server *Target) Run(ctx context.Context) error {
	server.crash = make(chan time.Duration, 1)
	server.incarnation.Store(uint64(time.Now().UnixNano()))
	server.collector = &statsCollector{
		inbox:     make(chan any),
		capacity:  server.capacity,
		startedAt: time.Now(),
		stats:     Stats{Target: server.Name, Incarnation: server.incarnation.Load(), Runs: map[string]int{}, Service: map[string]float64{}},
	}
	collectorContext, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = server.collector.Run(collectorContext) }()
	for ctx.Err() == nil {
		if err := server.runOnce(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runOnce serves requests until the context ends or the target crashes. After a crash it waits for the downtime and sets
// a new incarnation.
func (server *Target) runOnce(ctx context.Context) error {
	serveContext, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- serve(serveContext, server.Address, server.handler()) }()
	select {
	case err := <-done:
		return err
	case down := <-server.crash:
		cancel()
		<-done
		coltsfootlink.Sleep(ctx, down)
	}
	server.incarnation.Store(uint64(time.Now().UnixNano()))
	server.send(ctx, restartCall{incarnation: server.incarnation.Load()})
	return nil
}

var _ supervisor.Runner = (*Target)(nil)

func (server *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.LoadPath, server.serveLoad)
	mux.HandleFunc("GET "+StatsPath, server.serveStats)
	mux.HandleFunc("POST "+FaultPath, server.setFault)
	mux.HandleFunc("POST /", server.serveRequest)
	return mux
}

// capacity returns the target's concurrency limit at a time after its start.
func (server *Target) capacity(age time.Duration) float64 {
	if server.WarmUp == 0 || age >= server.WarmUp {
		return server.Warm
	}
	return server.Cold + (server.Warm-server.Cold)*float64(age)/float64(server.WarmUp)
}

func (server *Target) serveRequest(writer http.ResponseWriter, request *http.Request) {
	var work Work
	if err := json.NewDecoder(request.Body).Decode(&work); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	incarnation := server.incarnation.Load()
	key := request.Header.Get(target.KeyHeader)
	if key == "" {
		key = work.Serial
	}
	begin := beginCall{key: key, reply: make(chan float64, 1)}
	if !server.send(request.Context(), begin) {
		return
	}
	load := <-begin.reply
	defer func() { server.send(context.WithoutCancel(request.Context()), endCall{incarnation: incarnation}) }()
	if work.Poison || load > crashLoad {
		server.triggerCrash(time.Second / 2)
	}
	if consumeFault(&server.fail) || server.failsAt(load) {
		http.Error(writer, "fault", http.StatusInternalServerError)
		return
	}
	server.answer(writer, request, work, incarnation, load)
}

// answer streams the answer to one request, slowed down by the load if it exceeds the concurrency limit.
func (server *Target) answer(writer http.ResponseWriter, request *http.Request, work Work, incarnation uint64, load float64) {
	id := request.Header.Get(target.RequestIDHeader)
	if consumeFault(&server.cross) {
		id = "crossed-" + id
	}
	writer.Header().Set(target.RequestIDHeader, id)
	writer.Header().Set(target.IncarnationHeader, strconv.FormatUint(incarnation, 10))
	writer.Header().Set("Content-Type", "text/plain")
	writer.Header().Set("Trailer", target.CostHeader)
	slowdown := max(1, load) * server.currentSlowFactor()
	if !coltsfootlink.Sleep(request.Context(), time.Duration(float64(server.firstTokenDelay(load))*slowdown)) {
		return
	}
	cut, unmarked := consumeFault(&server.cut), consumeFault(&server.unmarked)
	chunk := server.chunkCost() / slowdown
	for done := 0.0; done < work.Cost; done += chunk {
		cost := min(chunk, work.Cost-done)
		if !coltsfootlink.Sleep(request.Context(), chunkInterval) {
			return
		}
		server.send(request.Context(), costCall{team: work.Team, cost: cost})
		_, _ = writer.Write([]byte(work.Serial + "\n"))
		_ = http.NewResponseController(writer).Flush()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if unmarked {
			return
		}
	}
	writer.Header().Set(target.CostHeader, strconv.FormatFloat(work.Cost, 'f', -1, 64))
	_, _ = writer.Write([]byte(EndMarker + "\n"))
}

func (server *Target) chunkCost() float64 {
	if server.Kind == coltsfootlink.PlainPool {
		return float64(chunkInterval / time.Millisecond)
	}
	return server.TokensPerSecond * chunkInterval.Seconds()
}

func (server *Target) firstTokenDelay(load float64) time.Duration {
	started := time.Unix(0, int64(server.incarnation.Load()))
	if load > 0 && time.Since(started) < server.WarmUp/2 {
		return server.ColdFirstToken
	}
	return server.FirstToken
}

func (server *Target) serveLoad(writer http.ResponseWriter, request *http.Request) {
	if server.Unreported {
		http.NotFound(writer, request)
		return
	}
	stats, ok := server.Stats(request.Context())
	if ok {
		reply(writer, target.LoadDocument{Incarnation: stats.Incarnation, Running: stats.Running})
	}
}

func (server *Target) serveStats(writer http.ResponseWriter, request *http.Request) {
	if stats, ok := server.Stats(request.Context()); ok {
		reply(writer, stats)
	}
}

// Stats returns the target's counts; false if the context ends first.
func (server *Target) Stats(ctx context.Context) (Stats, bool) {
	call := statsCall{reply: make(chan Stats, 1)}
	if !server.send(ctx, call) {
		return Stats{}, false
	}
	return <-call.reply, true
}

func (server *Target) setFault(writer http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.cut.Store(fault.Cut)
	server.cross.Store(fault.Cross)
	server.fail.Store(fault.Fail)
	server.unmarked.Store(fault.Unmarked)
	server.slowFactor.Store(&fault.SlowFactor)
	server.failAbove.Store(&fault.FailAbove)
	if fault.Crash {
		// The crash closes all connections, so the answer has to be sent first.
		writer.Header().Set("Content-Length", "0")
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
		server.triggerCrash(time.Duration(fault.DownMillis) * time.Millisecond)
	}
}

func (server *Target) triggerCrash(down time.Duration) {
	select {
	case server.crash <- down:
	default:
	}
}

func (server *Target) currentSlowFactor() float64 {
	factor := server.slowFactor.Load()
	if factor == nil || *factor == 0 {
		return 1
	}
	return *factor
}

// failsAt reports whether a request at this load is to fail because of Fault.FailAbove.
func (server *Target) failsAt(load float64) bool {
	threshold := server.failAbove.Load()
	return threshold != nil && *threshold > 0 && load > *threshold
}

// send sends a message to the stats collector; false if the context ends first.
func (server *Target) send(ctx context.Context, call any) bool {
	select {
	case server.collector.inbox <- call:
		return true
	case <-ctx.Done():
		return false
	}
}

// consumeFault decrements the number of remaining faults of one kind, and reports whether there was one left.
func consumeFault(count *atomic.Int64) bool {
	for {
		left := count.Load()
		if left <= 0 {
			return false
		}
		if count.CompareAndSwap(left, left-1) {
			return true
		}
	}
}
