// Package gateway assembles the tasks of the daemon on the users' platform into a supervisor tree and runs it.
package gateway

import (
	"context"
	"math"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"coltsfootlink"
	"coltsfootlink/ingress"
	"coltsfootlink/mailbox"
	"coltsfootlink/memory"
	"coltsfootlink/peer"
	"coltsfootlink/platform"
	"coltsfootlink/relay"
	"coltsfootlink/settings"
	"coltsfootlink/supervisor"
	"coltsfootlink/timeline"
	"coltsfootlink/upstream"
	"coltsfootlink/web"
)

const (
	// normalGCPercent and pressureGCPercent are the heap growth after which garbage is collected (GOGC), in percent:
	// normally, and while CPU is short.
	normalGCPercent   = 30
	pressureGCPercent = 100
	// drainPollInterval is the interval at which an instance that shuts down checks for unfinished requests and
	// forwarded connections. It stops after idlePollsToStop consecutive checks that find none.
	drainPollInterval = 100 * time.Millisecond
	idlePollsToStop   = 3
	// memoryLimitFraction is the fraction of the configured memory at which the soft memory limit (GOMEMLIMIT) is set.
	// Near it, garbage is collected as often as needed to stay below, at the cost of CPU.
	memoryLimitFraction = 0.6
	bytesPerMB          = 1 << 20
	// memoryBudgetFraction is the fraction of the configured memory for large bodies of requests, answers and events. The rest
	// is for everything else, and for garbage that has not been collected yet.
	memoryBudgetFraction = 0.2
	// connectionsPerMB and requestsPerMB limit the callers' connections and the requests in progress, per megabyte of the
	// configured memory.
	connectionsPerMB = 8
	requestsPerMB    = 4
	// waitingPerCore limits the requests that wait for a target, per core of the instance's CPU share.
	waitingPerCore = 200
	// longAnswerBytesPerCore is the pace at which long answers are passed on, in bytes per second and core of the instance's
	// CPU share; copying them at that pace takes a small part of it. longAnswerBurstBytes may be passed on at once.
	longAnswerBytesPerCore = 64 << 20
	longAnswerBurstBytes   = 1 << 20
	// stopMargin is how much earlier than allowed (StopSeconds) the process stops waiting for requests.
	stopMargin = 800 * time.Millisecond
	// shutdownTimeout is how long the servers wait for the last answers to be written before they close connections.
	shutdownTimeout = 300 * time.Millisecond
	// milliCores is the unit of an instance's capacity: thousandths of a core.
	milliCores = 1000
	// timelineEvents is the number of timeline events that an instance keeps.
	timelineEvents = 512
	// retryBudgetFraction is the fraction of the configured retry budget that the fleet uses.
	retryBudgetFraction = 0.75
)

// Gateway is one daemon process on the users' platform.
type Gateway struct {
	// File is the path of the settings file, which is watched for changes.
	File     string
	Settings settings.Gateway
	Log      zerolog.Logger

	self      coltsfootlink.Instance
	clock     coltsfootlink.Clock
	mailboxes mailboxes
	router    *peer.Router
	store     *platform.Store
	hybrid    *timeline.HybridClock
	recorder  timeline.Recorder
	gate      *ingress.Gate
	service   *ingress.Service
	// endRequests has the requests in progress answered at once.
	endRequests context.CancelFunc
	relay       *relay.Task
	// probe measures how long callers' connections wait to be accepted.
	probe *web.Probe
}

// mailboxes holds the inboxes of the tasks.
type mailboxes struct {
	// duties is nil without duties.
	admission, catalog, collector, crashLog, dispatch, duties, gate, connPool, discovery, links, membership, moves, prober, quarantine, relay, shares, timeline *mailbox.Deliveries
}

// Run runs the daemon until the context ends, and then shuts it down gracefully: requests in progress are finished first.
func (gateway *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(gateway.Settings.MemoryMB * memoryLimitFraction * bytesPerMB))
	gateway.prepare()
	gateway.Log.Info().Str("zone", gateway.Settings.Zone).Str("address", gateway.self.PeerAddress).Msg("gateway: starting")
	gateway.logLimits()
	// The tasks must outlive ctx, because requests in progress need them during the graceful shutdown.
	treeContext, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	frontContext, stopFront := context.WithCancel(treeContext)
	defer stopFront()
	root := supervisor.New("coltsfootd", gateway.Log)
	gateway.addPeers(root.Branch("peer"))
	gateway.addRoles(root.Branch("roles"))
	gateway.addReadiness(root.Branch("readiness"))
	done := make(chan error, 1)
	go func() { done <- root.Run(treeContext) }()
	front := supervisor.New("coltsfootd/front", gateway.Log)
	callers := gateway.server("front", gateway.Settings.Listen.Callers, gateway.service)
	callers.Open = gateway.service.Connections
	callers.Probe = gateway.probe
	callers.IdleTimeout = gateway.Settings.Timing.IdleTimeout.Duration
	gateway.addRelay(front, callers)
	front.Add("server", callers)
	front.Add("probe", gateway.probe)
	frontDone := make(chan error, 1)
	go func() { frontDone <- front.Run(frontContext) }()
	select {
	case <-ctx.Done():
	case err := <-done:
		return err
	}
	gateway.leave()
	stopFront()
	<-frontDone
	stopTree()
	err := <-done
	gateway.Log.Info().Msg("gateway: stopped")
	return err
}

// leave prepares the shutdown. It announces it to the load balancer, the other instances, and those to which connections are
// forwarded, and accepts requests for DrainDelay, until the balancer has caught up, but for those that are not expected to end
// in time. After that it accepts only requests whose deadlines lie before the end, and refuses others at once: where most
// instances of a zone leave, the balancer still sends them requests. Once none are left, or at the end, it refuses all, and
// returns when those that it has accepted have ended, or at the end.
func (gateway *Gateway) leave() {
	now := gateway.clock.Now()
	timing := gateway.Settings.Timing
	endsAt := now.Add(time.Duration(timing.StopSeconds*float64(time.Second)) - stopMargin)
	gateway.Log.Info().Int("requests", gateway.service.Active()).Time("ends-at", endsAt).Msg("gateway: shutdown started, accepting requests until the load balancer has caught up")
	for _, inbox := range []*mailbox.Deliveries{gateway.mailboxes.gate, gateway.mailboxes.membership, gateway.mailboxes.relay} {
		inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.Leave{}})
	}
	stopping := coltsfootlink.Stopping{RefusesAt: now.Add(timing.DrainDelay.Duration), EndsAt: endsAt}
	for _, inbox := range []*mailbox.Deliveries{gateway.mailboxes.gate, gateway.mailboxes.dispatch, gateway.mailboxes.relay} {
		inbox.Put(coltsfootlink.Delivery{Message: stopping})
	}
	time.Sleep(timing.DrainDelay.Duration)
	gateway.Log.Info().Int("requests", gateway.service.Active()).Msg("gateway: shutting down, refusing requests that may not finish in time")
	for idlePolls := 0; idlePolls < idlePollsToStop && gateway.clock.Now().Before(endsAt); {
		time.Sleep(drainPollInterval)
		idlePolls++
		if gateway.service.Active() > 0 || gateway.relay.Open() > 0 {
			idlePolls = 0
		}
	}
	gateway.service.Close()
	// A request may have been accepted since the last check.
	for gateway.service.Active() > 0 && gateway.clock.Now().Before(endsAt) {
		time.Sleep(drainPollInterval)
	}
	gateway.Log.Info().Int("requests", gateway.service.Active()).
		Int64("forwarded", gateway.relay.Open()).Msg("gateway: closing the listeners")
	gateway.endRequests()
}

func (gateway *Gateway) prepare() {
	gateway.clock = coltsfootlink.SystemClock{}
	gateway.self = coltsfootlink.Instance{
		// The name is the peer address, because the settings list seeds only by their addresses.
		Name:        coltsfootlink.InstanceName(gateway.Settings.Listen.Peers),
		Zone:        coltsfootlink.ZoneName(gateway.Settings.Zone),
		PeerAddress: gateway.Settings.Listen.Peers,
		Incarnation: uint64(gateway.clock.Now().UnixNano()),
		Capacity:    int(gateway.Settings.ProcessorShare * gateway.Settings.Cores * milliCores),
	}
	gateway.mailboxes = mailboxes{
		admission:  mailbox.NewCounted("admission"),
		catalog:    mailbox.NewCounted("catalog"),
		collector:  mailbox.NewCounted("collector"),
		crashLog:   mailbox.NewCounted("crash-log"),
		dispatch:   mailbox.NewCounted("dispatch"),
		gate:       mailbox.NewCounted("gate"),
		connPool:   mailbox.NewCounted("keeper"),
		discovery:  mailbox.NewCounted("discovery"),
		links:      mailbox.NewCounted("links"),
		membership: mailbox.NewCounted("membership"),
		moves:      mailbox.NewCounted("moves"),
		prober:     mailbox.NewCounted("prober"),
		quarantine: mailbox.NewCounted("quarantine"),
		relay:      mailbox.NewCounted("relay"),
		shares:     mailbox.NewCounted("share"),
		timeline:   mailbox.NewCounted("timeline"),
	}
	if gateway.hasDuties() {
		gateway.mailboxes.duties = mailbox.NewCounted("duties")
	}
	gateway.hybrid = &timeline.HybridClock{Clock: gateway.clock}
	gateway.recorder = timeline.Recorder{Stamper: gateway.hybrid, Inbox: gateway.mailboxes.timeline}
	gateway.router = &peer.Router{
		Self:       gateway.self.Name,
		Links:      mailbox.New[peer.Outgoing](),
		Membership: gateway.mailboxes.membership,
		Admission:  gateway.mailboxes.admission,
		Dispatch:   gateway.mailboxes.dispatch,
		Shares:     gateway.mailboxes.shares,
		Gate:       gateway.mailboxes.gate,
		Moves:      gateway.mailboxes.moves,
		Catalog:    gateway.mailboxes.catalog,
		Quarantine: gateway.mailboxes.quarantine,
		Duties:     gateway.mailboxes.duties,
	}
	gateway.store = platform.NewStore("http://" + gateway.Settings.Store.Address)
	gateway.store.Log = gateway.Log
	gateway.gate = &ingress.Gate{Inbox: gateway.mailboxes.gate, Clock: gateway.clock, Log: gateway.Log}
	gateway.probe = &web.Probe{Address: gateway.Settings.Listen.Callers, Clock: gateway.clock, Inbox: mailbox.NewDeliveries()}
	gateway.prepareRelay()
	ending, endRequests := context.WithCancel(context.Background())
	gateway.endRequests = endRequests
	gateway.service = &ingress.Service{
		Ending:       ending,
		WouldForward: gateway.relay.ShouldForward,
		Gate:         gateway.gate,
		Client:       &upstream.Client{Clock: gateway.clock, ConnPool: gateway.mailboxes.connPool},
		Clock:        gateway.clock,
		Dispatch:     gateway.mailboxes.dispatch,
		Quarantine:   gateway.mailboxes.quarantine,
		Log:          gateway.Log,

		Connections:    new(atomic.Int64),
		MaxConnections: int64(gateway.Settings.MemoryMB * connectionsPerMB),
		MaxActive:      int64(gateway.Settings.MemoryMB * requestsPerMB),
		MaxWaiting:     gateway.maxWaiting(),
		Memory:         memory.NewBudget(gateway.memoryBudget()),
		LongAnswers:    rate.NewLimiter(rate.Limit(gateway.cores()*longAnswerBytesPerCore), longAnswerBurstBytes),
	}
}

// memoryBudget returns the bytes that large bodies of requests, answers and events may take together.
func (gateway *Gateway) memoryBudget() int64 {
	return int64(gateway.Settings.MemoryMB * memoryBudgetFraction * bytesPerMB)
}

// cores returns the instance's share of the processor, in cores.
func (gateway *Gateway) cores() float64 {
	return gateway.Settings.ProcessorShare * gateway.Settings.Cores
}

// logLimits logs the instance's size and the limits derived from it. If no CPU size is set, one whole core is assumed.
func (gateway *Gateway) logLimits() {
	gateway.Log.Info().
		Float64("memory-mb", gateway.Settings.MemoryMB).Float64("processor-share", gateway.Settings.ProcessorShare).Float64("cores", gateway.Settings.Cores).
		Int64("connections", gateway.service.MaxConnections).Int64("requests", gateway.service.MaxActive).Int64("waiting", gateway.service.MaxWaiting).
		Int64("large-bodies-bytes", gateway.memoryBudget()).
		Msg("gateway: limits derived from the memory and CPU size")
}

// maxWaiting returns the maximum number of requests that wait for a target at a time. It is also the maximum number of
// connections that wait to be accepted by another instance.
func (gateway *Gateway) maxWaiting() int64 {
	return int64(math.Ceil(gateway.cores() * waitingPerCore))
}

func (gateway *Gateway) server(part, address string, handler http.Handler) *web.Server {
	return &web.Server{Part: part, Address: address, ShutdownTimeout: shutdownTimeout, Handler: handler, Log: gateway.Log}
}
