// Package node assembles the daemon's tasks into a supervisor tree and runs it. The daemon that runs on the users'
// platform is assembled by package gateway instead.
package node

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/claim"
	"coltsfootlink/entry"
	"coltsfootlink/front"
	"coltsfootlink/mailbox"
	"coltsfootlink/membership"
	"coltsfootlink/operator"
	"coltsfootlink/owner"
	"coltsfootlink/ownership"
	"coltsfootlink/peer"
	"coltsfootlink/platform"
	"coltsfootlink/revision"
	"coltsfootlink/settings"
	"coltsfootlink/supervisor"
	"coltsfootlink/target"
	"coltsfootlink/timeline"
	"coltsfootlink/web"
)

// Node is one daemon process.
type Node struct {
	Settings settings.Daemon
	Log      zerolog.Logger

	self      coltsfootlink.Instance
	clock     coltsfootlink.Clock
	mailboxes mailboxes
	router    *peer.Router
	hybrid    *timeline.HybridClock
	recorder  timeline.Recorder
	security  security
	engine    *target.Client
}

// mailboxes holds the inboxes of the tasks.
type mailboxes struct {
	entry, owner, membership, revision, claims, list, links, prober, gate, members, timeline *mailbox.Deliveries
}

// Run runs the daemon until the context ends, and then shuts it down gracefully: requests in progress are finished first.
func (node *Node) Run(ctx context.Context) error {
	if err := node.prepare(); err != nil {
		return err
	}
	// The tasks must outlive ctx, because requests in progress need them during the graceful shutdown.
	treeContext, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	frontContext, stopFront := context.WithCancel(treeContext)
	defer stopFront()
	root := supervisor.New("coltsfootd", node.Log)
	node.addPlatform(root.Branch("platform"))
	node.addPeers(root.Branch("peer"))
	node.addRoles(root.Branch("roles"))
	node.addOperators(root.Branch("operator"))
	done := make(chan error, 1)
	go func() { done <- root.Run(treeContext) }()
	frontTree := supervisor.New("coltsfootd/front", node.Log)
	node.addFront(frontTree)
	frontDone := make(chan error, 1)
	go func() { frontDone <- frontTree.Run(frontContext) }()
	select {
	case <-ctx.Done():
	case err := <-done:
		return err
	}
	node.leave()
	stopFront()
	<-frontDone
	stopTree()
	return <-done
}

// leave prepares the shutdown. It announces it to the load balancer and the other instances, and waits for DrainDelay,
// until the balancer has caught up.
func (node *Node) leave() {
	node.Log.Info().Msg("node: shutdown started, accepting requests until the load balancer has caught up")
	for _, inbox := range []*mailbox.Deliveries{node.mailboxes.gate, node.mailboxes.membership} {
		inbox.Put(coltsfootlink.Delivery{Message: coltsfootlink.Leave{}})
	}
	time.Sleep(node.Settings.Timing.DrainDelay.Duration)
}

func (node *Node) prepare() error {
	node.clock = coltsfootlink.SystemClock{}
	node.self = coltsfootlink.Instance{
		Name:        coltsfootlink.InstanceName(node.Settings.Instance),
		Zone:        coltsfootlink.ZoneName(node.Settings.Zone),
		PeerAddress: cmp.Or(node.Settings.Peers.Advertise, node.Settings.Peers.Address),
		Incarnation: uint64(node.clock.Now().UnixNano()),
	}
	node.mailboxes = mailboxes{
		entry:      mailbox.NewDeliveries(),
		owner:      mailbox.NewDeliveries(),
		membership: mailbox.NewDeliveries(),
		revision:   mailbox.NewDeliveries(),
		claims:     mailbox.NewDeliveries(),
		list:       mailbox.NewDeliveries(),
		links:      mailbox.NewDeliveries(),
		prober:     mailbox.NewDeliveries(),
		gate:       mailbox.NewDeliveries(),
		members:    mailbox.NewDeliveries(),
		timeline:   mailbox.NewDeliveries(),
	}
	node.hybrid = &timeline.HybridClock{Clock: node.clock}
	node.recorder = timeline.Recorder{Stamper: node.hybrid, Inbox: node.mailboxes.timeline}
	node.engine = target.NewClient(node.clock)
	node.router = &peer.Router{
		Self:       node.self.Name,
		Links:      mailbox.New[peer.Outgoing](),
		Entry:      node.mailboxes.entry,
		Owner:      node.mailboxes.owner,
		Membership: node.mailboxes.membership,
		Revision:   node.mailboxes.revision,
		Claims:     node.mailboxes.claims,
		List:       node.mailboxes.list,
	}
	security, err := newSecurity(node.Settings.Peers)
	node.security = security
	return err
}

func (node *Node) addPlatform(branch *supervisor.Branch) {
	store := platform.NewStore(node.Settings.Platform.Address)
	store.Log = node.Log
	client := platform.Log{Store: store}
	branch.Add("watch", &platform.ListWatcher{
		Self:        node.self.Name,
		Sender:      node.router,
		Inbox:       node.mailboxes.list,
		List:        platform.List{Store: store},
		Interval:    node.Settings.Timing.ListInterval.Duration,
		Log:         node.Log,
		Subscribers: []*mailbox.Deliveries{node.mailboxes.membership, node.mailboxes.entry, node.mailboxes.owner},
	})
	branch.Add("tail", &platform.Tail{
		Log:    client,
		Stream: coltsfootlink.ConfigurationStream,
		Clock:  node.clock,
		Logger: node.Log,
		Inbox:  node.mailboxes.revision,
	})
	branch.Add("claims", &claim.Task{
		Self:     node.self.Name,
		Log:      client,
		Clock:    node.clock,
		Sender:   node.router,
		Recorder: node.recorder,
		Logger:   node.Log,
		Owner:    ownership.PartitionOwner,
		Era:      store.Era,
		Branch:   branch.Branch("claim"),
		Inbox:    node.mailboxes.claims,
	})
	branch.Add("revision", &revision.Task{
		Self:        node.self.Name,
		Log:         client,
		Clock:       node.clock,
		Sender:      node.router,
		Recorder:    node.recorder,
		Logger:      node.Log,
		Inbox:       node.mailboxes.revision,
		Subscribers: []*mailbox.Deliveries{node.mailboxes.membership, node.mailboxes.entry, node.mailboxes.owner, node.mailboxes.gate},
	})
}

func (node *Node) addPeers(branch *supervisor.Branch) {
	branch.Add("server", &peer.Server{
		Address:  node.Settings.Peers.Address,
		Token:    node.Settings.Peers.Token,
		Secure:   node.security.server,
		Stamper:  node.hybrid,
		Router:   node.router,
		Answerer: node.answerer(),
		Log:      node.Log,
	})
	branch.Add("links", &peer.Links{
		Self:    node.self.Name,
		Token:   node.Settings.Peers.Token,
		Secure:  node.security.client,
		Stamper: node.hybrid,
		Log:     node.Log,
		Branch:  branch.Branch("link"),
		Outbox:  node.router.Links,
		Inbox:   node.mailboxes.links,
		Owner:   node.mailboxes.owner,
	})
	timing := node.Settings.Timing
	branch.Add("membership", &membership.Task{
		Self:              node.self,
		Seeds:             node.seeds(),
		Interval:          timing.HeartbeatInterval.Duration,
		UnresponsiveAfter: timing.HeartbeatTimeout.Duration,
		Fanout:            timing.HeartbeatFanout,
		Clock:             node.clock,
		Sender:            node.router,
		Recorder:          node.recorder,
		Inbox:             node.mailboxes.membership,
		Links:             node.mailboxes.links,
		Subscribers:       []*mailbox.Deliveries{node.mailboxes.entry, node.mailboxes.owner, node.mailboxes.claims, node.mailboxes.list, node.mailboxes.members},
	})
}

func (node *Node) addRoles(branch *supervisor.Branch) {
	rules := rulesFor(node.Settings.Policy, node.self)
	branch.Add("owner", &owner.Task{
		Self:            node.self.Name,
		Rules:           rules,
		CounterInterval: node.Settings.Timing.CounterInterval.Duration,
		Clock:           node.clock,
		Sender:          node.router,
		Recorder:        node.recorder,
		Inbox:           node.mailboxes.owner,
		Coordinator:     ownership.MoveCoordinator,
		Revision:        node.mailboxes.revision,
		Probes:          node.mailboxes.prober,
	})
	branch.Add("prober", &owner.Prober{
		Engine:   node.engine,
		Clock:    node.clock,
		Interval: node.Settings.Timing.ProbeInterval.Duration,
		Inbox:    node.mailboxes.prober,
		Owner:    node.mailboxes.owner,
	})
	branch.Add("entry", &entry.Task{
		Self:      node.self.Name,
		Clock:     node.clock,
		Placement: rules.Placement,
		Sender:    node.router,
		Recorder:  node.recorder,
		Inbox:     node.mailboxes.entry,
	})
	branch.Add("timeline", &timeline.Task{
		Self:      node.self.Name,
		MaxEvents: node.Settings.Timing.TimelineEvents,
		Log:       node.Log,
		Inbox:     node.mailboxes.timeline,
	})
}

func (node *Node) addOperators(branch *supervisor.Branch) {
	members := &operator.Members{Inbox: node.mailboxes.members}
	branch.Add("members", members)
	service := &operator.Service{
		Self:     node.self.Name,
		Token:    node.Settings.Operators.Token,
		Clock:    node.clock,
		Local:    node.answerer(),
		Asker:    peer.Asker{Self: node.self.Name, Token: node.Settings.Peers.Token, Secure: node.security.client},
		Revision: node.mailboxes.revision,
		Viewer:   members,
	}
	branch.Add("server", node.server("operator", node.Settings.Operators, operator.Handler(service, node.Log)))
}

// server returns the HTTP server for one kind of client.
func (node *Node) server(part string, listener settings.Listener, handler http.Handler) *web.Server {
	return &web.Server{
		Part:            part,
		Address:         listener.Address,
		Certificate:     listener.Certificate,
		Key:             listener.Key,
		ShutdownTimeout: node.Settings.Timing.ShutdownTimeout.Duration,
		Handler:         handler,
		Log:             node.Log,
	}
}

func (node *Node) addFront(branch *supervisor.Branch) {
	gate := &front.Gate{Inbox: node.mailboxes.gate}
	branch.Add("gate", gate)
	service := &front.Service{
		Gate:           gate,
		Engine:         node.engine,
		Clock:          node.clock,
		RequestTimeout: node.Settings.Timing.RequestTimeout.Duration,
		Entry:          node.mailboxes.entry,
		Claims:         node.mailboxes.claims,
	}
	branch.Add("server", node.server("front", node.Settings.Callers, front.Handler(service, node.Log)))
}

func (node *Node) answerer() *operator.Answerer {
	return &operator.Answerer{Tasks: map[coltsfootlink.Subject]*mailbox.Deliveries{
		coltsfootlink.WaitingSubject:   node.mailboxes.entry,
		coltsfootlink.ServedSubject:    node.mailboxes.entry,
		coltsfootlink.TargetsSubject:   node.mailboxes.owner,
		coltsfootlink.InstancesSubject: node.mailboxes.membership,
		coltsfootlink.RevisionSubject:  node.mailboxes.revision,
		coltsfootlink.ZonesSubject:     node.mailboxes.revision,
		coltsfootlink.MovesSubject:     node.mailboxes.revision,
		coltsfootlink.TimelineSubject:  node.mailboxes.timeline,
	}}
}

func (node *Node) seeds() []coltsfootlink.Instance {
	var seeds []coltsfootlink.Instance
	for _, seed := range node.Settings.Seeds {
		seeds = append(seeds, coltsfootlink.Instance{
			Name:        coltsfootlink.InstanceName(seed.Instance),
			Zone:        coltsfootlink.ZoneName(seed.Zone),
			PeerAddress: seed.Address,
		})
	}
	return seeds
}
