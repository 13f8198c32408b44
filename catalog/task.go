package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/ownership"
	"coltsfootlink/supervisor"
)

const (
	// tickInterval is the time between two looks at who reads.
	tickInterval = 200 * time.Millisecond
	// silenceLimit is how old the newest news may be before another instance reads too.
	silenceLimit = 5 * time.Second
	// readersPerZone is the number of instances of a zone that read at all times: one may be cut off or turned
	// away unnoticed for longer than news may take.
	readersPerZone = 2
	// rankPause is how much longer each further instance of the zone waits before it reads.
	rankPause = 300 * time.Millisecond
	// newsInterval is the time between two signs of life of a reader.
	newsInterval = 500 * time.Millisecond
	// compareInterval is the least time between two questions to readers that know something else, and how long nothing may
	// have changed before one; differLimit is how long they may know something else while things change.
	compareInterval = 300 * time.Millisecond
	differLimit     = time.Second
	// askInterval is the time between two questions to peers by an instance that knows nothing.
	askInterval = 500 * time.Millisecond
)

// Task keeps the catalog. Some instances of each zone read the platform and hand the news on; others read
// when they are silent.
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
	// stopReading stops the readers; nil if the instance does not read.
	stopReading []func()
	// loaded are the streams that have been read whole in this lifetime.
	loaded map[coltsfootlink.CatalogStream]bool
	// heardAt is when another reader last had the newest records.
	heardAt time.Time
	// newsAt is when the instance next tells its zone that it reads.
	newsAt time.Time
	askAt  time.Time
	// signature is that of the catalog, and compareAt when another one is next taken for a sign of lost news.
	signature uint64
	compareAt time.Time
	// changedAt is when the catalog last changed, and differsAt since when readers know something else; zero if they do not.
	changedAt, differsAt time.Time
}

// Run keeps the catalog until the context ends.
func (task *Task) Run(ctx context.Context) error {
	task.state = NewState(task.Decoder)
	task.loaded = make(map[coltsfootlink.CatalogStream]bool)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer task.stop()
	for {
		task.chooseReader()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task.askPeers()
		case <-task.Inbox.Ready():
		}
		for _, delivery := range task.Inbox.Drain() {
			task.handle(delivery)
		}
	}
}

func (task *Task) handle(delivery coltsfootlink.Delivery) {
	switch message := delivery.Message.(type) {
	case found:
		task.read(message)
	case coltsfootlink.News:
		if message.ReadAt.After(task.heardAt) {
			task.heardAt = message.ReadAt
		}
		task.apply(message.Records)
		task.compare(delivery.From, message)
	case coltsfootlink.NewsRequest:
		task.Sender.Send(delivery.From, coltsfootlink.News{Records: task.state.Records(), Signature: task.signature})
	case coltsfootlink.ViewChanged:
		task.view = message.View
	}
}

// read notes what a reader has found and tells the peers.
func (task *Task) read(message found) {
	records := message.records
	if message.newest {
		records = append(slices.Clone(records), task.state.Missing(message.stream, records, message.end)...)
		task.loaded[message.stream] = true
	}
	different := newest(task.apply(records))
	now := task.Clock.Now()
	if len(different) == 0 && now.Before(task.newsAt) {
		return
	}
	task.newsAt = now.Add(newsInterval)
	for _, member := range task.view.Live() {
		if member.Name != task.Self.Name && (len(different) > 0 || member.Zone == task.Self.Zone) {
			task.Sender.Send(member.Name, coltsfootlink.News{Records: different, ReadAt: message.readAt, Signature: task.signature})
		}
	}
}

// newest returns the newest record of each key, in the order in which the keys come first.
func newest(records []coltsfootlink.CatalogRecord) []coltsfootlink.CatalogRecord {
	kept := make([]coltsfootlink.CatalogRecord, 0, len(records))
	places := make(map[place]int, len(records))
	for _, record := range records {
		at := place{stream: record.Stream, key: record.Key}
		if index, found := places[at]; found {
			kept[index] = record
			continue
		}
		places[at] = len(kept)
		kept = append(kept, record)
	}
	return kept
}

// compare asks a reader for all it knows if it knows something else: messages between instances may be lost. While things
// change, what differs is mostly under way, and all would ask the readers at once.
func (task *Task) compare(from coltsfootlink.InstanceName, news coltsfootlink.News) {
	now := task.Clock.Now()
	switch {
	case news.Signature == 0:
		return
	case news.Signature == task.signature:
		task.differsAt = time.Time{}
		return
	case task.differsAt.IsZero():
		task.differsAt = now
	}
	underWay := now.Before(task.changedAt.Add(compareInterval)) && now.Before(task.differsAt.Add(differLimit))
	if underWay || now.Before(task.compareAt) {
		return
	}
	task.compareAt, task.differsAt = now.Add(compareInterval), now
	task.Sender.Send(from, coltsfootlink.NewsRequest{})
}

// apply notes records and returns those that made a difference.
func (task *Task) apply(records []coltsfootlink.CatalogRecord) []coltsfootlink.CatalogRecord {
	var different []coltsfootlink.CatalogRecord
	now := task.Clock.Now()
	for _, record := range records {
		state, change, err := task.state.WithRecord(now, record)
		task.state = state
		if err != nil {
			task.Log.Warn().Err(err).Msg("catalog: record names nothing to use")
		}
		if change == Difference {
			different = append(different, record)
			task.note(record)
		}
	}
	if len(different) > 0 {
		task.publish()
	}
	return different
}

// note logs what the instance now believes.
func (task *Task) note(record coltsfootlink.CatalogRecord) {
	line := task.Log.Info().Str("key", record.Key).Uint64("offset", record.Offset)
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
	for _, subscriber := range task.Subscribers {
		subscriber.Put(coltsfootlink.Delivery{From: task.Self.Name, Message: coltsfootlink.CatalogChanged{Catalog: task.state.Catalog()}})
	}
}

// chooseReader starts or stops reading.
func (task *Task) chooseReader() {
	reads := task.stopReading != nil
	switch wanted := task.shouldRead(); {
	case wanted && !reads:
		task.Log.Info().Msg("catalog: reads the platform")
		for _, stream := range []coltsfootlink.CatalogStream{coltsfootlink.OperatorStream, coltsfootlink.TargetStream} {
			task.stopReading = append(task.stopReading, task.Branch.Add(string(stream), &reader{
				stream: stream,
				source: task.Source,
				clock:  task.Clock,
				log:    task.Log,
				inbox:  task.Inbox,
			}))
		}
	case !wanted && reads:
		task.Log.Info().Msg("catalog: leaves reading to a peer")
		task.stop()
	}
}

// shouldRead says whether the instance is its zone's reader, or has to stand in for it.
func (task *Task) shouldRead() bool {
	if !task.loaded[coltsfootlink.OperatorStream] || !task.loaded[coltsfootlink.TargetStream] {
		return true
	}
	ranked := ownership.Ranked("catalog "+string(task.Self.Zone), task.view.Candidates(task.Self.Zone))
	rank := slices.Index(ranked, task.Self.Name)
	if rank < readersPerZone {
		return true
	}
	allowed := silenceLimit + time.Duration(rank)*rankPause
	return task.Clock.Now().Sub(task.heardAt) > allowed
}

// askPeers asks a peer for all it knows while the instance knows nothing.
func (task *Task) askPeers() {
	now := task.Clock.Now()
	live := task.view.Live()
	if task.state.Catalog().TableLoaded || now.Before(task.askAt) || len(live) < 2 {
		return
	}
	task.askAt = now.Add(askInterval)
	if peer := live[rand.IntN(len(live))].Name; peer != task.Self.Name {
		task.Sender.Send(peer, coltsfootlink.NewsRequest{})
	}
}

func (task *Task) stop() {
	for _, stop := range task.stopReading {
		stop()
	}
	task.stopReading = nil
}
