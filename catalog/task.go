package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/supervisor"
)

const (
	// tickInterval is the interval at which the task checks whether this instance has to read the platform.
	tickInterval = 200 * time.Millisecond
	// keepaliveInterval is the interval at which a reader sends updates to its zone even if nothing has changed.
	keepaliveInterval = 500 * time.Millisecond
	// resyncInterval is the minimum time between two requests for all records of a reader whose signature differs, and the
	// minimum time since the last change before such a request. While changes go on, the request is sent anyway once the
	// signatures have differed for maxDivergence.
	resyncInterval = 300 * time.Millisecond
	maxDivergence  = time.Second
	// bootstrapInterval is the time between two requests to peers by an instance that has not read the platform yet, and
	// bootstrapPeers how many of them it asks.
	bootstrapInterval = 500 * time.Millisecond
	bootstrapPeers    = 3
	// bootstrapWait is how long an instance that has started waits for the records of a peer if the store was restored before:
	// if that was just now, the store lists outdated records. Peers are found and reply within two heartbeats and a request.
	bootstrapWait = 1500 * time.Millisecond
	// agreementTime is how long readers of different zones compare their signatures after an era has settled: ten times. At
	// other times they only tell each other of changes.
	agreementTime = 10 * keepaliveInterval
)

// Task keeps the catalog of an instance. Some instances of each zone read the platform and forward the records to the others
// of the zone and to the readers of other zones; the others read only if no updates arrive.
type Task struct {
	Self    coltsfootlink.Instance
	Source  coltsfootlink.CatalogSource
	Decoder coltsfootlink.FactDecoder
	Clock   coltsfootlink.Clock
	Sender  coltsfootlink.Sender
	Log     zerolog.Logger
	// Branch is the part of the supervisor tree that runs the readers.
	Branch      *supervisor.Branch
	Inbox       *mailbox.Deliveries
	Subscribers []*mailbox.Deliveries

	state State
	view  coltsfootlink.View
	// ranking are the instances of the zone that may read the platform, in the order in which they do.
	ranking []coltsfootlink.InstanceName
	// phase is when the waits of this instance's readers end within each period of maxFollowWait; the readers load it.
	phase atomic.Int64
	// stopFuncs stop the readers; nil if the instance does not read.
	stopFuncs []func()
	// loaded are the streams that have been read completely since the task started.
	loaded map[coltsfootlink.CatalogStream]bool
	// lastUpdateAt is when a reader last had the newest records, according to its updates, and heard when each of the zone's
	// readers last sent one.
	lastUpdateAt time.Time
	heard        heardReaders
	// readAt is when this instance last read the platform; zero before.
	readAt time.Time
	// keepaliveAt is when this reader next sends an update to its zone even if nothing has changed.
	keepaliveAt time.Time
	// bootstrapAt is when the instance may next ask a peer for all its records, and bootstrapped the peers that have sent
	// theirs.
	bootstrapAt  time.Time
	bootstrapped map[coltsfootlink.InstanceName]bool
	// awaitUntil is when the instance uses what it has read even if no peer has sent its records, and unpublished indicates
	// that subscribers have not received the newest catalog.
	awaitUntil  time.Time
	unpublished bool
	// agreeUntil is when this reader stops to send all its updates to the readers of other zones.
	agreeUntil time.Time
	// signature is the signature of the catalog. Until resyncAt, a different one in an update does not count as a sign of
	// a lost update.
	signature uint64
	resyncAt  time.Time
	// changedAt is when the catalog last changed. divergedAt is since when the signatures of readers differ; zero if they
	// do not.
	changedAt, divergedAt time.Time
}

// Run keeps the catalog up to date until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.state = NewState(task.Decoder)
	task.loaded = make(map[coltsfootlink.CatalogStream]bool)
	task.bootstrapped = make(map[coltsfootlink.InstanceName]bool)
	task.awaitUntil = task.Clock.Now().Add(bootstrapWait)
	task.heard, task.readAt = nil, time.Time{}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer task.stopReaders()
	for {
		task.updateReading()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task.bootstrap()
			task.publishAwaited()
			task.keepAlive()
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
	}
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case readResult:
		task.handleRead(message)
	case coltsfootlink.News:
		task.handleNews(delivery.From, message)
	case coltsfootlink.NewsRequest:
		task.Sender.Send(delivery.From, task.update(coltsfootlink.News{Records: task.state.Records(), Ends: task.state.Ends()}))
	case coltsfootlink.ViewChanged:
		before := task.view
		task.setView(message.View)
		task.phase.Store(int64(task.followPhase()))
		task.tellJoined(before)
	}
}

// followPhase returns when the waits of this instance's readers end within each period of maxFollowWait. The regular readers
// of all zones divide the period evenly, those of the same zone as far from each other as possible.
func (task *Task) followPhase() time.Duration {
	var zones []coltsfootlink.ZoneName
	for _, member := range task.view.Live() {
		if !slices.Contains(zones, member.Zone) {
			zones = append(zones, member.Zone)
		}
	}
	slices.Sort(zones)
	rank := slices.Index(task.readers(task.Self.Zone), task.Self.Name)
	zone := slices.Index(zones, task.Self.Zone)
	if rank < 0 || zone < 0 {
		return 0
	}
	return maxFollowWait * time.Duration(rank*len(zones)+zone) / time.Duration(readersPerZone*len(zones))
}

// handleNews applies the records that a peer has sent. If these are all of the peer's, keys that the peer knows to be
// removed are removed here, too, unless they may still be written again after a restore of the store. A reader of the zone
// passes on what is new and comes from another zone. A peer that does not know the era has not got the newest records.
func (task *Task) handleNews(from coltsfootlink.InstanceName, news coltsfootlink.News) {
	sender, _ := task.view.Member(from)
	if !news.ReadAt.IsZero() && sender.Zone == task.Self.Zone {
		task.heard = task.heard.With(from, task.Clock.Now())
	}
	if news.ReadAt.After(task.lastUpdateAt) && news.Era >= task.state.Era() {
		task.lastUpdateAt = news.ReadAt
	}
	learned := task.learnEras(news)
	records := news.Records
	for stream, end := range news.Ends {
		if task.state.Confirmed(stream) {
			records = append(slices.Clone(records), task.state.Missing(stream, news.Records, end)...)
		}
	}
	// Removals in the same update come before what they would let be in use.
	changed := newestPerKey(append(task.apply(records), task.settle()...))
	for stream, end := range news.Ends {
		if task.state.Confirmed(stream) {
			task.state = task.state.WithEnd(stream, end)
		}
	}
	if (len(changed) > 0 || learned) && sender.Zone != task.Self.Zone && slices.Contains(task.readers(task.Self.Zone), task.Self.Name) {
		task.sendToZone(task.update(coltsfootlink.News{Records: changed, ReadAt: news.ReadAt}))
	}
	if len(news.Ends) > 0 {
		task.bootstrapped[from] = true
		task.publishAwaited()
	}
	task.checkSignature(from, news)
}

// handleRead applies the records of a read and sends the changes to the peers.
func (task *Task) handleRead(result readResult) {
	now, before := task.Clock.Now(), task.state
	task.readAt = result.readAt
	if result.newest {
		task.state = task.state.WithPosition(now, result.stream, result.end)
	}
	learned := task.noteRestore(before)
	records := result.records
	if result.complete {
		task.loaded[result.stream] = true
	}
	if result.complete && task.state.Rewriting(now, result.stream) {
		// The reader had not learned of the restore. New ones read all keys once more when lost records were written again.
		result.complete = false
		task.stopReaders()
	}
	if result.complete {
		records = append(slices.Clone(records), task.state.Missing(result.stream, records, result.end)...)
	}
	changed := task.apply(records)
	if result.complete {
		task.state = task.state.WithConfirmed(now, result.stream).WithEnd(result.stream, result.end)
		changed = append(changed, task.settle()...)
	}
	changed = newestPerKey(changed)
	if len(changed) == 0 && !learned && now.Before(task.keepaliveAt) {
		return
	}
	if len(changed) == 0 && !learned {
		task.sendKeepalive(now, result.readAt)
		return
	}
	task.keepaliveAt = now.Add(keepaliveInterval)
	task.sendUpdate(coltsfootlink.News{Records: changed, ReadAt: result.readAt})
}

// apply adds records to the state and returns those that changed the catalog.
func (task *Task) apply(records []coltsfootlink.CatalogRecord) []coltsfootlink.CatalogRecord {
	var changed []coltsfootlink.CatalogRecord
	now := task.Clock.Now()
	for _, record := range records {
		state, change, err := task.state.WithRecord(now, record)
		task.state = state
		if err != nil {
			task.Log.Warn().Err(err).Msg("catalog: record cannot be decoded; a routing table stays in force, any other previous record of the key no longer applies")
		}
		if change == Changed {
			changed = append(changed, task.state.Stored(record))
			task.logChange(record)
		}
	}
	if len(changed) > 0 {
		task.publish()
	}
	return changed
}

// logChange logs a change of the catalog.
func (task *Task) logChange(record coltsfootlink.CatalogRecord) {
	line := task.Log.Info().Str("key", record.Key).Uint64("offset", record.Position.Offset).Uint64("era", record.Position.Era)
	if record.Removed {
		line.Msg("catalog: key removed")
		return
	}
	catalog := task.state.Catalog()
	if target, found := catalog.Targets[coltsfootlink.TargetName(record.Key)]; found {
		line = line.Str("pool", string(target.Pool)).Str("zone", string(target.Zone)).Bool("leaving", target.Leaving).
			Str("version", string(target.Version)).Time("cold-until", target.ColdUntil)
	}
	line.Uint64("revision", catalog.Table.Version).Msg("catalog: key changed")
}

func (task *Task) publish() {
	task.changedAt = task.Clock.Now()
	task.signature = task.state.Catalog().Signature()
	task.unpublished = task.awaitsPeers()
	if task.unpublished {
		return
	}
	for _, subscriber := range task.Subscribers {
		subscriber.Put(coltsfootlink.Delivery{From: task.Self.Name, Message: coltsfootlink.CatalogChanged{Catalog: task.state.Catalog()}})
	}
}

// publishAwaited publishes the catalog that was kept back until a peer has sent its records.
func (task *Task) publishAwaited() {
	if task.unpublished && !task.awaitsPeers() {
		task.publish()
	}
}

// awaitsPeers reports whether the instance has just started, and what it has read may be outdated because the store was
// restored: a key that was withdrawn since the copy would be in use again. In the first era nothing was restored.
func (task *Task) awaitsPeers() bool {
	return task.state.Era() > coltsfootlink.FirstEra && len(task.bootstrapped) == 0 && task.Clock.Now().Before(task.awaitUntil)
}

// updateReading starts or stops the readers of the platform's streams.
func (task *Task) updateReading() {
	reading := task.stopFuncs != nil
	switch shouldRead := task.shouldRead(); {
	case shouldRead && !reading:
		task.Log.Info().Msg("catalog: starting to read the platform")
		for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.OperatorStream, coltsfootlink.TargetStream} {
			era, known := task.state.StreamEra(stream)
			task.stopFuncs = append(task.stopFuncs, task.Branch.Add(string(stream), &reader{
				stream: stream,
				source: task.Source,
				clock:  task.Clock,
				log:    task.Log,
				inbox:  task.Inbox,
				phase:  &task.phase,
				// A reader that starts while an era settles, or has not learned of a restore, continues at what is known.
				next:     era.Begun,
				eraKnown: known,
				settleBy: era.SettleBy,
			}))
		}
	case !shouldRead && reading:
		task.Log.Info().Msg("catalog: stopped reading the platform, other instances of the zone read it")
		task.stopReaders()
	}
}

// bootstrap asks random live peers for all their records while the instance has not read the platform itself, or awaits them:
// until bootstrapPeers have sent theirs, since one that is cut off from the platform may have outdated ones.
func (task *Task) bootstrap() {
	now := task.Clock.Now()
	loaded := task.loaded[coltsfootlink.OperatorStream] && task.loaded[coltsfootlink.TargetStream]
	if loaded && !task.awaitsPeers() || now.Before(task.bootstrapAt) {
		return
	}
	var unasked []coltsfootlink.InstanceName
	for _, member := range task.view.Live() {
		if member.Name != task.Self.Name && !task.bootstrapped[member.Name] {
			unasked = append(unasked, member.Name)
		}
	}
	if len(unasked) == 0 || len(task.bootstrapped) >= bootstrapPeers {
		return
	}
	task.bootstrapAt = now.Add(bootstrapInterval)
	task.Sender.Send(unasked[rand.IntN(len(unasked))], coltsfootlink.NewsRequest{})
}

func (task *Task) stopReaders() {
	for _, stop := range task.stopFuncs {
		stop()
	}
	task.stopFuncs = nil
}
