package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"coltsfootlink"
	"coltsfootlink/loopback"
	"coltsfootlink/mailbox"
	"coltsfootlink/platform"
	"coltsfootlink/rig"
	"coltsfootlink/standin"
	"coltsfootlink/supervisor"
)

// The services of a site.
const (
	plainPool  = "plain"
	enginePool = "engine"
)

const (
	// drainDelay is how long a stopping instance takes new requests, for the balancer to notice.
	drainDelay = 2900 * time.Millisecond
	// lingers is how long a target serves after its time to drain.
	lingers = 1500 * time.Millisecond
	// beatInterval is the time between two entries of a target.
	beatInterval = time.Second
	// callPause, rarePause, floodPause and floodStreamPause are the mean times between two calls of a caller.
	callPause        = 60 * time.Millisecond
	rarePause        = 150 * time.Millisecond
	floodPause       = 5 * time.Millisecond
	floodStreamPause = 20 * time.Millisecond
	// leastSlow and mostSlow are how late a slow store takes a call up, in milliseconds.
	leastSlow = 200
	mostSlow  = 1000
)

// site is a store, targets, callers and instances with proxies between them.
type site struct {
	size     size
	folder   string
	daemon   string
	note     func(any)
	branch   *supervisor.Branch
	platform *standin.Platform
	operator *operator
	gateways []*rig.Gateway
	keepers  []*keeper
	posts    []*post
	store    string
	flooded  atomic.Int32
	// stopped is closed when all tasks have ended; nil before they start.
	stopped chan struct{}
}

// start starts all parts and waits until every instance takes callers.
func (site *site) start(ctx context.Context) error {
	address, err := loopback.FreeAddress()
	if err != nil {
		return err
	}
	store := standin.NewStore(0)
	site.store = address
	site.platform = &standin.Platform{Address: address, Store: store}
	site.operator = &operator{store: store, note: site.note, inbox: mailbox.New[func(context.Context)]()}
	site.branch.Add("store", store)
	site.branch.Add("platform", site.platform)
	site.branch.Add("operator", site.operator)
	site.stopped = make(chan struct{})
	go func() {
		_ = site.branch.Run(ctx)
		close(site.stopped)
	}()
	site.operator.change(ctx, terms{version: 1, keys: []string{"key-" + revokedTeam}})
	for index := range site.size.Targets {
		site.addPost(ctx, index)
	}
	var zones []string
	for zone := range site.size.Zones {
		zones = append(zones, zoneName(zone))
	}
	fleet := rig.GatewayFleet{
		Daemon: site.daemon, Folder: site.folder, Store: address, Zones: zones, Count: site.size.Instances, Proxied: true, DrainDelay: drainDelay,
	}
	site.gateways, err = fleet.Start(ctx)
	return err
}

func zoneName(index int) string { return fmt.Sprint("zone-", index) }

// zoneOf returns the zone of a target; each zone has targets of both services.
func zoneOf(target int, size size) int { return target / 2 % size.Zones }

// addPost starts a post with its first target.
func (site *site) addPost(ctx context.Context, index int) {
	pool := plainPool
	if index%2 == 1 {
		pool = enginePool
	}
	added := &post{
		index: index, zone: zoneName(zoneOf(index, site.size)), pool: pool, operator: site.operator,
		status: platform.NewStore("http://" + site.store), note: site.note, inbox: mailbox.New[meeting](),
	}
	site.posts = append(site.posts, added)
	added.begin(ctx, "v1", false, false, "", 0)
	site.branch.Add(fmt.Sprint("target-", index), added)
}

// run starts the callers, the keepers and the balancer.
func (site *site) run() {
	balancer := &balancer{gateways: site.gateways, picks: make(chan instanceAddress)}
	site.branch.Add("balancer", balancer)
	for index, gateway := range site.gateways {
		kept := &keeper{index: index, gateway: gateway, note: site.note, inbox: mailbox.New[phase]()}
		site.keepers = append(site.keepers, kept)
		site.branch.Add(gateway.Name, kept)
	}
	add := func(team, route string, count int, pause time.Duration, active func() bool) {
		for index := range count {
			name := fmt.Sprintf("%s-%s-%d", team, route, index)
			site.branch.Add(name, &caller{
				name: name, route: route, team: team, pause: pause, active: active,
				terms: func() terms { return *site.operator.table.Load() }, pick: balancer.picks, note: site.note,
			})
		}
	}
	for _, route := range []string{safeRoute, unsafeRoute, streamRoute, resumeRoute} {
		add(steadyTeam, route, 3, callPause, nil)
		add(otherTeam, route, 2, callPause, nil)
	}
	add(revokedTeam, unsafeRoute, 2, callPause, nil)
	add(staleTeam, unsafeRoute, 2, rarePause, nil)
	add(steadyTeam, "", 2, rarePause, nil)
	flooded := func() bool { return site.flooded.Load() > 0 }
	add(floodTeam, safeRoute, 24, floodPause, flooded)
	add(floodTeam, resumeRoute, 12, floodStreamPause, flooded)
}

// apply begins or ends a fault.
func (site *site) apply(message phase) {
	planned := message.step
	mode := traits()[planned.Kind].mode
	switch {
	case !message.begin:
		mode = rig.Pass
	case mode == rig.HoldRequests && planned.Starts%2 == 0:
		mode = rig.HoldAnswers
	}
	switch {
	case strings.HasPrefix(planned.seat(), callersSeat):
		site.gateways[planned.Index].CallersProxy.Set(mode)
	case strings.HasPrefix(planned.seat(), storeLinkSeat):
		site.gateways[planned.Index].StoreProxy.Set(mode)
	case planned.Subject == onInstance:
		site.keepers[planned.Index].inbox.Put(message)
		return
	case planned.Subject == onTarget:
		site.posts[planned.Index].inbox.Put(meeting{phase: message, mode: mode})
	case planned.Subject == onStore:
		site.disturbStore(message)
	default:
		site.order(message)
	}
	site.note(message.disruption(time.Now()))
}

// disturbStore makes the store misbehave or well again.
func (site *site) disturbStore(message phase) {
	var outage standin.Outage
	switch {
	case !message.begin:
	case message.step.Kind == storeSlowKind:
		outage.SlowMillis = leastSlow + rand.IntN(mostSlow-leastSlow)
	case message.step.Kind == storeLossyKind:
		outage.LoseReplies = true
	case message.step.Kind == storeDownKind:
		outage.Down = true
	}
	if message.step.Kind == storeForgetsKind {
		site.operator.inbox.Put(func(ctx context.Context) {
			for _, topic := range []string{platform.OperatorTopic, platform.TargetTopic} {
				// A store that cannot do it has ended with the run.
				_ = site.platform.Store.Forget(ctx, topic)
			}
		})
		return
	}
	site.operator.down.Store(outage.Down)
	site.platform.SetOutage(outage)
}

// order has the operators do what a fault says.
func (site *site) order(message phase) {
	operator := site.operator
	planned := message.step
	work := func(context.Context) {}
	switch planned.Kind {
	case floodKind:
		if message.begin {
			site.flooded.Add(1)
		} else {
			site.flooded.Add(-1)
		}
	case newTableKind:
		if message.begin {
			work = operator.addRoute
		}
	case revokeKind:
		work = operator.dropKey
		if message.begin {
			work = operator.addKey
		}
	case evacuateKind:
		work = func(ctx context.Context) { operator.evacuate(ctx, zoneName(planned.Index), message.begin) }
	case moveGoodKind, moveBadKind:
		bad := planned.Kind == moveBadKind
		for _, held := range site.posts {
			held.inbox.Put(meeting{phase: message})
		}
		work = func(ctx context.Context) {
			if message.begin {
				// The new version is there before the order.
				coltsfootlink.Sleep(ctx, beatInterval)
			}
			operator.move(ctx, versionOf(planned), bad, message.begin)
		}
	}
	operator.inbox.Put(work)
}

// settled says whether every instance is ready.
func (site *site) settled() bool {
	for _, gateway := range site.gateways {
		response, err := http.Get("http://" + gateway.Ready + platform.ReadinessPath)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// end ends the processes that the site has started, once no task starts them again; the tasks' context has ended.
func (site *site) end() {
	if site.stopped != nil {
		<-site.stopped
	}
	for _, gateway := range site.gateways {
		if gateway.Running() {
			_ = gateway.Kill()
		}
	}
}
