package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
)

// silenceBeats is the number of missed entries after which a target's entry is removed.
const silenceBeats = 3

// post is a place of a target, where one lifetime follows another.
type post struct {
	index      int
	zone, pool string
	operator   *operator
	status     *platform.Store
	note       func(any)
	inbox      *mailbox.Mailbox[meeting]

	lives   []*life
	conduct conduct
	mode    rig.Mode
	started int
	// crashed is the target that crashed last; nil if none has.
	crashed *life
	// chilled is until when entries say that the target is cold.
	chilled time.Time
}

// meeting is a fault that a post meets; the mode is that of its connections.
type meeting struct {
	phase

	mode rig.Mode
}

// life is one lifetime of a target at its post.
type life struct {
	*target

	stop  context.CancelFunc
	proxy *rig.Proxy
	// twin says that the target runs a version beside the post's own.
	twin bool
	// endsAt is when a draining target ends, and goneAt when the entry of a crashed one is removed; zero if not.
	endsAt, goneAt time.Time
}

// Run keeps the post's targets and their entries until the context ends.
func (post *post) Run(ctx context.Context) error {
	beats := time.NewTicker(beatInterval)
	defer beats.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-beats.C:
			post.beat(ctx)
		case <-post.inbox.Ready():
			for _, met := range post.inbox.Drain() {
				post.handle(ctx, met)
			}
		}
	}
}

func (post *post) handle(ctx context.Context, met meeting) {
	switch met.step.Kind {
	case targetResetKind, targetSlowKind, targetSilentKind, targetOneWayKind:
		post.mode = met.mode
		for _, held := range post.lives {
			held.proxy.Set(met.mode)
		}
	case targetCrashKind:
		post.crash(ctx, met.begin)
	case targetDrainKind:
		if main := post.main(); met.begin && main != nil {
			version := main.version
			post.drain(ctx, main)
			post.begin(ctx, version, false, false, "", coldSpan)
		}
	case targetColdKind:
		if met.begin {
			post.chilled = time.Now().Add(coldSpan)
			post.beat(ctx)
		}
	case moveGoodKind, moveBadKind:
		post.move(ctx, met)
	default:
		changed := post.conduct.WithFault(met.step.Kind, met.begin)
		post.conduct = changed
		for _, held := range post.lives {
			held.target.conduct.Store(&changed)
		}
	}
}

// main returns the target that serves at the post; nil if it is down.
func (post *post) main() *life {
	for _, held := range post.lives {
		if !held.twin && held.endsAt.IsZero() && held.goneAt.IsZero() {
			return held
		}
	}
	return nil
}

// begin starts a target; at a new address if none is given.
func (post *post) begin(ctx context.Context, version string, twin, bad bool, address string, cold time.Duration) {
	var err error
	if address == "" {
		if address, err = loopback.FreeAddress(); err != nil {
			return
		}
	}
	proxy, err := rig.StartProxy(ctx, address)
	if err != nil {
		return
	}
	proxy.Set(post.mode)
	post.started++
	now := time.Now()
	begun := &life{proxy: proxy, twin: twin, target: &target{
		index: post.index, name: fmt.Sprintf("t-%d-%d", post.index, post.started), zone: post.zone, version: version, pool: post.pool,
		address: address, born: now, coldUntil: now.Add(cold), bad: bad, note: post.note,
	}}
	behaves := post.conduct
	begun.target.conduct.Store(&behaves)
	var lifetime context.Context
	lifetime, begun.stop = context.WithCancel(ctx)
	go func() { _ = begun.target.Run(lifetime) }()
	post.lives = append(post.lives, begun)
	post.enter(ctx, begun)
}

// enter writes a target's entry and returns when it was acknowledged.
func (post *post) enter(ctx context.Context, held *life) time.Time {
	document := platform.TargetDocument{
		Service: post.pool, Address: held.proxy.Address, Zone: post.zone, Version: held.version, Slots: slots, State: platform.ReadyState,
		ColdMillis: float64(max(0, time.Until(held.coldUntil), time.Until(post.chilled)).Milliseconds()), Born: uint64(held.born.UnixMilli()),
	}
	if !held.endsAt.IsZero() {
		document.State = platform.DrainingState
	}
	return post.operator.write(ctx, platform.TargetTopic, held.name, document)
}

// drain says that a target leaves, which it does after its time.
func (post *post) drain(ctx context.Context, held *life) {
	held.endsAt = time.Now().Add(drainLimit + lingers)
	acked := post.enter(ctx, held)
	held.endsAt = acked.Add(drainLimit + lingers)
	post.note(order{kind: drained, name: held.name, acked: acked})
}

// crash ends the target without a word, or starts the next one at its address.
func (post *post) crash(ctx context.Context, begin bool) {
	main := post.main()
	switch {
	case begin && main != nil:
		main.stop()
		main.goneAt = time.Now().Add(silenceBeats * beatInterval)
		post.crashed = main
	case !begin && main == nil:
		post.begin(ctx, post.crashed.version, false, false, post.crashed.address, coldSpan)
	}
}

// beat writes entries and ends what has to end.
func (post *post) beat(ctx context.Context) {
	now := time.Now()
	ended := func(held *life) bool {
		return !held.endsAt.IsZero() && now.After(held.endsAt) || !held.goneAt.IsZero() && now.After(held.goneAt)
	}
	for _, held := range post.lives {
		switch {
		case ended(held):
			held.stop()
			post.operator.write(ctx, platform.TargetTopic, held.name, nil)
		case held.goneAt.IsZero():
			post.enter(ctx, held)
		}
	}
	post.lives = slices.DeleteFunc(post.lives, ended)
	post.follow(ctx)
}

// move starts a target of another version beside the post's own, or ends it if the move is not done.
func (post *post) move(ctx context.Context, met meeting) {
	if post.pool != plainPool {
		return
	}
	if met.begin {
		post.begin(ctx, versionOf(met.step), true, met.step.Kind == moveBadKind, "", coldSpan)
		return
	}
	post.follow(ctx)
	for _, held := range post.lives {
		if held.twin && held.endsAt.IsZero() {
			held.twin = false
			post.drain(ctx, held)
		}
	}
}

// follow does what the instances have decided on a move: the old target stops at once, or the new one drains.
func (post *post) follow(ctx context.Context) {
	place := slices.IndexFunc(post.lives, func(held *life) bool { return held.twin })
	if place < 0 {
		return
	}
	twin := post.lives[place]
	page, err := post.status.Newest(ctx, platform.Partition{Topic: platform.StatusTopic}, "")
	if err != nil {
		// The store is at fault; the next beat asks again.
		return
	}
	for _, item := range page.Items {
		var document platform.MoveStatusDocument
		if json.Unmarshal(item.Value, &document) != nil || document.Target != twin.version {
			continue
		}
		switch document.State {
		case platform.CompletedStatus:
			if main := post.main(); main != nil {
				main.stop()
				main.goneAt = time.Now()
			}
			twin.twin = false
		case platform.RolledBackStatus:
			twin.twin = false
			post.drain(ctx, twin)
		}
	}
}

// versionOf returns the version to which a move goes.
func versionOf(planned step) string { return fmt.Sprint("v-", planned.Starts) }
