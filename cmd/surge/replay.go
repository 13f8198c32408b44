package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootlink"
	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

// callResult is the result of one request of a day.
type callResult struct {
	arrival
	// status is the HTTP status; zero if no complete answer came.
	status int
	// firstEvent is the time to the first event; zero if none came.
	firstEvent time.Duration
}

// balancer chooses where each request is sent: to a gateway, or straight to an engine.
type balancer interface {
	// pick returns the address to send a request to, the name of the engine if it goes straight to one, and a function
	// to call when the request has ended.
	pick(number int) (address, engine string, done func())
}

// roundRobinGateways holds the gateways' addresses and uses them in turn.
type roundRobinGateways []string

func (gateways roundRobinGateways) pick(number int) (string, string, func()) {
	return gateways[number%len(gateways)], "", func() {}
}

// leastLoadedEngines uses the engine with the fewest requests in flight.
type leastLoadedEngines struct {
	engines []*standin.Engine
	running []atomic.Int64
}

func (balancer *leastLoadedEngines) pick(int) (string, string, func()) {
	best := 0
	for index := range balancer.running {
		if balancer.running[index].Load() < balancer.running[best].Load() {
			best = index
		}
	}
	balancer.running[best].Add(1)
	return balancer.engines[best].Address, balancer.engines[best].Name, func() { balancer.running[best].Add(-1) }
}

// replay sends each request at its time, whether or not earlier ones have ended, and returns the results. It returns
// nil if the context ends first.
func (day dayPlan) replay(ctx context.Context, arrivals []arrival, balancer balancer) []callResult {
	results := make([]callResult, len(arrivals))
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	defer transport.CloseIdleConnections()
	started := time.Now()
	var callers sync.WaitGroup
	for number, arrival := range arrivals {
		if wait := time.Until(started.Add(arrival.at)); wait > 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(wait):
			}
		}
		callers.Go(func() {
			address, engine, done := balancer.pick(number)
			defer done()
			results[number] = day.call(ctx, transport, number, arrival, address, engine)
		})
	}
	callers.Wait()
	return results
}

// call sends one request and reads its answer to the end.
func (day dayPlan) call(ctx context.Context, transport *http.Transport, number int, arrival arrival, address, engine string) callResult {
	result := callResult{arrival: arrival}
	class := day.Classes[arrival.class]
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(millis(class.TimeoutMillis)))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+class.Name+"/"+fmt.Sprint(number), strings.NewReader("plan"))
	if err != nil {
		return result
	}
	request.Host = dayHost
	deadline, _ := ctx.Deadline()
	standin.SetCallerHeaders(request.Header, platform.CallerHead{
		ID:       coltsfootlink.RequestID(fmt.Sprint("r-", number)),
		Key:      dayTeamName(arrival.team),
		Deadline: deadline,
		Work: coltsfootlink.Work{
			Prompt: []coltsfootlink.CachePart{
				{Key: uint64(arrival.class<<20 | arrival.subject), Tokens: arrival.shared},
				{Key: uint64(1<<40 | number), Tokens: arrival.own},
			},
			PromptTokens: arrival.shared + arrival.own,
			OutputTokens: arrival.output,
		},
	}, engine)
	started := time.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body := bufio.NewReader(response.Body)
	if _, err := body.Peek(1); err == nil {
		result.firstEvent = time.Since(started)
	}
	if _, err := io.Copy(io.Discard, body); err == nil {
		result.status = response.StatusCode
	}
	return result
}

// millis converts a number of milliseconds to a duration.
func millis(count float64) time.Duration { return time.Duration(count * float64(time.Millisecond)) }

// dayTeamName returns the name of a team, which is also its API key.
func dayTeamName(team int) string { return fmt.Sprint("team-", team) }

// policyResult sums up the results of a day under one policy. A late answer is complete, but its first event came after
// the objective of its class.
type policyResult struct {
	Policy   string `json:"policy"`
	Requests int    `json:"asked"`
	InTime   int    `json:"in-time"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// EarnedShare is the value that all requests earned, as a fraction of the value if all had been answered in time.
	EarnedShare float64 `json:"worth"`
	// WorstTeamShare is the smallest EarnedShare of any team.
	WorstTeamShare float64 `json:"least-team"`
	// FirstEventP50 and FirstEventP95 are percentiles of the time to the first event of complete answers, in
	// milliseconds.
	FirstEventP50 float64 `json:"first-median-ms"`
	FirstEventP95 float64 `json:"first-p95-ms"`
	// PromptTokens is the number of prompt tokens that the engines read, CachedTokens the number that they found in
	// their prefix caches.
	PromptTokens int `json:"read-tokens"`
	CachedTokens int `json:"found-tokens"`
	// EarnedShareBySecond is the EarnedShare of the requests that arrived in each second.
	EarnedShareBySecond []float64 `json:"worth-by-second"`
}

// valueTally sums up the value that requests earned, and the value that was possible if all had been answered in time.
type valueTally struct{ earned, possible float64 }

func (tally valueTally) share() float64 { return tally.earned / math.Max(tally.possible, 1e-9) }

// score sums up the results of a day under a policy.
func (day dayPlan) score(policy string, results []callResult) policyResult {
	result := policyResult{Policy: policy, Requests: len(results), WorstTeamShare: 1}
	var all valueTally
	teams := make([]valueTally, day.Teams)
	seconds := make([]valueTally, int(math.Ceil(day.Seconds)))
	var firstEvents []float64
	for _, call := range results {
		class := day.Classes[call.class]
		earned := 0.0
		switch {
		case call.status == http.StatusOK && call.firstEvent <= millis(class.ObjectiveMillis):
			result.InTime++
			earned = class.Value
		case call.status == http.StatusOK:
			result.Late++
			earned = class.LateValue
		case call.status == http.StatusServiceUnavailable:
			result.Refused++
		default:
			result.Failed++
		}
		if call.status == http.StatusOK {
			firstEvents = append(firstEvents, float64(call.firstEvent)/float64(time.Millisecond))
		}
		for _, tally := range []*valueTally{&all, &teams[call.team], &seconds[int(call.at.Seconds())]} {
			tally.earned += earned
			tally.possible += class.Value
		}
	}
	result.EarnedShare = all.share()
	for _, tally := range teams {
		result.WorstTeamShare = math.Min(result.WorstTeamShare, tally.share())
	}
	for _, tally := range seconds {
		result.EarnedShareBySecond = append(result.EarnedShareBySecond, tally.share())
	}
	slices.Sort(firstEvents)
	if len(firstEvents) > 0 {
		result.FirstEventP50, result.FirstEventP95 = firstEvents[len(firstEvents)/2], firstEvents[len(firstEvents)*95/100]
	}
	return result
}
