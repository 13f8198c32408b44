package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
)

const (
	// followWait is how long the platform may hold a read that finds nothing.
	followWait = 3 * time.Second
	// followPause is the time between two reads that find something, so that each finds several records.
	followPause = 300 * time.Millisecond
	// failurePause is the time before a failed read is tried again.
	failurePause = 400 * time.Millisecond
	// returnGrace is how long after an outage entries that lapsed meanwhile may take to come back.
	returnGrace = 2300 * time.Millisecond
)

// reader follows one stream of the platform and tells the catalog's task what it finds.
type reader struct {
	stream coltsfootlink.CatalogStream
	source coltsfootlink.CatalogSource
	clock  coltsfootlink.Clock
	log    zerolog.Logger
	inbox  *mailbox.Deliveries

	// next is the offset at which the next read goes on; known says that there is one.
	next  uint64
	known bool
	// down says that the last read failed.
	down bool
	// backAt is when entries that lapsed in the last outage count as gone.
	backAt time.Time
	// postponed are removals that count only from backAt on.
	postponed []coltsfootlink.CatalogRecord
}

// found tells what a read has found.
type found struct {
	coltsfootlink.Local
	stream  coltsfootlink.CatalogStream
	records []coltsfootlink.CatalogRecord
	// newest says that the records are the newest of all keys before the offset end.
	newest bool
	end    uint64
	readAt time.Time
}

// Run reads until the context ends.
func (reader *reader) Run(ctx context.Context) error {
	reader.known = false
	for ctx.Err() == nil {
		pause := followPause
		count, err := reader.read(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, coltsfootlink.ErrRecordsGone):
			reader.known = false
			pause = 0
		case err != nil:
			reader.noteFailure(err)
			pause = failurePause
		default:
			reader.noteSuccess()
			if count == 0 {
				pause = 0
			}
		}
		reader.releasePostponed()
		if pause > 0 && !coltsfootlink.Sleep(ctx, pause) {
			return nil
		}
	}
	return nil
}

// read reads once and returns the number of records.
func (reader *reader) read(ctx context.Context) (int, error) {
	if !reader.known {
		batch, err := reader.source.Newest(ctx, reader.stream)
		if err != nil {
			return 0, err
		}
		reader.next, reader.known = batch.End, true
		reader.tell(found{records: batch.Records, newest: true, end: batch.End})
		return len(batch.Records), nil
	}
	batch, err := reader.source.Follow(ctx, reader.stream, reader.next, reader.wait())
	if err != nil {
		return 0, err
	}
	reader.next = batch.End
	if batch.Unreadable > 0 {
		reader.log.Warn().Int("records", batch.Unreadable).Str("stream", string(reader.stream)).Msg("catalog: records without a key")
	}
	reader.tell(found{records: reader.postpone(batch.Records)})
	return len(batch.Records), nil
}

// wait returns how long the next read may be held.
func (reader *reader) wait() time.Duration {
	if reader.down {
		// A read that is lost in an outage is found out only when its time is over.
		return 0
	}
	if len(reader.postponed) > 0 {
		return followPause
	}
	return followWait
}

// postpone keeps removals back while lapsed entries may still return, and returns the other records.
func (reader *reader) postpone(records []coltsfootlink.CatalogRecord) []coltsfootlink.CatalogRecord {
	if reader.stream != coltsfootlink.TargetStream || !reader.clock.Now().Before(reader.backAt) {
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

// releasePostponed tells of the removals that now count; those of entries that came back are older than these.
func (reader *reader) releasePostponed() {
	if len(reader.postponed) == 0 || reader.clock.Now().Before(reader.backAt) {
		return
	}
	reader.tell(found{records: reader.postponed})
	reader.postponed = nil
}

func (reader *reader) tell(message found) {
	message.stream = reader.stream
	message.readAt = reader.clock.Now()
	reader.inbox.Put(coltsfootlink.Delivery{Message: message})
}

func (reader *reader) noteFailure(err error) {
	if !reader.down {
		reader.log.Warn().Err(err).Str("stream", string(reader.stream)).Msg("catalog: store lost")
	}
	reader.down = true
}

func (reader *reader) noteSuccess() {
	if reader.down {
		reader.down = false
		reader.backAt = reader.clock.Now().Add(returnGrace)
		reader.log.Info().Str("stream", string(reader.stream)).Msg("catalog: store regained")
	}
}
