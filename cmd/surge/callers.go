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

// served is how one request of a day ended.
type served struct {
	arrival
	// status is zero if no whole answer came.
	status int
	// first is the time to the first event; zero if none came.
	first time.Duration
}

// aim is where a request goes: a gateway, or an engine itself.
type aim interface {
	// choose returns the address for a request, the engine that has to have it if any, and what is to be called when
	// the request has ended.
	choose(number int) (address, engine string, ended func())
}

// gatewayAim goes to gateways in turn.
type gatewayAim []string

func (aim gatewayAim) choose(number int) (string, string, func()) {
	return aim[number%len(aim)], "", func() {}
}

// leastLoadedAim goes to the engine with the fewest requests.
type leastLoadedAim struct {
	engines []*standin.Engine
	running []atomic.Int64
}

func (aim *leastLoadedAim) choose(int) (string, string, func()) {
	best := 0
	for place := range aim.running {
		if aim.running[place].Load() < aim.running[best].Load() {
			best = place
		}
	}
	aim.running[best].Add(1)
	return aim.engines[best].Address, aim.engines[best].Name, func() { aim.running[best].Add(-1) }
}

// play sends the day's requests at their times and returns how they ended.
func (read day) play(ctx context.Context, arrivals []arrival, aimed aim) []served {
	results := make([]served, len(arrivals))
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	defer transport.CloseIdleConnections()
	begun := time.Now()
	var callers sync.WaitGroup
	for number, one := range arrivals {
		if wait := time.Until(begun.Add(one.at)); wait > 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(wait):
			}
		}
		callers.Go(func() {
			address, engine, ended := aimed.choose(number)
			defer ended()
			results[number] = read.call(ctx, transport, number, one, address, engine)
		})
	}
	callers.Wait()
	return results
}

// call makes one request and reads its answer to the end.
func (read day) call(ctx context.Context, transport *http.Transport, number int, one arrival, address, engine string) served {
	result := served{arrival: one}
	kind := read.Classes[one.class]
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(millis(kind.TimeoutMillis)))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+kind.Name+"/"+fmt.Sprint(number), strings.NewReader("plan"))
	if err != nil {
		return result
	}
	request.Host = dayHost
	deadline, _ := ctx.Deadline()
	standin.SetCallerHeaders(request.Header, platform.CallerHead{
		ID:       coltsfootlink.RequestID(fmt.Sprint("r-", number)),
		Key:      dayTeam(one.team),
		Deadline: deadline,
		Work: coltsfootlink.Work{
			Prompt: []coltsfootlink.CachePart{
				{Key: uint64(one.class<<20 | one.subject), Tokens: one.shared},
				{Key: uint64(1<<40 | number), Tokens: one.own},
			},
			PromptTokens: one.shared + one.own,
			OutputTokens: one.output,
		},
	}, engine)
	begun := time.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body := bufio.NewReader(response.Body)
	if _, err := body.Peek(1); err == nil {
		result.first = time.Since(begun)
	}
	if _, err := io.Copy(io.Discard, body); err == nil {
		result.status = response.StatusCode
	}
	return result
}

// millis is a number of milliseconds as a span.
func millis(count float64) time.Duration { return time.Duration(count * float64(time.Millisecond)) }

// dayTeam is the name of a team, which is its key too.
func dayTeam(team int) string { return fmt.Sprint("team-", team) }

// outcomes adds up how the requests of a day ended.
type outcomes struct {
	Policy  string  `json:"policy"`
	Asked   int     `json:"asked"`
	InTime  int     `json:"in-time"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
	// LeastTeam is the least worth of a team.
	LeastTeam float64 `json:"least-team"`
	// FirstMedian and FirstLate are the median and the 95th percentile of the time to the first event, in milliseconds.
	FirstMedian float64 `json:"first-median-ms"`
	FirstLate   float64 `json:"first-p95-ms"`
	// ReadTokens is what engines read of prompts, FoundTokens what they found kept.
	ReadTokens  int `json:"read-tokens"`
	FoundTokens int `json:"found-tokens"`
	// BySecond is the worth of each second.
	BySecond []float64 `json:"worth-by-second"`
}

// account is worth earned and owed.
type account struct{ earned, owed float64 }

func (kept account) share() float64 { return kept.earned / math.Max(kept.owed, 1e-9) }

// add adds up results.
func (read day) add(policy string, results []served) outcomes {
	sum := outcomes{Policy: policy, Asked: len(results), LeastTeam: 1}
	var all account
	teams := make([]account, read.Teams)
	seconds := make([]account, int(math.Ceil(read.Seconds)))
	var firsts []float64
	for _, one := range results {
		kind := read.Classes[one.class]
		earned := 0.0
		switch {
		case one.status == http.StatusOK && one.first <= millis(kind.ObjectiveMillis):
			sum.InTime++
			earned = kind.Worth
		case one.status == http.StatusOK:
			sum.Late++
			earned = kind.Late
		case one.status == http.StatusServiceUnavailable:
			sum.Refused++
		default:
			sum.Failed++
		}
		if one.status == http.StatusOK {
			firsts = append(firsts, float64(one.first)/float64(time.Millisecond))
		}
		for _, kept := range []*account{&all, &teams[one.team], &seconds[int(one.at.Seconds())]} {
			kept.earned += earned
			kept.owed += kind.Worth
		}
	}
	sum.Worth = all.share()
	for _, kept := range teams {
		sum.LeastTeam = math.Min(sum.LeastTeam, kept.share())
	}
	for _, kept := range seconds {
		sum.BySecond = append(sum.BySecond, kept.share())
	}
	slices.Sort(firsts)
	if len(firsts) > 0 {
		sum.FirstMedian, sum.FirstLate = firsts[len(firsts)/2], firsts[len(firsts)*95/100]
	}
	return sum
}
