package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// staleRounds is the number of times that the two gateways which read the store are killed, staleGap apart; they are started
	// again after staleDown. The operator's change is acknowledged in between.
	staleRounds = 8
	staleGap    = 6*time.Second + 200*time.Millisecond
	staleDown   = 800 * time.Millisecond
	// applyTime is how long after its acknowledgement a configuration may take to be followed.
	applyTime = 2 * time.Second
	// staleWarmUp is how long the fleet runs first, and staleProbe the time between two requests to the gateway that is left.
	staleWarmUp = 5 * time.Second
	staleProbe  = 50 * time.Millisecond
)

// stalePlay is what is seen in playStale.
type stalePlay struct {
	fleet *fleet

	mutex sync.Mutex
	// withdrawn are the keys that are no longer in the configuration, with the time of the acknowledgement.
	withdrawn map[string]time.Time
	// current is the key in the newest configuration, and previous the one before.
	current, previous string
	stale             int
	longest           time.Duration
}

// playStale kills the two gateways of a zone that read the store, withdraws a key meanwhile, and starts them again. It counts the
// requests with the withdrawn key that the third gateway, which has no impairment, still lets run when it has to know better.
func playStale(ctx context.Context, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := startFleet(ctx, []string{"a", "a", "a"}, streamTable())
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return false, err
	}
	for index := range 3 {
		if _, err := fleet.startServer(fmt.Sprint("i-", index), "models", "a", "--framed"); err != nil {
			return false, err
		}
	}
	for _, gateway := range fleet.gateways {
		if err := gateway.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	time.Sleep(staleWarmUp)
	third, readers, err := fleet.roles()
	if err != nil {
		return false, err
	}
	play := &stalePlay{fleet: fleet, withdrawn: make(map[string]time.Time), current: key}
	probes, stopProbes := context.WithCancel(ctx)
	defer stopProbes()
	var group sync.WaitGroup
	for round := range staleRounds {
		began := time.Now()
		if trouble {
			fleet.record.line("platform: %s and %s are killed", readers[0].name, readers[1].name)
			for _, reader := range readers {
				_ = reader.command.Process.Signal(syscall.SIGKILL)
				<-reader.exited
			}
		}
		if err := play.withdraw(ctx, fmt.Sprint("key-", round+2)); err != nil {
			return false, err
		}
		if trouble {
			time.Sleep(time.Until(began.Add(staleDown)))
			for _, reader := range readers {
				if err := fleet.start(reader); err != nil {
					return false, err
				}
			}
		}
		for time.Since(began) < staleGap {
			group.Go(func() { play.probe(probes, third) })
			time.Sleep(staleProbe)
		}
	}
	stopProbes()
	group.Wait()
	return play.judge(third), nil
}

// roles returns the gateway that has stopped reading the store, and the two others, by their logs.
func (fleet *fleet) roles() (third *gateway, readers []*gateway, err error) {
	for _, gateway := range fleet.gateways {
		text, err := os.ReadFile(filepath.Join(fleet.folder, gateway.name+".log"))
		if err != nil {
			return nil, nil, err
		}
		if strings.Contains(string(text), "catalog: stopped reading the platform") {
			third = gateway
		} else {
			readers = append(readers, gateway)
		}
	}
	if third == nil || len(readers) != 2 {
		return nil, nil, fmt.Errorf("%d gateways read the store, expected two", len(readers))
	}
	return third, readers, nil
}

// withdraw replaces the key of the tenant.
func (play *stalePlay) withdraw(ctx context.Context, next string) error {
	table := streamTable()
	table["tenants"] = []any{map[string]any{"name": "tenant-1", "api_keys": []string{next}}}
	if err := play.fleet.configure(ctx, table); err != nil {
		return err
	}
	play.mutex.Lock()
	defer play.mutex.Unlock()
	play.withdrawn[play.current] = time.Now()
	play.previous, play.current = play.current, next
	return nil
}

// probe sends a short request with the key that was withdrawn last.
func (play *stalePlay) probe(ctx context.Context, gateway *gateway) {
	play.mutex.Lock()
	used := play.previous
	ackAt := play.withdrawn[used]
	play.mutex.Unlock()
	sentAt := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/ask/1", gateway.callers()), strings.NewReader("a question"))
	if err != nil {
		return
	}
	id := fmt.Sprintf("%s-%d", used, sentAt.UnixMilli())
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", "3000")
	request.Header.Set("Authorization", "Bearer "+used)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	late := sentAt.Sub(ackAt)
	if response.StatusCode != http.StatusOK {
		return
	}
	play.fleet.record.line("client: %s, sent %.3f s after the key was withdrawn, ran", id, late.Seconds())
	play.mutex.Lock()
	defer play.mutex.Unlock()
	if late > applyTime {
		play.stale++
		play.longest = max(play.longest, late)
	}
}

// judge reports whether a request with a withdrawn key ran that was sent later than applyTime after the acknowledgement.
func (play *stalePlay) judge(third *gateway) bool {
	play.mutex.Lock()
	defer play.mutex.Unlock()
	text := fmt.Sprintf("%d requests with a withdrawn key ran through %s although they were sent later than %v after the acknowledgement (none is allowed), the last one %v after it",
		play.stale, third.name, applyTime, play.longest.Round(time.Millisecond))
	play.fleet.record.line("%s", text)
	fmt.Println(text)
	return play.stale > 0
}
