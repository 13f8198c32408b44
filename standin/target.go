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
	// chunkPause is the time between two chunks of an answer.
	chunkPause = 20 * time.Millisecond
	// fallOverLoad is how many times the bearable requests make a target fall over.
	fallOverLoad = 2
	// EndMarker ends each answer of a stand-in engine.
	EndMarker = "[done]"
	// StatsPath answers with the target's stats.
	StatsPath = "/stats"
	// FaultPath takes a Fault as a posted JSON document.
	FaultPath = "/fault"
)

// Work is the body of a request to a stand-in target.
type Work struct {
	// Serial stands in each line of the answer.
	Serial string `json:"serial"`
	Team   string `json:"team"`
	// Cost is the number of tokens of an engine, or the milliseconds of a plain service.
	Cost float64 `json:"cost"`
	// Poison crashes the target.
	Poison bool `json:"poison"`
}

// Fault is how a target misbehaves.
type Fault struct {
	// Crash restarts the target with a new incarnation after DownMillis.
	Crash      bool `json:"crash"`
	DownMillis int  `json:"down-millis"`
	// Cut is the number of answers to cut after their first chunk.
	Cut int64 `json:"cut"`
	// Cross is the number of answers to send with another request's identifier.
	Cross int64 `json:"cross"`
	// Fail is the number of requests to answer with an error.
	Fail int64 `json:"fail"`
	// Unmarked is the number of answers to end early, without the end marker but as though whole.
	Unmarked int64 `json:"unmarked"`
	// FailAbove is the load, over what the target bears, above which requests are answered with an error.
	FailAbove float64 `json:"fail-above"`
	// SlowFactor multiplies the time of each answer; one if zero.
	SlowFactor float64 `json:"slow-factor"`
}

// Target is a model engine or a plain service.
type Target struct {
	Name    string
	Address string
	Kind    coltsfootlink.PoolKind
	// Unreported makes the target answer questions for its report with 404.
	Unreported bool
	// Cold and Warm are the requests that the target bears after its start and when warm.
	Cold float64
	Warm float64
	// WarmUp is the time from cold to warm.
	WarmUp time.Duration
	// TokensPerSecond is the pace of one answer of an engine.
	TokensPerSecond float64
	// FirstToken and ColdFirstToken are the times to the first chunk.
	FirstToken     time.Duration
	ColdFirstToken time.Duration

	ledger      *ledger
	incarnation atomic.Uint64
	crash       chan time.Duration
	cut         atomic.Int64
	cross       atomic.Int64
	fail        atomic.Int64
	unmarked    atomic.Int64
	slow        atomic.Pointer[float64]
	failAbove   atomic.Pointer[float64]
}

// Run serves until the context ends; a crash closes all connections and starts the target again, cold.
func (engine *Target) Run(ctx context.Context) error {
	engine.crash = make(chan time.Duration, 1)
	engine.incarnation.Store(uint64(time.Now().UnixNano()))
	engine.ledger = &ledger{
		inbox:    make(chan any),
		capacity: engine.capacity,
		started:  time.Now(),
		stats:    Stats{Target: engine.Name, Incarnation: engine.incarnation.Load(), Runs: map[string]int{}, Service: map[string]float64{}},
	}
	ledgerContext, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = engine.ledger.Run(ledgerContext) }()
	for ctx.Err() == nil {
		if err := engine.runOnce(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runOnce serves until the context ends or the target crashes, and waits until it is up again.
func (engine *Target) runOnce(ctx context.Context) error {
	serveContext, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- serve(serveContext, engine.Address, engine.handler()) }()
	select {
	case err := <-done:
		return err
	case down := <-engine.crash:
		cancel()
		<-done
		coltsfootlink.Sleep(ctx, down)
	}
	engine.incarnation.Store(uint64(time.Now().UnixNano()))
	engine.tell(ctx, restartCall{incarnation: engine.incarnation.Load()})
	return nil
}

var _ supervisor.Runner = (*Target)(nil)

func (engine *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.LoadPath, engine.load)
	mux.HandleFunc("GET "+StatsPath, engine.showStats)
	mux.HandleFunc("POST "+FaultPath, engine.setFault)
	mux.HandleFunc("POST /", engine.run)
	return mux
}

// capacity returns the requests that the target bears at an age.
func (engine *Target) capacity(age time.Duration) float64 {
	if engine.WarmUp == 0 || age >= engine.WarmUp {
		return engine.Warm
	}
	return engine.Cold + (engine.Warm-engine.Cold)*float64(age)/float64(engine.WarmUp)
}

func (engine *Target) run(writer http.ResponseWriter, request *http.Request) {
	var work Work
	if err := json.NewDecoder(request.Body).Decode(&work); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	incarnation := engine.incarnation.Load()
	key := request.Header.Get(target.KeyHeader)
	if key == "" {
		key = work.Serial
	}
	begin := beginCall{key: key, reply: make(chan float64, 1)}
	if !engine.tell(request.Context(), begin) {
		return
	}
	load := <-begin.reply
	defer func() { engine.tell(context.WithoutCancel(request.Context()), endCall{incarnation: incarnation}) }()
	if work.Poison || load > fallOverLoad {
		engine.fallOver(time.Second / 2)
	}
	if take(&engine.fail) || engine.failsAt(load) {
		http.Error(writer, "fault", http.StatusInternalServerError)
		return
	}
	engine.answer(writer, request, work, incarnation, load)
}

// answer streams the answer to one request.
func (engine *Target) answer(writer http.ResponseWriter, request *http.Request, work Work, incarnation uint64, load float64) {
	id := request.Header.Get(target.RequestIDHeader)
	if take(&engine.cross) {
		id = "crossed-" + id
	}
	writer.Header().Set(target.RequestIDHeader, id)
	writer.Header().Set(target.IncarnationHeader, strconv.FormatUint(incarnation, 10))
	writer.Header().Set("Content-Type", "text/plain")
	writer.Header().Set("Trailer", target.CostHeader)
	pace := max(1, load) * engine.slowFactor()
	if !coltsfootlink.Sleep(request.Context(), time.Duration(float64(engine.firstToken(load))*pace)) {
		return
	}
	cut, unmarked := take(&engine.cut), take(&engine.unmarked)
	chunk := engine.chunkCost() / pace
	for done := 0.0; done < work.Cost; done += chunk {
		cost := min(chunk, work.Cost-done)
		if !coltsfootlink.Sleep(request.Context(), chunkPause) {
			return
		}
		engine.tell(request.Context(), serveCall{team: work.Team, cost: cost})
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

func (engine *Target) chunkCost() float64 {
	if engine.Kind == coltsfootlink.PlainPool {
		return float64(chunkPause / time.Millisecond)
	}
	return engine.TokensPerSecond * chunkPause.Seconds()
}

func (engine *Target) firstToken(load float64) time.Duration {
	started := time.Unix(0, int64(engine.incarnation.Load()))
	if load > 0 && time.Since(started) < engine.WarmUp/2 {
		return engine.ColdFirstToken
	}
	return engine.FirstToken
}

func (engine *Target) load(writer http.ResponseWriter, request *http.Request) {
	if engine.Unreported {
		http.NotFound(writer, request)
		return
	}
	stats, told := engine.Stats(request.Context())
	if told {
		reply(writer, target.LoadDocument{Incarnation: stats.Incarnation, Running: stats.Running})
	}
}

func (engine *Target) showStats(writer http.ResponseWriter, request *http.Request) {
	if stats, told := engine.Stats(request.Context()); told {
		reply(writer, stats)
	}
}

// Stats returns what the target has seen; false if the context ends first.
func (engine *Target) Stats(ctx context.Context) (Stats, bool) {
	call := statsCall{reply: make(chan Stats, 1)}
	if !engine.tell(ctx, call) {
		return Stats{}, false
	}
	return <-call.reply, true
}

func (engine *Target) setFault(writer http.ResponseWriter, request *http.Request) {
	var fault Fault
	if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.cut.Store(fault.Cut)
	engine.cross.Store(fault.Cross)
	engine.fail.Store(fault.Fail)
	engine.unmarked.Store(fault.Unmarked)
	engine.slow.Store(&fault.SlowFactor)
	engine.failAbove.Store(&fault.FailAbove)
	if fault.Crash {
		// The crash closes all connections, so the answer has to be out before.
		writer.Header().Set("Content-Length", "0")
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
		engine.fallOver(time.Duration(fault.DownMillis) * time.Millisecond)
	}
}

func (engine *Target) fallOver(down time.Duration) {
	select {
	case engine.crash <- down:
	default:
	}
}

func (engine *Target) slowFactor() float64 {
	slow := engine.slow.Load()
	if slow == nil || *slow == 0 {
		return 1
	}
	return *slow
}

// failsAt says whether the target is made to fail at a load.
func (engine *Target) failsAt(load float64) bool {
	above := engine.failAbove.Load()
	return above != nil && *above > 0 && load > *above
}

// tell sends a call to the ledger; false if the context ends first.
func (engine *Target) tell(ctx context.Context, call any) bool {
	select {
	case engine.ledger.inbox <- call:
		return true
	case <-ctx.Done():
		return false
	}
}

// take counts a fault down and says whether it was due.
func take(count *atomic.Int64) bool {
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
