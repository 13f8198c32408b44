// Package gateway builds the supervisor tree of a daemon on the users' platform.
package gateway

import (
	"context"
	"math"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials/insecure"

	"coltsfootlink"
	"coltsfootlink/admission"
	"coltsfootlink/catalog"
	"coltsfootlink/dispatch"
	"coltsfootlink/engine"
	"coltsfootlink/ingress"
	"coltsfootlink/mailbox"
	"coltsfootlink/membership"
	"coltsfootlink/metrics"
	"coltsfootlink/move"
	"coltsfootlink/operator"
	"coltsfootlink/peer"
	"coltsfootlink/platform"
	"coltsfootlink/pressure"
	"coltsfootlink/relay"
	"coltsfootlink/settings"
	"coltsfootlink/share"
	"coltsfootlink/supervisor"
	"coltsfootlink/timeline"
	"coltsfootlink/upstream"
	"coltsfootlink/web"
)

const (
	// calmGarbagePercent and behindGarbagePercent are the growth of the heap after which garbage is collected.
	calmGarbagePercent   = 30
	behindGarbagePercent = 100
	// lookPause is the time between two looks at what a leaving instance has to finish, and quietLooks how many in a
	// row must find nothing.
	lookPause  = 100 * time.Millisecond
	quietLooks = 3
	// memoryShare is the part of the memory that the process may use before garbage is collected at any cost.
	memoryShare = 0.6
	// bytesPerMB is the number of bytes of a megabyte.
	bytesPerMB = 1 << 20
	// openPerMB and activePerMB bound callers' connections and requests by the memory of the machine.
	openPerMB   = 8
	activePerMB = 4
	// choosingPerCore bounds the requests that wait for a target by the processor of the machine.
	choosingPerCore = 200
	// stopMargin is how much earlier than it has to a process ends.
	stopMargin = 800 * time.Millisecond
	// closeLimit is how long the servers wait for the last answers to be written.
	closeLimit = 300 * time.Millisecond
	// timelineEvents is the number of events that an instance keeps.
	timelineEvents = 512
	// retryPart is the part of the fleet's retry budget that is used.
	retryPart = 0.75
)

// Gateway is one daemon on the users' platform.
type Gateway struct {
	// File holds the settings.
	File     string
	Settings settings.Gateway
	Log      zerolog.Logger

	self     coltsfootlink.Instance
	clock    coltsfootlink.Clock
	boxes    boxes
	router   *peer.Router
	store    *platform.Store
	hybrid   *timeline.Hybrid
	recorder timeline.Recorder
	gate     *ingress.Gate
	service  *ingress.Service
	relay    *relay.Task
	// probe measures how long callers' connections wait to be accepted.
	probe *web.Probe
}

// boxes are the mailboxes of the tasks.
type boxes struct {
	admission, catalog, collector, dispatch, gate, keeper, links, membership, moves, prober, relay, shares, timeline *mailbox.Deliveries
}

// Run runs the daemon until the context ends, and then stops it without cutting a request.
func (gateway *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(gateway.Settings.MemoryMB * memoryShare * bytesPerMB))
	gateway.prepare()
	gateway.Log.Info().Str("zone", gateway.Settings.Zone).Str("address", gateway.self.PeerAddress).Msg("gateway: starts")
	gateway.noteBounds()
	// The tree outlives the context: the requests are finished first.
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
	callers.IdleTimeout = gateway.Settings.Timing.IdleLimit.Duration
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

// leave tells the balancer and the peers, and takes requests until the balancer has caught up. After that it takes
// only what is over before the end and refuses the rest at once, for the balancer sends to leaving instances too
// where most of a zone's leave. It returns when the requests are finished, or the time is over.
func (gateway *Gateway) leave() {
	now := gateway.clock.Now()
	timing := gateway.Settings.Timing
	endsAt := now.Add(time.Duration(timing.StopSeconds*float64(time.Second)) - stopMargin)
	gateway.Log.Info().Int("requests", gateway.service.Admitted()).Time("ends-at", endsAt).Msg("gateway: leaves")
	for _, box := range []*mailbox.Deliveries{gateway.boxes.gate, gateway.boxes.membership} {
		box.Put(coltsfootlink.Delivery{Message: coltsfootlink.Leave{}})
	}
	time.Sleep(timing.DrainDelay.Duration)
	gateway.Log.Info().Int("requests", gateway.service.Admitted()).Msg("gateway: takes only what is over before the end")
	gateway.boxes.gate.Put(coltsfootlink.Delivery{Message: ingress.Close{EndsAt: endsAt}})
	for quiet := 0; quiet < quietLooks && gateway.clock.Now().Before(endsAt); {
		time.Sleep(lookPause)
		quiet++
		if gateway.service.Admitted() > 0 || gateway.relay.Open() > 0 {
			quiet = 0
		}
	}
	gateway.Log.Info().Int("requests", gateway.service.Admitted()).Msg("gateway: ends")
}

func (gateway *Gateway) prepare() {
	gateway.clock = coltsfootlink.SystemClock{}
	gateway.self = coltsfootlink.Instance{
		// The address names the instance, for seeds are known by their addresses alone.
		Name:        coltsfootlink.InstanceName(gateway.Settings.Listen.Peers),
		Zone:        coltsfootlink.ZoneName(gateway.Settings.Zone),
		PeerAddress: gateway.Settings.Listen.Peers,
		Incarnation: uint64(gateway.clock.Now().UnixNano()),
	}
	gateway.boxes = boxes{
		admission:  mailbox.NewDeliveries(),
		catalog:    mailbox.NewDeliveries(),
		collector:  mailbox.NewDeliveries(),
		dispatch:   mailbox.NewDeliveries(),
		gate:       mailbox.NewDeliveries(),
		keeper:     mailbox.NewDeliveries(),
		links:      mailbox.NewDeliveries(),
		membership: mailbox.NewDeliveries(),
		moves:      mailbox.NewDeliveries(),
		prober:     mailbox.NewDeliveries(),
		relay:      mailbox.NewDeliveries(),
		shares:     mailbox.NewDeliveries(),
		timeline:   mailbox.NewDeliveries(),
	}
	gateway.hybrid = &timeline.Hybrid{Clock: gateway.clock}
	gateway.recorder = timeline.Recorder{Stamper: gateway.hybrid, Inbox: gateway.boxes.timeline}
	gateway.router = &peer.Router{
		Self:       gateway.self.Name,
		Links:      mailbox.New[peer.Outgoing](),
		Membership: gateway.boxes.membership,
		Admission:  gateway.boxes.admission,
		Dispatch:   gateway.boxes.dispatch,
		Shares:     gateway.boxes.shares,
		Gate:       gateway.boxes.gate,
		Moves:      gateway.boxes.moves,
		Catalog:    gateway.boxes.catalog,
	}
	gateway.store = platform.NewStore("http://" + gateway.Settings.Store.Address)
	gateway.gate = &ingress.Gate{Inbox: gateway.boxes.gate, Clock: gateway.clock, Log: gateway.Log}
	gateway.probe = &web.Probe{Address: gateway.Settings.Listen.Callers, Clock: gateway.clock, Inbox: mailbox.NewDeliveries()}
	gateway.prepareRelay()
	gateway.service = &ingress.Service{
		WouldForward: gateway.relay.ShouldForward,
		Gate:         gateway.gate,
		Client:       &upstream.Client{Clock: gateway.clock, ConnPool: gateway.boxes.keeper},
		Clock:        gateway.clock,
		Dispatch:     gateway.boxes.dispatch,
		Log:          gateway.Log,

		Connections:    new(atomic.Int64),
		MaxConnections: int64(gateway.Settings.MemoryMB * openPerMB),
		MaxActive:      int64(gateway.Settings.MemoryMB * activePerMB),
		MaxWaiting:     gateway.mostChoosing(),
	}
}

// noteBounds logs what follows from the machine's size; a size that is not set counts as one whole core.
func (gateway *Gateway) noteBounds() {
	gateway.Log.Info().
		Float64("memory-mb", gateway.Settings.MemoryMB).Float64("processor-share", gateway.Settings.ProcessorShare).Float64("cores", gateway.Settings.Cores).
		Int64("connections", gateway.service.MaxConnections).Int64("requests", gateway.service.MaxActive).Int64("waiting", gateway.service.MaxWaiting).
		Msg("gateway: bounds")
}

// mostChoosing is the most requests that wait for a target, and connections for another instance, at a time.
func (gateway *Gateway) mostChoosing() int64 {
	return int64(math.Ceil(gateway.Settings.ProcessorShare * gateway.Settings.Cores * choosingPerCore))
}

func (gateway *Gateway) addPeers(branch *supervisor.Branch) {
	branch.Add("server", &peer.Server{
		Address: gateway.Settings.Listen.Peers,
		Secure:  insecure.NewCredentials(),
		Stamper: gateway.hybrid,
		Router:  gateway.router,
		Answerer: &operator.Answerer{Tasks: map[coltsfootlink.Subject]*mailbox.Deliveries{
			coltsfootlink.TargetsSubject:   gateway.boxes.admission,
			coltsfootlink.InstancesSubject: gateway.boxes.membership,
			coltsfootlink.TimelineSubject:  gateway.boxes.timeline,
		}},
		Log: gateway.Log,
	})
	branch.Add("links", &peer.Links{
		Self:    gateway.self.Name,
		Secure:  insecure.NewCredentials(),
		Stamper: gateway.hybrid,
		Log:     gateway.Log,
		Branch:  branch.Branch("link"),
		Outbox:  gateway.router.Links,
		Inbox:   gateway.boxes.links,
		Owner:   gateway.boxes.admission,
	})
	timing := gateway.Settings.Timing
	branch.Add("membership", &membership.Task{
		Self:              gateway.self,
		Seeds:             seedsOf(gateway.Settings),
		Interval:          timing.HeartbeatInterval.Duration,
		UnresponsiveAfter: timing.SilenceLimit.Duration,
		Fanout:            timing.HeartbeatFanout,
		Clock:             gateway.clock,
		Sender:            gateway.router,
		Recorder:          gateway.recorder,
		Inbox:             gateway.boxes.membership,
		Subscribers: []*mailbox.Deliveries{
			gateway.boxes.links, gateway.boxes.catalog, gateway.boxes.admission, gateway.boxes.dispatch, gateway.boxes.shares,
			gateway.boxes.keeper, gateway.boxes.moves, gateway.boxes.relay,
		},
	})
	branch.Add("timeline", &timeline.Task{
		Self:   gateway.self.Name,
		Events: timelineEvents,
		Log:    gateway.Log,
		Inbox:  gateway.boxes.timeline,
	})
}

func (gateway *Gateway) addRoles(branch *supervisor.Branch) {
	branch.Add("catalog", &catalog.Task{
		Self:    gateway.self,
		Source:  platform.Catalog{Store: gateway.store},
		Decoder: platform.Decoder{},
		Clock:   gateway.clock,
		Sender:  gateway.router,
		Log:     gateway.Log,
		Branch:  branch.Branch("reader"),
		Inbox:   gateway.boxes.catalog,
		Subscribers: []*mailbox.Deliveries{
			gateway.boxes.admission, gateway.boxes.dispatch, gateway.boxes.gate, gateway.boxes.keeper,
			gateway.boxes.moves, gateway.boxes.shares,
		},
	})
	branch.Add("admission", &admission.Task{
		Self:   gateway.self.Name,
		Policy: policyOf(gateway.Settings),
		Clock:  gateway.clock,
		Sender: gateway.router,
		Log:    gateway.Log,
		Inbox:  gateway.boxes.admission,
		Prober: gateway.boxes.prober,
	})
	branch.Add("prober", &admission.Prober{
		Reporter: platform.NewEngineReporter(),
		Log:      gateway.Log,
		Inbox:    gateway.boxes.prober,
		Owner:    gateway.boxes.admission,
	})
	branch.Add("dispatch", &dispatch.Task{
		Self:       gateway.self,
		Clock:      gateway.clock,
		Sender:     gateway.router,
		Log:        gateway.Log,
		Inbox:      gateway.boxes.dispatch,
		RetryShare: gateway.Settings.Retry.Share * retryPart,
		RetrySlack: gateway.Settings.Retry.Slack * retryPart,
	})
	branch.Add("share", &share.Task{
		Self:            gateway.self.Name,
		BearableFactor:  gateway.Settings.Admission.BearableFactor,
		MinWaitFraction: gateway.Settings.Admission.BearableShare,
		Clock:           gateway.clock,
		Sender:          gateway.router,
		Log:             gateway.Log,
		Inbox:           gateway.boxes.shares,
	})
	branch.Add("moves", &move.Task{
		Self:    gateway.self.Name,
		Records: platform.MoveRecords{Store: gateway.store},
		Clock:   gateway.clock,
		Sender:  gateway.router,
		Log:     gateway.Log,
		Inbox:   gateway.boxes.moves,
	})
	branch.Add("keeper", &upstream.ConnPool{Clock: gateway.clock, Inbox: gateway.boxes.keeper})
	branch.Add("settings", &reloader{file: gateway.File, current: gateway.Settings, membership: gateway.boxes.membership, log: gateway.Log})
}

func (gateway *Gateway) addReadiness(branch *supervisor.Branch) {
	branch.Add("gate", gateway.gate)
	branch.Add("pressure", &pressure.Task{
		Meters:      []coltsfootlink.CPUWaitMeter{&pressure.Meter{}, gateway.probe},
		Clock:       gateway.clock,
		Log:         gateway.Log,
		Subscribers: []*mailbox.Deliveries{gateway.boxes.gate, gateway.boxes.dispatch, gateway.boxes.collector, gateway.boxes.relay},
	})
	branch.Add("collector", &pressure.GCTuner{NormalPercent: calmGarbagePercent, PressurePercent: behindGarbagePercent, Inbox: gateway.boxes.collector})
	ready := http.NewServeMux()
	ready.Handle(platform.ReadinessPath, gateway.gate)
	branch.Add("server", gateway.server("readiness", gateway.Settings.Listen.Ready, ready))
	figures := http.NewServeMux()
	figures.HandleFunc("/metrics", metrics.Text)
	branch.Add("metrics", gateway.server("metrics", gateway.Settings.Listen.Metrics, figures))
}

func (gateway *Gateway) server(part, address string, handler http.Handler) *web.Server {
	return &web.Server{Part: part, Address: address, ShutdownTimeout: closeLimit, Handler: handler, Log: gateway.Log}
}

// policyOf returns how much the settings let in.
func policyOf(gateway settings.Gateway) admission.Policy {
	return admission.Policy{
		Rates:          engine.Rates(gateway.Engine),
		ObjectiveShare: gateway.Admission.ObjectiveShare,
		LargeShare:     gateway.Admission.LargeShare,
		BearableShare:  gateway.Admission.BearableShare,
		SurplusShare:   gateway.Admission.SurplusShare,
		MemoryShare:    gateway.Admission.MemoryShare,
		ColdOverage:    gateway.Cold.Overage,
		ColdSlack:      gateway.Cold.Slack,
	}
}

// seedsOf returns the instances that the settings name.
func seedsOf(gateway settings.Gateway) []coltsfootlink.Instance {
	var seeds []coltsfootlink.Instance
	for _, address := range gateway.Seeds {
		seeds = append(seeds, coltsfootlink.Instance{Name: coltsfootlink.InstanceName(address), PeerAddress: address})
	}
	return seeds
}
