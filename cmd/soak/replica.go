package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
)

// promptCrashDuration is how long a target is down that a prompt has crashed.
const promptCrashDuration = 2 * time.Second

// missedKeepalives is the number of missed keepalives after which the record of a crashed target is removed.
const missedKeepalives = 3

// replica is one of the targets of a service. It runs one incarnation after another, and a second one beside it during
// a version move or a drain.
type replica struct {
	index      int
	zone, pool string
	operator   *operator
	status     *platform.Store
	record     func(any)
	inbox      *mailbox.Mailbox[targetFault]

	incarnations []*incarnation
	behaviour    behaviour
	mode         rig.Mode
	startCount   int
	// lastCrashed is the incarnation that crashed last; nil if none has.
	lastCrashed *incarnation
	// reportColdUntil is the time until which records report a cold start, whether or not the target is in one.
	reportColdUntil time.Time
}

// targetFault is the beginning or end of a fault of a replica, with the mode of its proxies.
type targetFault struct {
	transition

	mode rig.Mode
}

// incarnation is one run of a target with its proxy.
type incarnation struct {
	*target

	stop  context.CancelFunc
	proxy *rig.Proxy
	// canary indicates that the target runs the new version of a move that is in progress.
	canary bool
	// drainedAt is when a draining target stops, and removeAt when the record of a stopped one is removed; zero if it
	// does not drain or still runs.
	drainedAt, removeAt time.Time
	// unannounced indicates that the record of a target that drains does not show it.
	unannounced bool
}

// Run applies faults and renews the records of the replica's targets until the context ends.
func (replica *replica) Run(ctx context.Context) error {
	keepalives := time.NewTicker(keepaliveInterval)
	defer keepalives.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-keepalives.C:
			replica.keepalive(ctx)
		case <-replica.inbox.Ready():
			for _, fault := range replica.inbox.Drain() {
				replica.handle(ctx, fault)
			}
		}
	}
}

func (replica *replica) handle(ctx context.Context, fault targetFault) {
	switch fault.step.Kind {
	case targetResetKind, targetSlowKind, targetSilentKind, targetOneWayKind:
		replica.mode = fault.mode
		for _, incarnation := range replica.incarnations {
			incarnation.proxy.Set(fault.mode)
		}
	case targetCrashKind:
		replica.crash(ctx, fault.begin)
	case targetDrainKind:
		if primary := replica.primary(); fault.begin && primary != nil {
			version := primary.version
			replica.drain(ctx, primary)
			replica.start(ctx, version, false, false, "", coldStartDuration)
		}
	case targetLeavesKind:
		if primary := replica.primary(); fault.begin && primary != nil {
			replica.leave(ctx, primary, fault.step)
		}
	case targetColdKind:
		if fault.begin {
			replica.reportColdUntil = time.Now().Add(coldStartDuration)
			replica.keepalive(ctx)
		}
	case moveGoodKind, moveBadKind, moveSupersededKind:
		replica.move(ctx, fault)
	default:
		behaviour := replica.behaviour.WithFault(fault.step.Kind, fault.begin)
		replica.behaviour = behaviour
		for _, incarnation := range replica.incarnations {
			incarnation.target.behaviour.Store(&behaviour)
		}
	}
}

// primary returns the incarnation that serves, other than a canary; nil if it is down.
func (replica *replica) primary() *incarnation {
	for _, incarnation := range replica.incarnations {
		if !incarnation.canary && incarnation.drainedAt.IsZero() && incarnation.removeAt.IsZero() {
			return incarnation
		}
	}
	return nil
}

// start starts and registers an incarnation with a cold start of the given duration. An empty address means a new one.
func (replica *replica) start(ctx context.Context, version string, canary, badVersion bool, address string, cold time.Duration) {
	var err error
	if address == "" {
		if address, err = loopback.FreeAddress(); err != nil {
			return
		}
	}
	lifetime, stop := context.WithCancel(ctx)
	proxy, err := rig.StartProxy(lifetime, address)
	if err != nil {
		stop()
		return
	}
	proxy.Set(replica.mode)
	replica.startCount++
	now := time.Now()
	started := &incarnation{stop: stop, proxy: proxy, canary: canary, target: &target{
		crash: sync.OnceFunc(func() { replica.crashAtOnce(stop) }),
		index: replica.index, name: fmt.Sprintf("t-%d-%d", replica.index, replica.startCount), zone: replica.zone, version: version, pool: replica.pool,
		address: address, born: now, coldUntil: now.Add(cold), badVersion: badVersion, record: replica.record,
	}}
	behaviour := replica.behaviour
	started.target.behaviour.Store(&behaviour)
	go func() { _ = started.target.Run(lifetime) }()
	replica.incarnations = append(replica.incarnations, started)
	replica.register(ctx, started)
}

// register writes the record in which a target registers itself, and returns the time of the acknowledgement.
func (replica *replica) register(ctx context.Context, incarnation *incarnation) time.Time {
	document := platform.TargetDocument{
		Service: replica.pool, Address: incarnation.proxy.Address, Zone: replica.zone, Version: incarnation.version, Slots: slots, State: platform.ReadyState,
		ColdMillis: float64(max(0, time.Until(incarnation.coldUntil), time.Until(replica.reportColdUntil)).Milliseconds()), Born: uint64(incarnation.born.UnixMilli()),
	}
	if !incarnation.drainedAt.IsZero() && !incarnation.unannounced {
		document.State = platform.DrainingState
	}
	return replica.operator.write(ctx, platform.TargetTopic, incarnation.name, document)
}

// drain registers a target as draining and has it stop drainLinger after the drain timeout.
func (replica *replica) drain(ctx context.Context, incarnation *incarnation) {
	incarnation.drainedAt = time.Now().Add(drainTimeout + drainLinger)
	acked := replica.register(ctx, incarnation)
	incarnation.drainedAt = acked.Add(drainTimeout + drainLinger)
	replica.record(order{kind: drained, name: incarnation.name, acked: acked})
}

// leave has a target announce in its answers, but not in its record, that it is shutting down, and stop at the end of the
// fault. The next incarnation starts at once.
func (replica *replica) leave(ctx context.Context, incarnation *incarnation, step step) {
	incarnation.unannounced = true
	incarnation.drainedAt = time.Now().Add(time.Duration(step.Ends-step.Starts) * time.Millisecond)
	incarnation.target.leaving.Store(true)
	replica.start(ctx, incarnation.version, false, false, "", coldStartDuration)
}

// crash stops the target without notice when the fault begins, and starts the next incarnation at its address when the
// fault ends.
func (replica *replica) crash(ctx context.Context, begin bool) {
	primary := replica.primary()
	switch {
	case begin && primary != nil:
		primary.stop()
		primary.removeAt = time.Now().Add(missedKeepalives * keepaliveInterval)
		replica.lastCrashed = primary
	case !begin && primary == nil:
		replica.start(ctx, replica.lastCrashed.version, false, false, replica.lastCrashed.address, coldStartDuration)
	}
}

// crashAtOnce crashes the target that serves, and restarts it after a while.
func (replica *replica) crashAtOnce(stop context.CancelFunc) {
	now := time.Now()
	crash := transition{begin: true, step: step{Kind: targetCrashKind, Subject: onTarget, Index: replica.index, Starts: now.UnixMilli()}}
	replica.record(crash.disruption(now))
	stop()
	replica.inbox.Put(targetFault{transition: crash})
	time.AfterFunc(promptCrashDuration, func() {
		crash.begin = false
		replica.record(crash.disruption(time.Now()))
		replica.inbox.Put(targetFault{transition: crash})
	})
}

// keepalive renews the records of running targets, and stops and removes those that have drained or crashed.
func (replica *replica) keepalive(ctx context.Context) {
	now := time.Now()
	expired := func(incarnation *incarnation) bool {
		return !incarnation.drainedAt.IsZero() && now.After(incarnation.drainedAt) || !incarnation.removeAt.IsZero() && now.After(incarnation.removeAt)
	}
	for _, incarnation := range replica.incarnations {
		switch {
		case expired(incarnation):
			incarnation.stop()
			replica.operator.write(ctx, platform.TargetTopic, incarnation.name, nil)
		case incarnation.removeAt.IsZero():
			replica.register(ctx, incarnation)
		}
	}
	replica.incarnations = slices.DeleteFunc(replica.incarnations, expired)
	replica.followMove(ctx)
}

// move starts a canary of the new version when a move begins. When the move ends, it drains the canary unless the move
// has been completed.
func (replica *replica) move(ctx context.Context, fault targetFault) {
	if replica.pool != plainPool {
		return
	}
	if fault.begin {
		replica.start(ctx, moveVersion(fault.step), true, fault.step.Kind != moveGoodKind, "", coldStartDuration)
		return
	}
	replica.followMove(ctx)
	for _, incarnation := range replica.incarnations {
		if incarnation.canary && incarnation.drainedAt.IsZero() {
			incarnation.canary = false
			replica.drain(ctx, incarnation)
		}
	}
}

// followMove applies the status of the move that the instances have published: a completed move stops the old
// incarnation at once, a move that was rolled back drains the canary.
func (replica *replica) followMove(ctx context.Context) {
	index := slices.IndexFunc(replica.incarnations, func(incarnation *incarnation) bool { return incarnation.canary })
	if index < 0 {
		return
	}
	canary := replica.incarnations[index]
	page, err := replica.status.Newest(ctx, platform.Partition{Topic: platform.StatusTopic}, "")
	if err != nil {
		// The store is disrupted by a fault; the next keepalive tries again.
		return
	}
	for _, item := range page.Items {
		var status platform.MoveStatusDocument
		if json.Unmarshal(item.Value, &status) != nil || status.Target != canary.version {
			continue
		}
		switch status.State {
		case platform.CompletedStatus:
			if primary := replica.primary(); primary != nil {
				primary.stop()
				primary.removeAt = time.Now()
			}
			canary.canary = false
		case platform.RolledBackStatus:
			canary.canary = false
			replica.drain(ctx, canary)
		}
	}
}

// moveVersion returns the name of the new version of a move.
func moveVersion(step step) string { return fmt.Sprint("v-", step.Starts) }
