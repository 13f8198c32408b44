package ingress

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/dispatch"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/upstream"
)

const (
	// unknownPause is how long a caller should stay away from an instance that knows no configuration yet.
	unknownPause = time.Second
	// elsewherePause is how long a caller should stay away that came to an instance which stops or is behind; others
	// are there.
	elsewherePause = 50 * time.Millisecond
	// sharePause is how long a caller should stay away whose team asks for far more than its share.
	sharePause = 500 * time.Millisecond
	// defaultBodyBytes bounds a request's body where the configuration does not.
	defaultBodyBytes = 4 << 20
	// preparedBytes is the most memory that is taken for a body before it has come.
	preparedBytes = 64 << 10
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
	// MaxChoosing is the most requests that wait for a target at once; if there are more, the processor is behind.
	MaxChoosing int64

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
	head     platform.CallerHead
	rule     coltsfootlink.RoutingRule
	team     coltsfootlink.TeamName
	pool     coltsfootlink.PoolName
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
	current := &exchange{
		service:  service,
		writer:   writer,
		incoming: incoming,
		arrived:  arrived,
		head:     platform.DecodeCaller(incoming, arrived),
		avoid:    make(map[coltsfootlink.TargetName]bool),
	}
	if service.Gate.Leaving() || service.Open.Load() > service.MaxOpen {
		writer.Header().Set("Connection", "close")
	}
	if service.active.Load() > service.MaxActive {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.InstanceBusy, "too many requests at once").WithRetryAt(arrived.Add(elsewherePause)))
		return
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

// admit finds the rule and the team of the request and reads its body; false if it was refused.
func (current *exchange) admit(catalog coltsfootlink.Catalog) bool {
	if !catalog.Known {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.NotReady, "no configuration is known yet").WithRetryAt(current.arrived.Add(unknownPause)))
		return false
	}
	rule, found := catalog.Table.Match(current.head.Host, current.head.Path)
	if !found {
		current.refuse(http.StatusNotFound, coltsfootlink.Refuse(coltsfootlink.UnknownRoute, "no route matches"))
		return false
	}
	current.rule = rule
	if catalog.Table.HasTeams() && !rule.Public {
		team, known := catalog.Table.Team(current.head.Key)
		if !known {
			current.refuse(http.StatusUnauthorized, coltsfootlink.Refuse(coltsfootlink.UnknownTeam, "the key belongs to no team"))
			return false
		}
		current.team = team
	}
	current.pool = rule.Pool(current.head.ID.Draw(""))
	current.rank = catalog.Table.Rank(current.pool, rule, current.team)
	current.deadline = current.arrived.Add(rule.Timeout)
	if left := current.head.Deadline; !left.IsZero() && left.Before(current.deadline) {
		current.deadline = left
	}
	if !current.service.Gate.Takes(current.deadline) {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.InstanceStopping, "the instance stops").WithRetryAt(current.arrived.Add(elsewherePause)))
		return false
	}
	most := catalog.Table.Limits.BodyBytes
	if most <= 0 {
		most = defaultBodyBytes
	}
	return current.isOffered(most) && current.isTaken(most) && current.readBody(most)
}

// isOffered says whether the request is to be offered to targets by what its team gets; the body of one that is not
// takes no memory.
func (current *exchange) isOffered(most int64) bool {
	if current.team == "" {
		return true
	}
	var offered bool
	standings := current.service.Gate.Standings()
	current.patience = standings.Patience(current.arrived, current.pool)
	current.standing, offered = standings.Of(current.arrived, current.pool, current.team, rand.Float64(), rand.Float64())
	if offered {
		return true
	}
	current.refuseUnread(most, coltsfootlink.Refuse(coltsfootlink.OverShare, "others of the pool get far less").WithRetryAt(current.arrived.Add(sharePause)))
	return false
}

// isTaken says whether the instance takes the request while its processor is behind; what waits for the processor until
// its caller leaves helps nobody.
func (current *exchange) isTaken(most int64) bool {
	if current.service.choosing.Load() < current.service.MaxChoosing && current.service.Gate.Pressure().Takes(current.standing, rand.Float64()) {
		return true
	}
	current.refuseUnread(most, coltsfootlink.Refuse(coltsfootlink.InstanceBusy, "the processor is behind").WithRetryAt(current.arrived.Add(elsewherePause)))
	return false
}

// refuseUnread refuses a request whose body is not needed; it counts as asked for by its team.
func (current *exchange) refuseUnread(most int64, refusal *coltsfootlink.Refusal) {
	if current.team != "" {
		current.service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Shed{Pool: current.pool, Team: current.team, Work: current.head.Work}})
	}
	// An answer before the end of the body would reach a caller that still sends it. Whether all of it came does not
	// matter here.
	_, _ = io.Copy(io.Discard, io.LimitReader(current.incoming.Body, most))
	current.refuse(http.StatusServiceUnavailable, refusal)
}

func (current *exchange) readBody(most int64) bool {
	current.held = bodies.Get().(*bytes.Buffer)
	body, err := readWhole(current.held, http.MaxBytesReader(current.writer, current.incoming.Body, most), min(preparedBytes, current.incoming.ContentLength))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		current.refuse(http.StatusRequestEntityTooLarge, coltsfootlink.Refuse(coltsfootlink.BodyTooLarge, "the body is too large"))
		return false
	case err != nil:
		current.refuse(http.StatusBadRequest, coltsfootlink.Refuse(coltsfootlink.BodyIncomplete, "the body did not come whole"))
		return false
	}
	current.body = body
	digest := xxhash.New()
	// Writing to this hash cannot fail.
	_, _ = digest.WriteString(current.incoming.Method + " " + current.incoming.RequestURI + " " + string(current.team) + " ")
	_, _ = digest.Write(body)
	current.fingerprint = digest.Sum64()
	return true
}

// bodies are buffers for the bodies of requests.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseBody gives the buffer of the body away; no target gets the request any more.
func (current *exchange) releaseBody() {
	if current.held != nil && current.held.Cap() <= preparedBytes {
		current.held.Reset()
		bodies.Put(current.held)
	}
}

// readWhole reads to the end; length is the expected number of bytes, negative if unknown.
func readWhole(buffer *bytes.Buffer, reader io.Reader, length int64) ([]byte, error) {
	// ReadFrom wants this much room to find the end without growing.
	buffer.Grow(int(max(0, length)) + bytes.MinRead)
	_, err := buffer.ReadFrom(reader)
	return buffer.Bytes(), err
}

// serve sends the request to targets until one has answered or it is given up.
func (current *exchange) serve(ctx context.Context) {
	current.lastEvent = current.head.LastEvent
	for {
		choice := current.choose()
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
