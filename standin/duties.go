package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"coltsfootlink"
	"coltsfootlink/platform"
)

// maxDutyBytes is the number of bytes of a duty call's body that are read.
const maxDutyBytes = 1 << 20

// DutyCall is one call that the control address has received.
type DutyCall struct {
	At     time.Time
	Holder string
	Token  uint64
	// Usage is the usage report, or Scale the order of targets; the other one is nil.
	Usage *platform.UsageDocument
	Scale *platform.ScaleDocument
	// Answered indicates that the call was answered with status 200.
	Answered bool
}

// Control is the platform's control address, which receives the calls of the singleton duties.
type Control struct {
	// Address is the host and port to listen on.
	Address string
	// CallsPerSecond is the number of calls that are accepted in a second; further ones are answered with 429.
	CallsPerSecond int
	// OnCall is called with each call that was accepted, in the order of their arrival. It must not block.
	OnCall func(DutyCall)

	outage atomic.Pointer[Outage]
}

// Run serves calls until the context ends.
func (control *Control) Run(ctx context.Context) error {
	control.outage.CompareAndSwap(nil, &Outage{})
	limiter := rate.NewLimiter(rate.Limit(control.CallsPerSecond), control.CallsPerSecond)
	mux := http.NewServeMux()
	for _, path := range []string{platform.UsagePath, platform.ScalePath} {
		mux.HandleFunc("POST "+path, func(writer http.ResponseWriter, request *http.Request) {
			if control.outage.Load().Down || !limiter.Allow() {
				writer.WriteHeader(http.StatusTooManyRequests)
				return
			}
			control.accept(writer, request)
		})
	}
	return serve(ctx, control.Address, mux)
}

// SetOutage replaces the injected faults. While the address is down it throttles all calls.
func (control *Control) SetOutage(outage Outage) { control.outage.Store(&outage) }

func (control *Control) accept(writer http.ResponseWriter, request *http.Request) {
	call, err := decodeDutyCall(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	outage := control.outage.Load()
	control.OnCall(call)
	if outage.SlowMillis > 0 && !coltsfootlink.Sleep(request.Context(), millis(outage.SlowMillis)) || outage.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	call.Answered = true
	control.OnCall(call)
	reply(writer, struct{}{})
}

func decodeDutyCall(request *http.Request) (DutyCall, error) {
	call := DutyCall{At: time.Now(), Holder: request.Header.Get(platform.DutyHolderHeader)}
	var err error
	if call.Token, err = strconv.ParseUint(request.Header.Get(platform.FencingHeader), 10, 64); err != nil {
		return call, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxDutyBytes))
	if err != nil {
		return call, err
	}
	if request.URL.Path == platform.UsagePath {
		call.Usage = new(platform.UsageDocument)
		return call, json.Unmarshal(body, call.Usage)
	}
	call.Scale = new(platform.ScaleDocument)
	return call, json.Unmarshal(body, call.Scale)
}
