package catalog

import (
	"slices"
	"time"

	"coltsfootlink"
)

// update returns an update with this instance's signature and what it knows of eras of the store.
func (task *Task) update(news coltsfootlink.News) coltsfootlink.News {
	news.Signature, news.Era = task.signature, task.state.Era()
	if len(news.Records) > 0 || task.settling() || task.Clock.Now().Before(task.agreeUntil) {
		news.Eras = task.state.Eras()
	}
	return news
}

// sendUpdate sends an update to the zone and to the readers of the other zones.
func (task *Task) sendUpdate(news coltsfootlink.News) {
	update := task.update(news)
	task.sendToZone(update)
	task.sendToOtherReaders(update)
}

// sendKeepalive sends the zone an update without changes, from which it sees that the reader lives and whether it lacks any; while
// an era settles and is agreed on, other readers get it, too.
func (task *Task) sendKeepalive(now, readAt time.Time) {
	task.keepaliveAt = now.Add(keepaliveInterval)
	update := coltsfootlink.News{ReadAt: readAt}
	if task.settling() || now.Before(task.agreeUntil) {
		task.sendUpdate(update)
		return
	}
	task.sendToZone(task.update(update))
}

// keepAlive sends a keepalive if it is time, and other instances of the zone rely on this one.
func (task *Task) keepAlive() {
	now := task.Clock.Now()
	if task.readAt.IsZero() || now.Before(task.keepaliveAt) || !task.isRegularReader(now) {
		return
	}
	task.sendKeepalive(now, task.readAt)
}

// tellJoined sends the signature of this reader's catalog to the instances that have joined since an earlier view, and to all that
// rely on this one if it has joined itself: they do not have what was sent before they knew each other.
func (task *Task) tellJoined(before coltsfootlink.View) {
	if task.readAt.IsZero() || !task.isRegularReader(task.Clock.Now()) {
		return
	}
	update := task.update(coltsfootlink.News{ReadAt: task.readAt})
	for _, member := range task.view.JoinedSince(before) {
		if member.Name != task.Self.Name && (member.Zone == task.Self.Zone || slices.Contains(task.readers(member.Zone), member.Name)) {
			task.Sender.Send(member.Name, update)
		}
	}
}

// sendToZone sends an update to the other live instances of the zone.
func (task *Task) sendToZone(update coltsfootlink.News) {
	for _, member := range task.view.Live() {
		if member.Name != task.Self.Name && member.Zone == task.Self.Zone {
			task.Sender.Send(member.Name, update)
		}
	}
}

// sendToOtherReaders sends an update to the readers of the other zones, which may be cut off from the platform themselves.
func (task *Task) sendToOtherReaders(update coltsfootlink.News) {
	zones := make(map[coltsfootlink.ZoneName]bool)
	for _, member := range task.view.Live() {
		zones[member.Zone] = member.Zone != task.Self.Zone
	}
	for zone, other := range zones {
		if !other {
			continue
		}
		for _, reader := range task.readers(zone) {
			task.Sender.Send(reader, update)
		}
	}
}

// newestPerKey returns the newest record of each key, in the order in which the keys first occur.
func newestPerKey(records []coltsfootlink.CatalogRecord) []coltsfootlink.CatalogRecord {
	kept := make([]coltsfootlink.CatalogRecord, 0, len(records))
	indexes := make(map[recordKey]int, len(records))
	for _, record := range records {
		key := recordKey{stream: record.Stream, key: record.Key}
		if index, found := indexes[key]; found {
			kept[index] = record
			continue
		}
		indexes[key] = len(kept)
		kept = append(kept, record)
	}
	return kept
}

// checkSignature asks a reader for all its records if its signature differs, since messages between instances may be lost.
// While the catalog is changing, it waits: the missing updates are then most likely still in transit, and all instances
// would ask the readers at once.
func (task *Task) checkSignature(from coltsfootlink.InstanceName, news coltsfootlink.News) {
	now := task.Clock.Now()
	switch {
	case news.Signature == 0:
		return
	case news.Signature == task.signature:
		task.divergedAt = time.Time{}
		return
	case task.divergedAt.IsZero():
		task.divergedAt = now
	}
	inTransit := now.Before(task.changedAt.Add(resyncInterval)) && now.Before(task.divergedAt.Add(maxDivergence))
	if inTransit || now.Before(task.resyncAt) {
		return
	}
	task.resyncAt, task.divergedAt = now.Add(resyncInterval), now
	task.Sender.Send(from, coltsfootlink.NewsRequest{})
}
