package gateway

import (
	"net/http"
	"net/http/pprof"
	"slices"

	"google.golang.org/grpc/credentials/insecure"

	"coltsfootlink"
	"coltsfootlink/admission"
	"coltsfootlink/catalog"
	"coltsfootlink/crashlog"
	"coltsfootlink/discovery"
	"coltsfootlink/dispatch"
	"coltsfootlink/engine"
	"coltsfootlink/mailbox"
	"coltsfootlink/membership"
	"coltsfootlink/metrics"
	"coltsfootlink/move"
	"coltsfootlink/operator"
	"coltsfootlink/peer"
	"coltsfootlink/platform"
	"coltsfootlink/pressure"
	"coltsfootlink/quarantine"
	"coltsfootlink/settings"
	"coltsfootlink/share"
	"coltsfootlink/supervisor"
	"coltsfootlink/timeline"
	"coltsfootlink/upstream"
)

func (gateway *Gateway) addPeers(branch *supervisor.Branch) {
	subjects := map[coltsfootlink.Subject]*mailbox.Deliveries{
		coltsfootlink.TargetsSubject:   gateway.mailboxes.admission,
		coltsfootlink.InstancesSubject: gateway.mailboxes.membership,
		coltsfootlink.TimelineSubject:  gateway.mailboxes.timeline,
		coltsfootlink.BarsSubject:      gateway.mailboxes.quarantine,

		coltsfootlink.ExplainSubject:        gateway.mailboxes.dispatch,
		coltsfootlink.ExplainTargetsSubject: gateway.mailboxes.admission,
	}
	subscribers := []*mailbox.Deliveries{
		gateway.mailboxes.catalog, gateway.mailboxes.admission, gateway.mailboxes.dispatch, gateway.mailboxes.shares,
		gateway.mailboxes.connPool, gateway.mailboxes.moves, gateway.mailboxes.relay, gateway.mailboxes.quarantine,
		gateway.mailboxes.crashLog,
	}
	if gateway.hasOtherSeeds() {
		subscribers = append(subscribers, gateway.mailboxes.discovery)
		branch.Add("discovery", gateway.discoveryTask())
	}
	if gateway.hasDuties() {
		subjects[coltsfootlink.DutiesSubject] = gateway.mailboxes.duties
		subscribers = append(subscribers, gateway.mailboxes.duties)
	}
	branch.Add("server", &peer.Server{
		Address:  gateway.Settings.Listen.Peers,
		Secure:   insecure.NewCredentials(),
		Stamper:  gateway.hybrid,
		Router:   gateway.router,
		Answerer: &operator.Answerer{Tasks: subjects},
		Log:      gateway.Log,
	})
	branch.Add("links", &peer.Links{
		Self:    gateway.self.Name,
		Secure:  insecure.NewCredentials(),
		Stamper: gateway.hybrid,
		Log:     gateway.Log,
		Branch:  branch.Branch("link"),
		Outbox:  gateway.router.Links,
		Inbox:   gateway.mailboxes.links,
		Owner:   gateway.mailboxes.admission,
	})
	timing := gateway.Settings.Timing
	branch.Add("membership", &membership.Task{
		Self:              gateway.self,
		Seeds:             seedsOf(gateway.Settings),
		Interval:          timing.HeartbeatInterval.Duration,
		UnresponsiveAfter: timing.HeartbeatTimeout.Duration,
		Fanout:            timing.HeartbeatFanout,
		Clock:             gateway.clock,
		Sender:            gateway.router,
		Recorder:          gateway.recorder,
		Inbox:             gateway.mailboxes.membership,
		Links:             gateway.mailboxes.links,
		Subscribers:       subscribers,
	})
	branch.Add("timeline", &timeline.Task{
		Self:      gateway.self.Name,
		MaxEvents: timelineEvents,
		Log:       gateway.Log,
		Inbox:     gateway.mailboxes.timeline,
	})
}

func (gateway *Gateway) addRoles(branch *supervisor.Branch) {
	catalogSubscribers := []*mailbox.Deliveries{
		gateway.mailboxes.admission, gateway.mailboxes.dispatch, gateway.mailboxes.gate, gateway.mailboxes.connPool,
		gateway.mailboxes.moves, gateway.mailboxes.shares,
	}
	if gateway.hasDuties() {
		catalogSubscribers = append(catalogSubscribers, gateway.mailboxes.duties)
		branch.Add("duties", gateway.dutyTask())
	}
	branch.Add("catalog", &catalog.Task{
		Self:        gateway.self,
		Source:      platform.Catalog{Store: gateway.store},
		Decoder:     platform.Decoder{},
		Clock:       gateway.clock,
		Sender:      gateway.router,
		Log:         gateway.Log,
		Branch:      branch.Branch("reader"),
		Inbox:       gateway.mailboxes.catalog,
		Subscribers: catalogSubscribers,
	})
	branch.Add("admission", &admission.Task{
		Self:   gateway.self.Name,
		Policy: policyOf(gateway.Settings),
		Clock:  gateway.clock,
		Sender: gateway.router,
		Log:    gateway.Log,
		Inbox:  gateway.mailboxes.admission,
		Prober: gateway.mailboxes.prober,
		Duties: gateway.dutiesFor(settings.Scaling),
	})
	branch.Add("prober", &admission.Prober{
		Reporter: platform.NewEngineReporter(),
		Log:      gateway.Log,
		Inbox:    gateway.mailboxes.prober,
		Owner:    gateway.mailboxes.admission,
	})
	branch.Add("dispatch", &dispatch.Task{
		Self:       gateway.self,
		Clock:      gateway.clock,
		Sender:     gateway.router,
		Log:        gateway.Log,
		Inbox:      gateway.mailboxes.dispatch,
		RetryShare: gateway.Settings.Retry.Share * retryBudgetFraction,
		RetrySlack: gateway.Settings.Retry.Slack * retryBudgetFraction,
		Duties:     gateway.dutiesFor(settings.UsageReporting),
		CrashLog:   gateway.mailboxes.crashLog,
		Rates:      engine.Rates(gateway.Settings.Engine),
	})
	branch.Add("share", &share.Task{
		Self:            gateway.self.Name,
		BearableFactor:  gateway.Settings.Admission.BearableFactor,
		MinWaitFraction: gateway.Settings.Admission.BearableShare,
		Clock:           gateway.clock,
		Sender:          gateway.router,
		Log:             gateway.Log,
		Inbox:           gateway.mailboxes.shares,
	})
	branch.Add("quarantine", &quarantine.Task{
		Self:        gateway.self.Name,
		Clock:       gateway.clock,
		Sender:      gateway.router,
		Log:         gateway.Log,
		Inbox:       gateway.mailboxes.quarantine,
		CrashLog:    gateway.mailboxes.crashLog,
		Subscribers: []*mailbox.Deliveries{gateway.mailboxes.gate, gateway.mailboxes.dispatch},
	})
	branch.Add("crash-log", &crashlog.Task{
		Self:        gateway.self.Name,
		Store:       platform.CrashRecords{Store: gateway.store},
		Clock:       gateway.clock,
		Log:         gateway.Log,
		Inbox:       gateway.mailboxes.crashLog,
		Subscribers: []*mailbox.Deliveries{gateway.mailboxes.quarantine, gateway.mailboxes.dispatch},
	})
	branch.Add("moves", &move.Task{
		Self:    gateway.self.Name,
		Records: platform.MoveRecords{Store: gateway.store},
		Clock:   gateway.clock,
		Sender:  gateway.router,
		Log:     gateway.Log,
		Inbox:   gateway.mailboxes.moves,
	})
	branch.Add("keeper", &upstream.ConnPool{Clock: gateway.clock, Inbox: gateway.mailboxes.connPool})
	branch.Add("settings", &reloader{file: gateway.File, current: gateway.Settings, membership: gateway.mailboxes.membership, log: gateway.Log})
}

func (gateway *Gateway) addReadiness(branch *supervisor.Branch) {
	branch.Add("gate", gateway.gate)
	branch.Add("pressure", &pressure.Task{
		Meters:      []coltsfootlink.CPUWaitMeter{&pressure.Meter{}, gateway.probe},
		Clock:       gateway.clock,
		Log:         gateway.Log,
		Subscribers: []*mailbox.Deliveries{gateway.mailboxes.gate, gateway.mailboxes.dispatch, gateway.mailboxes.collector, gateway.mailboxes.relay},
	})
	branch.Add("collector", &pressure.GCTuner{NormalPercent: normalGCPercent, PressurePercent: pressureGCPercent, Inbox: gateway.mailboxes.collector})
	readinessMux := http.NewServeMux()
	readinessMux.Handle(platform.ReadinessPath, gateway.gate)
	branch.Add("server", gateway.server("readiness", gateway.Settings.Listen.Ready, readinessMux))
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("/metrics", metrics.Text)
	if gateway.Settings.Profiling {
		metricsMux.HandleFunc("/debug/pprof/", pprof.Index)
		metricsMux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	branch.Add("metrics", gateway.server("metrics", gateway.Settings.Listen.Metrics, metricsMux))
}

// policyOf returns the admission policy that the settings define.
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
		Pace:           gateway.Admission.Pace,
		BasicEstimate:  !gateway.Admission.Speed,
	}
}

// hasOtherSeeds reports whether the settings name other instances. Without any, the instance is the whole fleet.
func (gateway *Gateway) hasOtherSeeds() bool {
	return slices.ContainsFunc(seedsOf(gateway.Settings), func(seed coltsfootlink.Instance) bool { return seed.Name != gateway.self.Name })
}

func (gateway *Gateway) discoveryTask() *discovery.Task {
	return &discovery.Task{
		Self:       gateway.self,
		Directory:  platform.InstanceDirectory{Store: gateway.store},
		Clock:      gateway.clock,
		Log:        gateway.Log,
		Inbox:      gateway.mailboxes.discovery,
		Membership: gateway.mailboxes.membership,
	}
}

// seedsOf returns the seeds in the settings: the instances that membership contacts first.
func seedsOf(gateway settings.Gateway) []coltsfootlink.Instance {
	var seeds []coltsfootlink.Instance
	for _, address := range gateway.Seeds {
		seeds = append(seeds, coltsfootlink.Instance{Name: coltsfootlink.InstanceName(address), PeerAddress: address})
	}
	return seeds
}
