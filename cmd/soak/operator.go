package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

const (
	// storePause is the time between two looks whether a store that is down is back.
	storePause = 20 * time.Millisecond
	// moveSeconds is how long a move may take.
	moveSeconds = 12
	// routeHost is the host of all routes, targetConnections what a target accepts, and tokensPerSecond what operators
	// promise of the engines.
	routeHost         = "h"
	targetConnections = 500
	tokensPerSecond   = 100_000
)

// terms is a version of the operators' table.
type terms struct {
	version int
	// added are the routes that were added, oldest first; the last of them is there.
	added []string
	// keys are the keys of the revoked team, oldest first, of which the newest holds; next is one that holds too.
	keys []string
	next string
}

// WithRoute returns the next version, with another route in the place of the one that was added before.
func (held terms) WithRoute(name string) terms {
	held.version += 3
	held.added = append(slices.Clone(held.added), name)
	return held
}

// WithNextKey returns the next version, in which a new key holds beside the old one.
func (held terms) WithNextKey(key string) terms {
	held.version++
	held.next = key
	return held
}

// WithoutOldKey returns the next version, in which only the new key holds.
func (held terms) WithoutOldKey() terms {
	held.version++
	held.keys, held.next = append(slices.Clone(held.keys), held.next), ""
	return held
}

func (held terms) newestRoute() string {
	if len(held.added) == 0 {
		return ""
	}
	return held.added[len(held.added)-1]
}

// key returns the key with which a team asks; empty if it has none.
func (held terms) key(team string) string {
	switch {
	case team == revokedTeam:
		return held.keys[len(held.keys)-1]
	case team != staleTeam:
		return "key-" + team
	case len(held.keys) > 1:
		return held.keys[len(held.keys)-2]
	}
	return ""
}

// document is the table as the store has it.
func (held terms) document() map[string]any {
	route := func(name, kind, service string) standin.TableRoute {
		return standin.TableRoute{
			Name: name, Kind: kind, Service: service, TimeoutMillis: int64(5000 + held.version%5), ObjectiveMillis: objective.Milliseconds(),
			Attempts: 3, Resumable: name == resumeRoute,
		}
	}
	routes := []standin.TableRoute{
		route(safeRoute, "safe", plainPool), route(unsafeRoute, "unsafe", plainPool),
		route(streamRoute, "streaming", enginePool), route(resumeRoute, "streaming", enginePool),
	}
	if name := held.newestRoute(); name != "" {
		routes = append(routes, route(name, "safe", plainPool))
	}
	keys := map[string][]string{revokedTeam: {held.keys[len(held.keys)-1]}}
	if held.next != "" {
		keys[revokedTeam] = append(keys[revokedTeam], held.next)
	}
	for _, team := range []string{steadyTeam, otherTeam, floodTeam} {
		keys[team] = []string{"key-" + team}
	}
	services := []standin.TableService{
		{Name: plainPool, ConnectionLimit: targetConnections, ColdSeconds: coldSpan.Seconds(), ColdPerSecond: coldPerSecond},
		{Name: enginePool, ConnectionLimit: targetConnections, ColdSeconds: coldSpan.Seconds(), ColdPerSecond: coldPerSecond, MemoryTokens: 400_000},
	}
	return standin.Table{
		Version: held.version, Host: routeHost, Routes: routes, Services: services, Keys: keys, MaxBodyBytes: answerBodyLimit, TokensPerSecond: tokensPerSecond,
	}.Document()
}

// operator writes orders and entries into the store, and tells what the store has acknowledged.
type operator struct {
	store *standin.Store
	note  func(any)
	inbox *mailbox.Mailbox[func(context.Context)]
	// down says that the store takes nothing.
	down atomic.Bool
	// table is the newest table that the store has acknowledged.
	table atomic.Pointer[terms]
}

// Run carries orders out, one after another, until the context ends.
func (operator *operator) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-operator.inbox.Ready():
			for _, work := range operator.inbox.Drain() {
				work(ctx)
			}
		}
	}
}

// write puts a document under a key once the store takes it, and returns when that was; nil removes the key.
func (operator *operator) write(ctx context.Context, topic, key string, document any) time.Time {
	var value []byte
	if document != nil {
		// The soak's own documents can be encoded.
		value, _ = json.Marshal(document)
	}
	for operator.down.Load() && coltsfootlink.Sleep(ctx, storePause) {
	}
	// A store that cannot take it has ended with the run.
	_, _ = operator.store.Append(ctx, coltsfootlink.Stream(topic), platform.EncodeKeyed(key, value))
	return time.Now()
}

// change writes the next version of the table.
func (operator *operator) change(ctx context.Context, next terms) time.Time {
	acked := operator.write(ctx, platform.OperatorTopic, "config", next.document())
	operator.table.Store(&next)
	return acked
}

// addRoute adds a route and takes the one before away.
func (operator *operator) addRoute(ctx context.Context) {
	held := *operator.table.Load()
	before := held.newestRoute()
	name := fmt.Sprint("added-", held.version)
	if before != "" {
		operator.note(order{kind: routeAdded, name: before, acked: time.Now(), ends: time.Now()})
	}
	operator.note(order{kind: routeAdded, name: name, acked: operator.change(ctx, held.WithRoute(name))})
}

// addKey adds a key, and dropKey takes the one before away.
func (operator *operator) addKey(ctx context.Context) {
	held := *operator.table.Load()
	key := fmt.Sprint("key-", revokedTeam, "-", held.version)
	operator.note(order{kind: keyAdded, name: key, acked: operator.change(ctx, held.WithNextKey(key))})
}

func (operator *operator) dropKey(ctx context.Context) {
	held := *operator.table.Load()
	old := held.key(revokedTeam)
	operator.note(order{kind: keyAdded, name: old, acked: time.Now(), ends: time.Now()})
	operator.note(order{kind: keyGone, name: old, acked: operator.change(ctx, held.WithoutOldKey())})
}

// evacuate takes a zone out, or back.
func (operator *operator) evacuate(ctx context.Context, zone string, out bool) {
	given := order{kind: zoneOut, name: zone, acked: time.Now()}
	if out {
		given.acked = operator.write(ctx, platform.OperatorTopic, "evacuate/"+zone, struct{}{})
	} else {
		given.ends = given.acked
		operator.note(given)
		operator.write(ctx, platform.OperatorTopic, "evacuate/"+zone, nil)
		return
	}
	operator.note(given)
}

// move orders the plain service's move to a version, or takes the order back.
func (operator *operator) move(ctx context.Context, version string, bad, begin bool) {
	key := "rollout/" + plainPool
	if !begin {
		if bad {
			operator.note(order{kind: badMove, name: version, acked: time.Now(), ends: time.Now()})
		}
		operator.write(ctx, platform.OperatorTopic, key, nil)
		return
	}
	acked := operator.write(ctx, platform.OperatorTopic, key, platform.MoveOrderDocument{Service: plainPool, Target: version, Seconds: moveSeconds})
	if bad {
		operator.note(order{kind: badMove, name: version, acked: acked})
	}
}
