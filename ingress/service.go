package ingress

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/upstream"
	"coltsfootlink/web"
)

const (
	// unknownPause is how long a caller should stay away from an instance that knows no configuration yet.
	unknownPause = time.Second
	// elsewherePause is how long a caller should stay away that came to an instance which stops or is behind; others
	// are there.
	elsewherePause = 50 * time.Millisecond
	// maxUnsent is the most targets in a row that may turn out to accept no connection.
	maxUnsent = 3
)

// Service answers the platform's callers.
type Service struct {
	Gate   *Gate
	Client *upstream.Client
	Clock  coltsfootlink.Clock
	// Dispatch is the mailbox of the task that finds targets.
	Dispatch *mailbox.Deliveries
	Log      zerolog.Logger
	// Open is the number of callers' connections. Above MaxOpen they are closed after their answers.
	Open    *atomic.Int64
	MaxOpen int64
	// MaxActive is the most requests that are served at once; further ones are refused, for what piles up when
	// callers press would take the memory of all.
	MaxActive int64
	// MaxChoosing is the most requests that wait for a target at once, a part of which is for those within their
	// teams' shares.
	MaxChoosing int64
	// Passes says that a caller does better to open a new connection; nil if never.
	Passes func() bool

	// active counts requests that are not yet answered, admitted those of them that may go to a target, and choosing
	// those that wait for one.
	active, admitted, choosing atomic.Int64
}

// Admitted returns the number of requests that are on their way to a target or back.
func (service *Service) Admitted() int { return int(service.admitted.Load()) }

// exchange is one request of a caller on its way.
type exchange struct {
	service  *Service
	writer   http.ResponseWriter
	incoming *http.Request
	arrived  time.Time
	// sentAt is when the request is taken to have reached the system, before it was seen.
	sentAt time.Time
	head   platform.CallerHead
	rule   coltsfootlink.RoutingRule
	team   coltsfootlink.TeamName
	pool   coltsfootlink.PoolName
	// rank is how many priorities of the pool's requests go before this one's.
	rank int
	// standing is how the request stands to its team's fair share.
	standing coltsfootlink.Standing
	// patience is the part of its objective that it may wait if it lies beyond what is promised.
	patience float64
	deadline time.Time
	body     []byte
	// held is the buffer that the body lies in; nil before it is read.
	held *bytes.Buffer
	// mostBytes is the size of the largest body that is read; received says that reading has begun.
	mostBytes int64
	received  bool
	// fingerprint identifies requests that are alike by path, team and body.
	fingerprint uint64
	// lastEvent is the last event that the caller has of a stream that can be resumed.
	lastEvent string

	// avoid are the targets that have had the request.
	avoid map[coltsfootlink.TargetName]bool
	// attempts is the number of targets that the request was sent to, unsent that of failed connections.
	attempts, unsent int
	// mayHaveRun says that a target may have run the request.
	mayHaveRun bool
	// started says that a part of the answer has been passed on, mediaType what it is.
	started   bool
	mediaType string
	// unfinished says that an event had begun of which no target has sent the end yet.
	unfinished bool
	target     coltsfootlink.TargetName
	firstAt    time.Time
	// permit and owner are the newest question for a target and the owner that was asked.
	permit uint64
	owner  coltsfootlink.InstanceName
	// expectedMillis is what the owner of the target expected of the time to the first event.
	expectedMillis int
}

// ServeHTTP answers one request.
func (service *Service) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	service.active.Add(1)
	defer service.active.Add(-1)
	arrived := service.Clock.Now()
	sentAt := arrived.Add(-service.lateness(incoming))
	current := &exchange{
		service:  service,
		writer:   writer,
		incoming: incoming,
		arrived:  arrived,
		sentAt:   sentAt,
		head:     platform.DecodeCaller(incoming, sentAt),
		avoid:    make(map[coltsfootlink.TargetName]bool),

		mostBytes: defaultBodyBytes,
	}
	if service.Gate.Leaving() || service.Open.Load() > service.MaxOpen {
		writer.Header().Set("Connection", "close")
	}
	defer current.releaseBody()
	if current.admit(service.Gate.Catalog()) {
		service.admitted.Add(1)
		defer service.admitted.Add(-1)
		ctx, cancel := context.WithDeadline(incoming.Context(), current.deadline)
		defer cancel()
		current.serve(ctx)
	}
}

// lateness is how long a request waited unseen while the processor was behind, here or where its connection was
// passed on.
func (service *Service) lateness(incoming *http.Request) time.Duration {
	return web.ForwardingDelay(incoming) + service.Gate.Pressure().Wait()
}

// serve sends the request to targets until one has answered or it is given up.
func (current *exchange) serve(ctx context.Context) {
	current.lastEvent = current.head.LastEvent
	if web.ClientGone(current.incoming) {
		// What is refused needs no such look, which costs more than to answer.
		current.giveUp(ctx, coltsfootlink.Refuse(coltsfootlink.CallerGone, "before its request was read"))
		return
	}
	for {
		choice := current.choose(ctx)
		current.permit, current.owner = choice.Serial, choice.Owner
		if choice.Refusal != nil {
			current.giveUp(ctx, choice.Refusal)
			return
		}
		failure := current.try(ctx, choice)
		if failure == nil {
			return
		}
		current.avoid[choice.Target.Name] = true
		if !current.goesOn(ctx, failure) {
			current.giveUp(ctx, failure)
			return
		}
	}
}

// goesOn says whether the request may be sent to another target after a failure.
func (current *exchange) goesOn(ctx context.Context, failure *coltsfootlink.Refusal) bool {
	switch {
	case ctx.Err() != nil, endsAll(failure.Reason), current.started && current.lastEvent == current.head.LastEvent:
		return false
	case failure.Reason == coltsfootlink.TargetDown:
		return current.unsent < maxUnsent
	case current.attempts >= current.rule.MaxAttempts:
		return false
	default:
		return failure.Outcome == coltsfootlink.NotRun || current.rule.Repeatable()
	}
}

// endsAll says whether a failure with one target is one with all: nobody waits, or the answer is too long.
func endsAll(reason coltsfootlink.Reason) bool {
	return reason == coltsfootlink.CallerGone || reason == coltsfootlink.AnswerTooLong
}
