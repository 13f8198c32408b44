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
	// patience is how long a caller waits for a whole answer.
	patience = 4 * time.Second
	// objective is the operators' aim for the first byte of an answer.
	objective = 500 * time.Millisecond
	// dialPause is how long a caller waits after a connection that was not established.
	dialPause = 50 * time.Millisecond
	// mostAttempts is how often a caller asks at most.
	mostAttempts = 4
	// waitDivisor divides the time left into the longest wait that a caller accepts.
	waitDivisor = 3
	// leaveShare is the part of its calls that a caller gives up early, and moveShare that after which it connects anew.
	leaveShare = 0.02
	moveShare  = 0.02
	// mostBodyBytes and mostEvents are the largest answers that callers ask for.
	mostBodyBytes = 48 << 10
	mostEvents    = 30
)

// Routes that every table has.
const (
	safeRoute   = "safe"
	unsafeRoute = "unsafe"
	streamRoute = "stream"
	resumeRoute = "resume"
)

// Teams. The stale team asks with keys that were revoked.
const (
	steadyTeam  = "steady"
	otherTeam   = "other"
	floodTeam   = "flood"
	revokedTeam = "revoked"
	staleTeam   = "stale"
)

// caller makes one call after another over a connection that it keeps open.
type caller struct {
	name string
	// route is what it asks for; a route that was added last if empty.
	route string
	team  string
	// pause is the mean time between two calls.
	pause time.Duration
	// active says whether it calls now; always if nil.
	active func() bool
	terms  func() terms
	pick   <-chan instanceAddress
	note   func(any)

	held *connection
}

// instanceAddress is where an instance takes callers.
type instanceAddress struct {
	index   int
	address string
}

// Run makes calls until the context ends.
func (caller *caller) Run(ctx context.Context) error {
	for serial := 0; ctx.Err() == nil; serial++ {
		coltsfootlink.Sleep(ctx, time.Duration(rand.ExpFloat64()*float64(caller.pause)))
		if caller.active == nil || caller.active() {
			caller.call(ctx, fmt.Sprint(caller.name, "-", serial))
		}
	}
	caller.drop()
	return nil
}

// drop closes the caller's connection.
func (caller *caller) drop() {
	if caller.held != nil {
		_ = caller.held.link.Close()
		caller.held = nil
	}
}

// wish is a call while it lasts.
type wish struct {
	call
	deadline time.Time
	size     int
	// last is the event up to which a stream has come.
	lastEvent int
}

// call asks until it is served, may not ask again or has no time left.
func (caller *caller) call(ctx context.Context, name string) {
	agreed := caller.terms()
	route := caller.route
	if route == "" {
		route = agreed.newestRoute()
	}
	key := agreed.key(caller.team)
	if route == "" || key == "" {
		return
	}
	now := time.Now()
	wanted := wish{call: call{name: name, route: route, team: caller.team, began: now}, deadline: now.Add(patience), size: 1 + rand.IntN(mostBodyBytes)}
	if streams(route) {
		wanted.size = 1 + rand.IntN(mostEvents)
	}
	if rand.Float64() < leaveShare {
		wanted.left = true
		wanted.deadline = now.Add(time.Duration(rand.Float64() * float64(objective)))
	}
	for number := range mostAttempts {
		tried, wait, again := caller.attempt(ctx, &wanted, number, caller.terms().key(caller.team))
		wanted.served, wanted.last = tried.served(), tried.status
		if wanted.served || !again || !coltsfootlink.Sleep(ctx, wait) || !time.Now().Before(wanted.deadline) {
			break
		}
		// A caller asks again over a new connection.
		caller.drop()
	}
	wanted.ended = time.Now()
	if ctx.Err() == nil {
		caller.note(wanted.call)
	}
	if rand.Float64() < moveShare {
		caller.drop()
	}
}

// attempt asks once; it returns how long to wait, and whether to ask again.
func (caller *caller) attempt(ctx context.Context, wanted *wish, number int, key string) (attempt, time.Duration, bool) {
	route := wanted.route
	tried := attempt{
		id: fmt.Sprint(wanted.name, ".", number), call: wanted.name, route: route, team: caller.team, key: key,
		repeatable: repeats(route), left: wanted.left,
	}
	if caller.held == nil {
		address := <-caller.pick
		link, err := dial(ctx, address.index, address.address)
		if err != nil {
			return tried, dialPause, true
		}
		caller.held = link
	}
	tried.instance = caller.held.instance
	request := wanted.request(ctx, tried)
	tried.sent = time.Now()
	got := caller.held.exchange(request, wanted.deadline)
	tried.ended, tried.first = time.Now(), got.first
	tried.status, tried.complete = got.status, got.complete
	tried.stamp = got.header.Get(standin.StampHeader)
	tried.fault = got.fault(request)
	caller.note(tried)
	if !got.keeps {
		caller.drop()
	}
	if streams(route) && got.status == okStatus {
		wanted.lastEvent = max(wanted.lastEvent, lastEvent(got.body))
	}
	left := time.Until(wanted.deadline)
	return tried, min(retryAfter(got.header), left/waitDivisor), mayRepeat(tried)
}

// holder returns the team that holds the keys with which a team asks.
func holder(team string) string {
	if team == staleTeam {
		return revokedTeam
	}
	return team
}

// streams says that a route's answers are streams of events.
func streams(route string) bool { return route == streamRoute || route == resumeRoute }

// repeats says that a route's requests may run again.
func repeats(route string) bool { return route != unsafeRoute && route != streamRoute }

// mayRepeat says whether a caller may ask again after an attempt.
func mayRepeat(tried attempt) bool {
	switch {
	case promises(tried.status):
		return true
	case tried.status >= 200 && tried.status < 500 && tried.complete:
		return false
	}
	return tried.repeatable
}

// retryAfter reads how long an instance asks a caller to stay away.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// lastEvent returns the number of the last whole event.
func lastEvent(body []byte) int {
	end := bytes.LastIndex(body, []byte("\n\n"))
	start := bytes.LastIndex(body[:max(0, end)], []byte("id: "))
	if end < 0 || start < 0 {
		return 0
	}
	text, _, _ := bytes.Cut(body[start+len("id: "):end], []byte("\n"))
	return number(string(text))
}

// request returns the request of an attempt.
func (wanted *wish) request(ctx context.Context, tried attempt) *http.Request {
	path := "/" + tried.route + "/x?call=" + wanted.name
	body := content("body of "+tried.id, 1+wanted.size%3000)
	// The method and the address are sound, so that this cannot fail.
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+routeHost+path, bytes.NewReader(body))
	header := request.Header
	header.Set(standin.RequestIDHeader, tried.id)
	header.Set(standin.TimeLeftHeader, fmt.Sprint(max(1, time.Until(wanted.deadline).Milliseconds())))
	header.Set("Authorization", "Bearer "+tried.key)
	header.Set(serialHeader, wanted.name)
	header.Set(sizeHeader, fmt.Sprint(wanted.size))
	header.Set("Hold", "forged")
	header.Set(standin.TeamHeader, "forged")
	header.Set(digestHeader, digest(request.Method, path, string(body), tried.id, holder(tried.team), wanted.name))
	if tried.repeatable {
		header.Set(repeatHeader, "1")
	}
	if streams(tried.route) {
		header.Set(streamHeader, "1")
		header.Set("Model", "m")
		header.Set(standin.TokensHeader, fmt.Sprintf("%d,%d", 200, 10*wanted.size))
		header.Set(standin.PromptHeader, fmt.Sprintf("%x:%d", len(wanted.name), 200))
	}
	if wanted.lastEvent > 0 {
		header.Set(standin.LastEventHeader, fmt.Sprint(wanted.lastEvent))
	}
	return request
}
