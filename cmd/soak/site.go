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
	// drainDelay is how long a stopping instance accepts new requests, so that the balancer notices that it is not ready.
	drainDelay = 2900 * time.Millisecond
	// drainLinger is how long a target goes on serving after the drain timeout.
	drainLinger = 1500 * time.Millisecond
	// keepaliveInterval is the time between two writes of the record of a target.
	keepaliveInterval = time.Second
	// callDelay, rareCallDelay, floodDelay and floodStreamDelay are the mean times between two calls of a caller.
	callDelay        = 60 * time.Millisecond
	rareCallDelay    = 150 * time.Millisecond
	floodDelay       = 5 * time.Millisecond
	floodStreamDelay = 20 * time.Millisecond
	// minSlowMillis and maxSlowMillis bound the delay of calls to a slow store, which is drawn once for each fault.
	minSlowMillis = 200
	maxSlowMillis = 1000
)

// site is a complete test bed: the store, targets, callers and instances, with proxies between them.
type site struct {
	size         size
	folder       string
	daemon       string
	record       func(any)
	branch       *supervisor.Branch
	platform     *standin.Platform
	operator     *operator
	gateways     []*rig.Gateway
	processes    []*process
	replicas     []*replica
	storeAddress string
	activeFloods atomic.Int32
	// control is the platform's control address; its faults are drawn from the seed, and end when faultsOver is set.
	control    *standin.Control
	seed       uint64
	faultsOver atomic.Bool
	// crashingPrompts indicates that some prompts crash targets.
	crashingPrompts atomic.Bool
	// stopped is closed when all tasks have ended; nil before they start.
	stopped chan struct{}
}

// start starts the store, the targets and the instances, and waits until every instance accepts callers.
func (site *site) start(ctx context.Context) error {
	address, err := loopback.FreeAddress()
	if err != nil {
		return err
	}
	store := standin.NewStore(0)
	site.storeAddress = address
	site.platform = &standin.Platform{Address: address, Store: store}
	site.operator = &operator{store: store, record: site.record, inbox: mailbox.New[func(context.Context)]()}
	site.branch.Add("store", store)
	site.branch.Add("platform", site.platform)
	site.branch.Add("operator", site.operator)
	site.stopped = make(chan struct{})
	go func() {
		_ = site.branch.Run(ctx)
		close(site.stopped)
	}()
	site.operator.publish(ctx, table{version: 1, keys: []string{"key-" + revokedTeam}})
	for index := range site.size.Targets {
		site.addReplica(ctx, index)
	}
	var zones []string
	for zone := range site.size.Zones {
		zones = append(zones, zoneName(zone))
	}
	control, err := loopback.FreeAddress()
	if err != nil {
		return err
	}
	site.control = &standin.Control{Address: control, CallsPerSecond: dutyCallsPerSecond, OnCall: func(call standin.DutyCall) { site.record(call) }}
	site.branch.Add("control", site.control)
	fleet := rig.GatewayFleet{
		Daemon: site.daemon, Folder: site.folder, Store: address, Zones: zones, Count: site.size.Instances, Proxied: true, DrainDelay: drainDelay,
		Control: control, DutySettings: dutySettings(),
	}
	site.gateways, err = fleet.Start(ctx)
	return err
}

func zoneName(index int) string { return fmt.Sprint("zone-", index) }

// zoneOf returns the zone of a target; each zone has targets of both services.
func zoneOf(target int, size size) int { return target / 2 % size.Zones }

// addReplica starts a replica with its first incarnation.
func (site *site) addReplica(ctx context.Context, index int) {
	pool := plainPool
	if index%2 == 1 {
		pool = enginePool
	}
	added := &replica{
		index: index, zone: zoneName(zoneOf(index, site.size)), pool: pool, operator: site.operator,
		status: platform.NewStore("http://" + site.storeAddress), record: site.record, inbox: mailbox.New[targetFault](),
	}
	site.replicas = append(site.replicas, added)
	added.start(ctx, "v1", false, false, "", 0)
	site.branch.Add(fmt.Sprint("target-", index), added)
}

// startTraffic starts the balancer, the supervision of the instance processes and the callers.
func (site *site) startTraffic() {
	balancer := &balancer{gateways: site.gateways, picks: make(chan instanceAddress)}
	site.branch.Add("balancer", balancer)
	site.branch.Add("control-faults", &controlFaults{
		control: site.control, gateways: site.gateways, random: rand.New(rand.NewPCG(site.seed, site.seed)), over: &site.faultsOver, record: site.record,
	})
	for index, gateway := range site.gateways {
		started := &process{index: index, gateway: gateway, record: site.record, inbox: mailbox.New[transition]()}
		site.processes = append(site.processes, started)
		site.branch.Add(gateway.Name, started)
	}
	add := func(team, route string, count int, meanDelay time.Duration, active func() bool) {
		for index := range count {
			name := fmt.Sprintf("%s-%s-%d", team, route, index)
			site.branch.Add(name, &caller{
				name: name, route: route, team: team, meanDelay: meanDelay, active: active,
				crashingPrompts: site.crashingPrompts.Load,
				table:           func() table { return *site.operator.table.Load() }, picks: balancer.picks, record: site.record,
			})
		}
	}
	for _, route := range []string{safeRoute, unsafeRoute, streamRoute, resumeRoute} {
		add(steadyTeam, route, 3, callDelay, nil)
		add(otherTeam, route, 2, callDelay, nil)
	}
	add(revokedTeam, unsafeRoute, 2, callDelay, nil)
	add(staleTeam, unsafeRoute, 2, rareCallDelay, nil)
	add(steadyTeam, "", 2, rareCallDelay, nil)
	flooding := func() bool { return site.activeFloods.Load() > 0 }
	add(floodTeam, safeRoute, 24, floodDelay, flooding)
	add(floodTeam, resumeRoute, 12, floodStreamDelay, flooding)
}

// apply begins or ends a fault. One-way faults hold the requests if they start at an odd millisecond, and the answers
// otherwise.
func (site *site) apply(transition transition) {
	step := transition.step
	mode := faultSpecs()[step.Kind].mode
	switch {
	case !transition.begin:
		mode = rig.Pass
	case mode == rig.HoldRequests && step.Starts%2 == 0:
		mode = rig.HoldAnswers
	}
	switch {
	case strings.HasPrefix(step.resource(), callersResource):
		site.gateways[step.Index].CallersProxy.Set(mode)
	case strings.HasPrefix(step.resource(), storeLinkResource):
		site.gateways[step.Index].StoreProxy.Set(mode)
	case step.Subject == onInstance:
		site.processes[step.Index].inbox.Put(transition)
		return
	case step.Subject == onTarget:
		site.replicas[step.Index].inbox.Put(targetFault{transition: transition, mode: mode})
	case step.Kind == storeRestoredKind:
		site.restoreStore(transition)
		return
	case step.Subject == onStore:
		site.disturbStore(transition)
	default:
		site.applyOrder(transition)
	}
	site.record(transition.disruption(time.Now()))
}

// restoreStore begins or ends a restore of the store. No operator and no target writes until what is lost has been written again,
// because each key has one writer, whose newest record has to be the last.
func (site *site) restoreStore(transition transition) {
	if transition.begin {
		site.record(transition.disruption(time.Now()))
	}
	site.operator.inbox.Put(func(ctx context.Context) {
		if !transition.begin {
			site.record(transition.disruption(time.Now()))
			return
		}
		site.operator.down.Store(true)
		// This fails only if the store has stopped at the end of the run.
		_ = site.platform.Restore(ctx, transition.step.restore())
		site.operator.down.Store(false)
	})
}

// disturbStore begins or ends a fault of the store.
func (site *site) disturbStore(transition transition) {
	var outage standin.Outage
	switch {
	case !transition.begin:
	case transition.step.Kind == storeSlowKind:
		outage.SlowMillis = minSlowMillis + rand.IntN(maxSlowMillis-minSlowMillis)
	case transition.step.Kind == storeLossyKind:
		outage.LoseReplies = true
	case transition.step.Kind == storeDownKind:
		outage.Down = true
	}
	if transition.step.Kind == storeForgetsKind {
		site.operator.inbox.Put(func(ctx context.Context) {
			for _, topic := range []string{platform.OperatorTopic, platform.TargetTopic, platform.DutyTopic} {
				// This fails only if the store has stopped at the end of the run.
				_ = site.platform.Store.Forget(ctx, topic)
			}
		})
		return
	}
	site.operator.down.Store(outage.Down)
	site.platform.SetOutage(outage)
}

// applyOrder begins or ends a fault that consists of a flood or of changes by operators.
func (site *site) applyOrder(transition transition) {
	operator := site.operator
	step := transition.step
	work := func(context.Context) {}
	switch step.Kind {
	case floodKind:
		if transition.begin {
			site.activeFloods.Add(1)
		} else {
			site.activeFloods.Add(-1)
		}
	case newTableKind:
		if transition.begin {
			work = operator.addRoute
		}
	case revokeKind:
		work = operator.dropKey
		if transition.begin {
			work = operator.addKey
		}
	case crashingPromptsKind:
		site.crashingPrompts.Store(transition.begin)
	case oddRecordsKind:
		work = func(ctx context.Context) { operator.writeOdd(ctx, transition.begin) }
	case evacuateKind:
		work = func(ctx context.Context) { operator.evacuate(ctx, zoneName(step.Index), transition.begin) }
	case moveGoodKind, moveBadKind, moveSupersededKind:
		bad := step.Kind != moveGoodKind
		for _, replica := range site.replicas {
			replica.inbox.Put(targetFault{transition: transition})
		}
		work = func(ctx context.Context) {
			if transition.begin {
				// The targets of the new version register before the move is ordered.
				coltsfootlink.Sleep(ctx, keepaliveInterval)
			}
			operator.move(ctx, moveVersion(step), bad, transition.begin)
			if step.Kind == moveSupersededKind && transition.begin && coltsfootlink.Sleep(ctx, supersedeDelay) {
				operator.orderMove(ctx, moveVersion(step)+"-next")
			}
		}
	}
	operator.inbox.Put(work)
}

// ready reports whether every instance is ready.
func (site *site) ready() bool {
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

// stop kills the instance processes. The context of the site's tasks must have ended before: stop waits for the tasks,
// which would start the processes again.
func (site *site) stop() {
	if site.stopped != nil {
		<-site.stopped
	}
	rig.KillGateways(site.gateways)
}
