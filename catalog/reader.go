package catalog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

const (
	// maxFollowWait is how long a read waits on the platform if there are no new records. Waits end at fixed times, which
	// differ between readers; one that would be shorter than minFollowWait ends a period later.
	maxFollowWait = 3 * time.Second
	minFollowWait = 100 * time.Millisecond
	// followDelay is the delay after a read that returned records, so that the next read returns several at once.
	followDelay = 300 * time.Millisecond
	// retryDelay is the delay before a failed read is retried. The first one after a successful read is retried at once, as
	// its connection may have been the only fault.
	retryDelay = 400 * time.Millisecond
	// reregistrationGrace is how long targets may take to register again after an outage of the store, during which their
	// records may have expired.
	reregistrationGrace = 2300 * time.Millisecond
)

// reader is a task that follows one stream of the platform and sends the records to the catalog's task.
type reader struct {
	stream coltsfootlink.CatalogStream
	source coltsfootlink.CatalogSource
	clock  coltsfootlink.Clock
	log    zerolog.Logger
	inbox  *mailbox.Deliveries
	// phase is when the reader's waits end within each period of maxFollowWait, as a time.Duration. The catalog's task sets it.
	phase *atomic.Int64

	// next is the position at which the next read starts. nextKnown is false while all keys have to be read with Newest first.
	next      coltsfootlink.Position
	nextKnown bool
	// eraKnown indicates that next is of the latest era that was known; nextKnown implies it.
	eraKnown bool
	// down indicates that the last read failed.
	down bool
	// graceEndsAt is when targets whose records expired during the last outage count as removed.
	graceEndsAt time.Time
	// settleBy is when records that were lost in a restore of the store count as removed.
	settleBy time.Time
	// rereadAfterGrace indicates that all keys have to be read once more after graceEndsAt and settleBy, since the last such
	// read may have missed records that had not been written again.
	rereadAfterGrace bool
	// postponed are removals that take effect at graceEndsAt.
	postponed []coltsfootlink.CatalogRecord
}

// readResult is sent to the catalog's task and carries the records of one read.
type readResult struct {
	coltsfootlink.Local
	stream  coltsfootlink.CatalogStream
	records []coltsfootlink.CatalogRecord
	// complete indicates that the records are the newest ones of all keys before the position end, and that keys without
	// one are removed.
	complete bool
	// newest indicates that the records are the newest ones of all keys, whether or not the read is complete.
	newest bool
	end    coltsfootlink.Position
	readAt time.Time
}

// Run reads until the context ends.
func (reader *reader) Run(ctx context.Context) error {
	reader.nextKnown = false
	for ctx.Err() == nil {
		delay := followDelay
		count, err := reader.read(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, coltsfootlink.ErrRecordsGone):
			reader.nextKnown = false
			delay = 0
		case err != nil:
			delay = retryDelay
			if !reader.down {
				delay = 0
			}
			reader.markDown(err)
		default:
			reader.markUp()
			if count == 0 {
				delay = 0
			}
		}
		reader.releasePostponed()
		if delay > 0 && !coltsfootlink.Sleep(ctx, delay) {
			return nil
		}
	}
	return nil
}

// read reads once and returns the number of records read.
func (reader *reader) read(ctx context.Context) (int, error) {
	if !reader.nextKnown {
		batch, err := reader.source.Newest(ctx, reader.stream)
		if err != nil {
			return 0, err
		}
		if reader.eraKnown && reader.next.Era < batch.End.Era {
			// The store was restored since the last read; its lost records will be written again.
			reader.settleBy = reader.clock.Now().Add(settleTime)
		}
		reader.next, reader.nextKnown, reader.eraKnown = batch.End, true, true
		reader.logUnreadable(batch)
		reader.rereadAfterGrace = reader.rewriting() || reader.stream == coltsfootlink.TargetStream && (reader.down || reader.inGrace())
		reader.send(readResult{records: batch.Records, newest: true, complete: !reader.rereadAfterGrace, end: batch.End})
		return len(batch.Records), nil
	}
	batch, err := reader.source.Follow(ctx, reader.stream, reader.next, reader.wait())
	if err != nil {
		return 0, err
	}
	reader.next = batch.End
	reader.logUnreadable(batch)
	reader.send(readResult{records: reader.postpone(batch.Records)})
	return len(batch.Records), nil
}

// logUnreadable logs that records of a batch were skipped.
func (reader *reader) logUnreadable(batch coltsfootlink.CatalogBatch) {
	if batch.Unreadable > 0 {
		reader.log.Warn().Int("records", batch.Unreadable).Str("stream", string(reader.stream)).Msg("catalog: skipped records whose key cannot be decoded")
	}
}

// wait returns how long the next read waits for records.
func (reader *reader) wait() time.Duration {
	if reader.down {
		// A read whose answer is lost in the outage fails only when its whole wait is over, so it must not wait.
		return 0
	}
	now := reader.clock.Now()
	if reader.rereadAfterGrace && reader.rewriting() {
		return min(followDelay, reader.settleBy.Sub(now))
	}
	if len(reader.postponed) > 0 || reader.rereadAfterGrace {
		return followDelay
	}
	return reader.untilPhase(now)
}

// untilPhase returns the time until the reader's next wait is to end. All connections to the store may go silent at once, and
// a reader notices only when its wait is over: if the waits of all readers of the fleet end evenly spread over the period, one
// of them notices soon, whenever that happens.
func (reader *reader) untilPhase(now time.Time) time.Duration {
	if reader.phase == nil {
		return maxFollowWait
	}
	sinceStart := time.Duration(now.UnixNano() % int64(maxFollowWait))
	wait := (time.Duration(reader.phase.Load()) - sinceStart + maxFollowWait) % maxFollowWait
	if wait < minFollowWait {
		wait += maxFollowWait
	}
	return wait
}

// postpone defers removals of targets during the grace period after an outage, and returns the other records.
func (reader *reader) postpone(records []coltsfootlink.CatalogRecord) []coltsfootlink.CatalogRecord {
	if reader.stream != coltsfootlink.TargetStream || !reader.inGrace() {
		return records
	}
	var kept []coltsfootlink.CatalogRecord
	for _, record := range records {
		if record.Removed {
			reader.postponed = append(reader.postponed, record)
			continue
		}
		kept = append(kept, record)
	}
	return kept
}

// inGrace reports whether targets whose records expired during the last outage may still register again.
func (reader *reader) inGrace() bool { return reader.clock.Now().Before(reader.graceEndsAt) }

// rewriting reports whether records that were lost in a restore of the store may still be written again.
func (reader *reader) rewriting() bool { return reader.clock.Now().Before(reader.settleBy) }

// releasePostponed sends the deferred removals once the grace period is over, and has all keys read again if that was put
// off. The removal of a target that has registered again has no effect, because its position is before that of the new
// record.
func (reader *reader) releasePostponed() {
	if reader.inGrace() {
		return
	}
	if len(reader.postponed) > 0 {
		reader.send(readResult{records: reader.postponed})
		reader.postponed = nil
	}
	if reader.rereadAfterGrace && !reader.down && !reader.rewriting() {
		reader.rereadAfterGrace, reader.nextKnown = false, false
	}
}

func (reader *reader) send(result readResult) {
	result.stream = reader.stream
	result.readAt = reader.clock.Now()
	reader.inbox.Put(coltsfootlink.Delivery{Message: result})
}

func (reader *reader) markDown(err error) {
	if !reader.down {
		reader.log.Warn().Err(err).Str("stream", string(reader.stream)).Msg("catalog: stream cannot be read, keeping the last known records")
	}
	reader.down = true
}

func (reader *reader) markUp() {
	if reader.down {
		reader.down = false
		reader.graceEndsAt = reader.clock.Now().Add(reregistrationGrace)
		reader.log.Info().Str("stream", string(reader.stream)).Msg("catalog: stream can be read again")
	}
}
