package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"coltsfootlink"
	"coltsfootlink/standin"
)

const (
	// callTimeout is the time in which a call with all its attempts has to end.
	callTimeout = 4 * time.Second
	// objective is the operators' latency objective for the first byte of an answer.
	objective = 500 * time.Millisecond
	// redialDelay is how long a caller waits after it failed to connect.
	redialDelay = 50 * time.Millisecond
	// maxAttempts is the maximum number of attempts of a call.
	maxAttempts = 4
	// waitDivisor limits the wait before a retry to a third of the time left until the deadline.
	waitDivisor = 3
	// abandonShare is the share of calls that a caller gives up early.
	abandonShare = 0.02
	// reconnectShare is the share of calls after which a caller opens a new connection.
	reconnectShare = 0.02
	// maxBodyBytes is the size of the largest answer that callers request.
	maxBodyBytes = 48 << 10
	// crashingPart is the part of prompts that crashes targets, and crashingShare the share of prompts with it while there are
	// any. soundParts is the number of different parts in the others.
	crashingPart  = "dead:50"
	crashingShare = 0.15
	soundParts    = 8
	// maxEvents is the length of the longest stream that callers request.
	maxEvents = 30
)

// Routes that every version of the table contains.
const (
	safeRoute   = "safe"
	unsafeRoute = "unsafe"
	streamRoute = "stream"
	resumeRoute = "resume"
)

// Teams. The keys of the revoked team are replaced during a run; the stale team uses the revoked team's previous key,
// which is revoked.
const (
	steadyTeam  = "steady"
	otherTeam   = "other"
	floodTeam   = "flood"
	revokedTeam = "revoked"
	staleTeam   = "stale"
)

// caller makes one call at a time over a connection that it keeps open.
type caller struct {
	name string
	// route is the route that it calls; if empty, the route that was added to the table last.
	route string
	team  string
	// meanDelay is the mean time between two calls.
	meanDelay time.Duration
	// active reports whether the caller makes calls at the moment; nil means always.
	active func() bool
	// crashingPrompts reports whether some of the prompts have the part that crashes targets.
	crashingPrompts func() bool
	table           func() table
	// picks delivers the instance for each new connection.
	picks  <-chan instanceAddress
	record func(any)

	connection *connection
}

// instanceAddress is the address at which an instance accepts callers.
type instanceAddress struct {
	index   int
	address string
}

// Run makes calls until the context ends.
func (caller *caller) Run(ctx context.Context) error {
	for serial := 0; ctx.Err() == nil; serial++ {
		coltsfootlink.Sleep(ctx, time.Duration(rand.ExpFloat64()*float64(caller.meanDelay)))
		if caller.active == nil || caller.active() {
			caller.call(ctx, fmt.Sprint(caller.name, "-", serial))
		}
	}
	caller.disconnect()
	return nil
}

// disconnect closes the caller's connection.
func (caller *caller) disconnect() {
	if caller.connection != nil {
		_ = caller.connection.conn.Close()
		caller.connection = nil
	}
}

// pendingCall is a call in progress.
type pendingCall struct {
	call
	deadline time.Time
	// size is the size of the requested answer in bytes, or in events if it is a stream.
	size int
	// lastEvent is the number of the last event received completely; zero if there is none.
	lastEvent int
	// prompt lists the parts of the prompt; crashing indicates that one of them crashes targets.
	prompt   string
	crashing bool
}

// call makes attempts until one is served, a retry is not allowed or no time is left.
func (caller *caller) call(ctx context.Context, name string) {
	table := caller.table()
	route := caller.route
	if route == "" {
		route = table.newestRoute()
	}
	key := table.key(caller.team)
	if route == "" || key == "" {
		return
	}
	now := time.Now()
	pending := pendingCall{call: call{name: name, route: route, team: caller.team, began: now}, deadline: now.Add(callTimeout), size: 1 + rand.IntN(maxBodyBytes)}
	if streams(route) {
		pending.size = 1 + rand.IntN(maxEvents)
	}
	pending.prompt = fmt.Sprintf("%x:%d", len(name), 200)
	if caller.crashingPrompts() {
		pending.crashing = rand.Float64() < crashingShare
		pending.prompt = fmt.Sprintf("c:50,%x:50,%s", rand.IntN(soundParts), pending.prompt)
		if pending.crashing {
			pending.prompt = "c:50," + crashingPart + "," + pending.prompt
		}
	}
	if rand.Float64() < abandonShare {
		pending.abandoned = true
		pending.deadline = now.Add(time.Duration(rand.Float64() * float64(objective)))
	}
	for number := range maxAttempts {
		attempt, wait, retry := caller.attempt(ctx, &pending, number, caller.table().key(caller.team))
		pending.served, pending.lastStatus = attempt.served(), attempt.status
		if pending.served || !retry || !coltsfootlink.Sleep(ctx, wait) || !time.Now().Before(pending.deadline) {
			break
		}
		// Each retry uses a new connection.
		caller.disconnect()
	}
	pending.ended = time.Now()
	if ctx.Err() == nil {
		caller.record(pending.call)
	}
	if rand.Float64() < reconnectShare {
		caller.disconnect()
	}
}

// attempt sends one request. It returns the attempt, the delay before a retry and whether a retry is allowed.
func (caller *caller) attempt(ctx context.Context, pending *pendingCall, number int, key string) (attempt, time.Duration, bool) {
	route := pending.route
	attempt := attempt{
		id: fmt.Sprint(pending.name, ".", number), call: pending.name, route: route, team: caller.team, key: key,
		repeatable: repeatable(route), abandoned: pending.abandoned, crashing: pending.crashing,
	}
	if caller.connection == nil {
		address := <-caller.picks
		connection, err := dial(ctx, address.index, address.address)
		if err != nil {
			return attempt, redialDelay, true
		}
		caller.connection = connection
	}
	attempt.instance = caller.connection.instance
	request := pending.request(ctx, attempt)
	attempt.sent = time.Now()
	answer := caller.connection.exchange(request, pending.deadline)
	attempt.ended, attempt.firstByte = time.Now(), answer.firstByte
	attempt.status, attempt.complete = answer.status, answer.complete
	attempt.stamp = answer.header.Get(standin.StampHeader)
	attempt.defect = answer.defect(request)
	caller.record(attempt)
	if !answer.reusable {
		caller.disconnect()
	}
	if streams(route) && answer.status == okStatus {
		pending.lastEvent = max(pending.lastEvent, lastEvent(answer.body))
	}
	timeLeft := time.Until(pending.deadline)
	return attempt, min(retryAfter(answer.header), timeLeft/waitDivisor), mayRetry(attempt)
}

// keyOwner returns the team that owns the key a team uses.
func keyOwner(team string) string {
	if team == staleTeam {
		return revokedTeam
	}
	return team
}

// streams reports whether the answers of a route are streams of events.
func streams(route string) bool { return route == streamRoute || route == resumeRoute }

// repeatable reports whether requests of a route may be executed more than once.
func repeatable(route string) bool { return route != unsafeRoute && route != streamRoute }

// mayRetry reports whether a caller may retry after an attempt.
func mayRetry(attempt attempt) bool {
	switch {
	case guaranteesNotRun(attempt.status):
		return true
	case attempt.status >= 200 && attempt.status < 500 && attempt.complete:
		return false
	}
	return attempt.repeatable
}

// retryAfter returns the delay in the Retry-After header of an answer; zero if there is none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// lastEvent returns the number of the last complete event in a body; zero if there is none.
func lastEvent(body []byte) int {
	end := bytes.LastIndex(body, []byte("\n\n"))
	start := bytes.LastIndex(body[:max(0, end)], []byte("id: "))
	if end < 0 || start < 0 {
		return 0
	}
	text, _, _ := bytes.Cut(body[start+len("id: "):end], []byte("\n"))
	return number(string(text))
}

// request returns the HTTP request of an attempt. It carries forged values of headers that only instances may set, which
// they must remove or replace.
func (pending *pendingCall) request(ctx context.Context, attempt attempt) *http.Request {
	path := "/" + attempt.route + "/x?call=" + pending.name
	body := content("body of "+attempt.id, 1+pending.size%3000)
	// This cannot fail, since method and address are valid.
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+routeHost+path, bytes.NewReader(body))
	header := request.Header
	header.Set(standin.RequestIDHeader, attempt.id)
	header.Set(standin.TimeLeftHeader, fmt.Sprint(max(1, time.Until(pending.deadline).Milliseconds())))
	header.Set("Authorization", "Bearer "+attempt.key)
	header.Set(serialHeader, pending.name)
	header.Set(sizeHeader, fmt.Sprint(pending.size))
	header.Set("Hold", "forged")
	header.Set(standin.TeamHeader, "forged")
	header.Set(digestHeader, digest(request.Method, path, string(body), attempt.id, keyOwner(attempt.team), pending.name))
	if attempt.repeatable {
		header.Set(repeatableHeader, "1")
	}
	if streams(attempt.route) {
		header.Set(streamHeader, "1")
		header.Set("Model", "m")
		header.Set(standin.TokensHeader, fmt.Sprintf("%d,%d", 200, 10*pending.size))
		header.Set(standin.PromptHeader, pending.prompt)
	}
	if pending.lastEvent > 0 {
		header.Set(standin.LastEventHeader, fmt.Sprint(pending.lastEvent))
	}
	return request
}
