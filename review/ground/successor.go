package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"coltsfootlink/platform"
)

// Figures of the case of a rollout that follows a rolled-back one.
const (
	// secondOrder is how long after the roll-back the operator orders the next version, drainAfter how long after it the
	// platform drains the servers of the bad one, and drainTime how long these serve from then on.
	secondOrder = time.Second
	drainAfter  = 8 * time.Second
	drainTime   = 2500 * time.Millisecond
	// recallAfter is how long after the order to the bad version the operator orders the one before again.
	recallAfter = 500 * time.Millisecond
)

// playSuccessor orders a service to a bad version, and once that is rolled back to the next one, which is good, while the servers
// of the bad one have not drained yet. RECALL=1 plays another one: the operator orders the version before again at once.
func playSuccessor(current *ground) (bool, error) {
	test := &rollout{ground: current, badShare: 4}
	if _, err := test.servers("v1", false); err != nil {
		return false, err
	}
	if err := current.order("config", deskConfig()); err != nil {
		return false, err
	}
	if err := current.startGateways("piedmont", "lowcountry", "gulfside"); err != nil {
		return false, err
	}
	stop := test.load()
	defer stop()
	time.Sleep(5 * time.Second)
	bad, err := test.servers("v2", true)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	test.mutex.Lock()
	test.counting = true
	test.mutex.Unlock()
	ordered := time.Now()
	if err := test.roll("v2"); err != nil {
		return false, err
	}
	if os.Getenv("RECALL") != "" {
		return test.recall(ordered)
	}
	state, err := test.awaitOutcome("v2", ordered)
	if err != nil || state != platform.RolledBackStatus {
		return false, fmt.Errorf("first rollout: %q %v", state, err)
	}
	rolledBack := time.Now()
	time.AfterFunc(drainAfter, func() {
		for _, server := range bad {
			server.drain(drainTime)
		}
	})
	if current.trouble {
		if _, err := test.servers("v3", false); err != nil {
			return false, err
		}
		time.Sleep(secondOrder)
		if err := test.roll("v3"); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(ordered.Add(rolloutSeconds * time.Second)))
	test.mutex.Lock()
	test.counting = false
	test.mutex.Unlock()
	test.note("the time budget of the order to v2 is over, %.1f s after its roll-back", time.Since(rolledBack).Seconds())
	time.Sleep(drainTime)
	return test.judge(state), nil
}

// recall orders the service back to the version before, while the order to the bad one runs.
func (test *rollout) recall(ordered time.Time) (bool, error) {
	time.Sleep(recallAfter)
	if test.trouble {
		if err := test.roll("v1"); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(ordered.Add(rolloutSeconds * time.Second)))
	test.mutex.Lock()
	test.counting = false
	test.mutex.Unlock()
	return test.judge(""), nil
}

// roll orders the service to a version.
func (test *rollout) roll(version string) error {
	return test.order("rollout/desk", map[string]any{"service": "desk", "target": version, "duration_s": rolloutSeconds})
}

// awaitOutcome waits until the order to a version is completed or rolled back.
func (test *rollout) awaitOutcome(version string, ordered time.Time) (string, error) {
	state := ""
	for time.Since(ordered) < (rolloutSeconds+1)*time.Second {
		records, err := test.newest(platform.StatusTopic)
		if err != nil {
			return "", err
		}
		var status struct{ State, Target string }
		if json.Unmarshal(records["rollout/desk"], &status) == nil && status.Target == version && status.State != state {
			state = status.State
			test.note("status/rollout/desk: %s, %.1f s after the order", records["rollout/desk"], time.Since(ordered).Seconds())
		}
		if state == platform.CompletedStatus || state == platform.RolledBackStatus {
			return state, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return state, nil
}
