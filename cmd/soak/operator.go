package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/standin"
)

const (
	// storePollInterval is the time between two checks whether a store that is down is available again.
	storePollInterval = 20 * time.Millisecond
	// moveSeconds is the time allowed for a version move, in seconds.
	moveSeconds = 12
	// supersedeDelay is the time from an order to move to the one that supersedes it.
	supersedeDelay = time.Second
	// routeHost is the host of all routes.
	routeHost = "h"
	// targetConnections is the number of connections that a target accepts.
	targetConnections = 500
	// tokensPerSecond is the rate that operators guarantee for the engines.
	tokensPerSecond = 100_000
)

// table is a version of the operators' table. It is immutable.
type table struct {
	version int
	// added are the names of all routes added so far, oldest first; only the last one is in the table.
	added []string
	// keys are the API keys of the revoked team, oldest first; only the last one is valid.
	keys []string
	// next is a key of the revoked team that is valid too and will replace the last one; empty if there is none.
	next string
}

// WithRoute returns the next version, in which another route replaces the one that was added before.
func (table table) WithRoute(name string) table {
	table.version += 3
	table.added = append(slices.Clone(table.added), name)
	return table
}

// WithNextKey returns the next version, in which a new key of the revoked team is valid beside the old one.
func (table table) WithNextKey(key string) table {
	table.version++
	table.next = key
	return table
}

// WithoutOldKey returns the next version, in which only the new key of the revoked team is valid.
func (table table) WithoutOldKey() table {
	table.version++
	table.keys, table.next = append(slices.Clone(table.keys), table.next), ""
	return table
}

func (table table) newestRoute() string {
	if len(table.added) == 0 {
		return ""
	}
	return table.added[len(table.added)-1]
}

// key returns the API key that a team uses; empty if it has none.
func (table table) key(team string) string {
	switch {
	case team == revokedTeam:
		return table.keys[len(table.keys)-1]
	case team != staleTeam:
		return "key-" + team
	case len(table.keys) > 1:
		return table.keys[len(table.keys)-2]
	}
	return ""
}

// document returns the table as it is written to the store.
func (table table) document() map[string]any {
	route := func(name, kind, service string) standin.TableRoute {
		return standin.TableRoute{
			Name: name, Kind: kind, Service: service, TimeoutMillis: int64(5000 + table.version%5), ObjectiveMillis: objective.Milliseconds(),
			Attempts: 3, Resumable: name == resumeRoute,
		}
	}
	routes := []standin.TableRoute{
		route(safeRoute, "safe", plainPool), route(unsafeRoute, "unsafe", plainPool),
		route(streamRoute, "streaming", enginePool), route(resumeRoute, "streaming", enginePool),
	}
	if name := table.newestRoute(); name != "" {
		routes = append(routes, route(name, "safe", plainPool))
	}
	keys := map[string][]string{revokedTeam: {table.keys[len(table.keys)-1]}}
	if table.next != "" {
		keys[revokedTeam] = append(keys[revokedTeam], table.next)
	}
	for _, team := range []string{steadyTeam, otherTeam, floodTeam} {
		keys[team] = []string{"key-" + team}
	}
	services := []standin.TableService{
		{Name: plainPool, ConnectionLimit: targetConnections, ColdSeconds: coldStartDuration.Seconds(), ColdPerSecond: coldPerSecond},
		{Name: enginePool, ConnectionLimit: targetConnections, ColdSeconds: coldStartDuration.Seconds(), ColdPerSecond: coldPerSecond, MemoryTokens: 400_000},
	}
	return standin.Table{
		Version: table.version, Host: routeHost, Routes: routes, Services: services, Keys: keys, MaxBodyBytes: answerBodyLimit, TokensPerSecond: tokensPerSecond,
	}.Document()
}

// operator writes orders and the records of targets to the store, and records the orders that it has acknowledged.
type operator struct {
	store  *standin.Store
	record func(any)
	inbox  *mailbox.Mailbox[func(context.Context)]
	// down indicates that the store is down and accepts no writes.
	down atomic.Bool
	// table is the newest table that the store has acknowledged.
	table atomic.Pointer[table]
}

// Run executes the operations in its inbox, one after another, until the context ends.
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

// write waits until the store is available, writes a document under a key and returns the time of the
// acknowledgement. A nil document removes the key.
func (operator *operator) write(ctx context.Context, topic, key string, document any) time.Time {
	var value []byte
	if document != nil {
		// Encoding the soak's own documents cannot fail.
		value, _ = json.Marshal(document)
	}
	for operator.down.Load() && coltsfootlink.Sleep(ctx, storePollInterval) {
	}
	// The append fails only if the store has stopped at the end of the run.
	_, _ = operator.store.Append(ctx, coltsfootlink.Stream(topic), platform.EncodeKeyed(key, value))
	return time.Now()
}

// writeOdd writes records that name nothing that can be used, as if by another writer, or removes them.
func (operator *operator) writeOdd(ctx context.Context, begin bool) {
	for index, value := range []string{
		strings.Repeat("[", 100_000), "\xff\xfe", "{}", `{"state":"ready"}`,
		`{"service":"plain","address":"127.0.0.1:99999","zone":"zone-0","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"born":1,"sequence":1}`,
		`{"service":"plain","address":"127.0.0.1:80","zone":"zone-0","slots":4,"state":"ready"}`,
		`{"service":"plain","address":"127.0.0.1:80","zone":"zone-0","version":"v1","slots":9e99,"state":"ready","cold_remaining_ms":0,"born":1,"sequence":1}`,
		`{"service":"plain","address":"127.0.0.1:80","zone":"zone-0","version":"v1","slots":4,"state":"ready","cold_remaining_ms":1e300,"born":1,"sequence":1}`,
	} {
		content := []byte(value)
		if !begin {
			content = nil
		}
		for _, key := range []string{fmt.Sprint("odd-", index), fmt.Sprint("odd-\xff", index)} {
			// The append fails only if the store has stopped at the end of the run.
			_, _ = operator.store.Append(ctx, platform.TargetTopic, platform.EncodeKeyed(key, content))
			_, _ = operator.store.Append(ctx, platform.OperatorTopic, platform.EncodeKeyed("rollout/"+key, content))
		}
	}
}

// publish writes the next version of the table and returns the time of the acknowledgement.
func (operator *operator) publish(ctx context.Context, next table) time.Time {
	acked := operator.write(ctx, platform.OperatorTopic, "config", next.document())
	operator.table.Store(&next)
	return acked
}

// addRoute adds a route to the table in place of the one added before.
func (operator *operator) addRoute(ctx context.Context) {
	current := *operator.table.Load()
	previous := current.newestRoute()
	name := fmt.Sprint("added-", current.version)
	if previous != "" {
		operator.record(order{kind: routeAdded, name: previous, acked: time.Now(), ends: time.Now()})
	}
	operator.record(order{kind: routeAdded, name: name, acked: operator.publish(ctx, current.WithRoute(name))})
}

// addKey adds an API key for the revoked team, and dropKey revokes the one before.
func (operator *operator) addKey(ctx context.Context) {
	current := *operator.table.Load()
	key := fmt.Sprint("key-", revokedTeam, "-", current.version)
	operator.record(order{kind: keyAdded, name: key, acked: operator.publish(ctx, current.WithNextKey(key))})
}

func (operator *operator) dropKey(ctx context.Context) {
	current := *operator.table.Load()
	old := current.key(revokedTeam)
	operator.record(order{kind: keyAdded, name: old, acked: time.Now(), ends: time.Now()})
	operator.record(order{kind: keyGone, name: old, acked: operator.publish(ctx, current.WithoutOldKey())})
}

// evacuate takes a zone out of service, or returns it to service.
func (operator *operator) evacuate(ctx context.Context, zone string, out bool) {
	order := order{kind: zoneOut, name: zone, acked: time.Now()}
	if out {
		order.acked = operator.write(ctx, platform.OperatorTopic, "evacuate/"+zone, struct{}{})
	} else {
		order.ends = order.acked
		operator.record(order)
		operator.write(ctx, platform.OperatorTopic, "evacuate/"+zone, nil)
		return
	}
	operator.record(order)
}

// move orders the move of the plain service to a version, or withdraws the order.
func (operator *operator) move(ctx context.Context, version string, bad, begin bool) {
	key := "rollout/" + plainPool
	if !begin {
		if bad {
			operator.record(order{kind: badMove, name: version, acked: time.Now(), ends: time.Now()})
		}
		operator.write(ctx, platform.OperatorTopic, key, nil)
		return
	}
	acked := operator.orderMove(ctx, version)
	if bad {
		operator.record(order{kind: badMove, name: version, acked: acked})
	}
}

// orderMove orders the move of the plain service to a version, and returns the time of the acknowledgement.
func (operator *operator) orderMove(ctx context.Context, version string) time.Time {
	return operator.write(ctx, platform.OperatorTopic, "rollout/"+plainPool, platform.MoveOrderDocument{Service: plainPool, Target: version, Seconds: moveSeconds})
}
