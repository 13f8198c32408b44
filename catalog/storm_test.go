package catalog

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestUpdateStormsAreCoalesced(t *testing.T) {
	cases := map[string]struct {
		records []coltsfootlink.CatalogRecord
		sent    []uint64
	}{
		"one change":                    {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1")}, []uint64{1}},
		"several changes of one key":    {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), targetRecord(2, "t", "target h:2"), targetRecord(3, "t", "target h:3")}, []uint64{3}},
		"several changes of two keys":   {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), targetRecord(2, "u", "target h:2"), targetRecord(3, "t", "target h:3")}, []uint64{3, 2}},
		"addition and removal of a key": {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), targetRecord(2, "t", "")}, []uint64{2}},
		"unchanged record":              {[]coltsfootlink.CatalogRecord{targetRecord(1, "t", "target h:1"), targetRecord(2, "t", "target h:1")}, []uint64{1}},
	}
	for name, test := range cases {
		Convey("a reader sends only the newest record of each key: "+name, t, func() {
			task, sender, _ := newTask("i-1", viewOf("i-1", "i-2"))
			task.handle(coltsfootlink.Delivery{Message: readResult{stream: coltsfootlink.TargetStream, records: test.records}})
			So(sender.sent, ShouldHaveLength, 1)
			var offsets []uint64
			for _, record := range sender.sent[0].Message.(coltsfootlink.News).Records {
				offsets = append(offsets, record.Position.Offset)
			}
			So(offsets, ShouldResemble, test.sent)
		})
	}
	storms := map[string]struct {
		// interval is the time between two changes, lost the index of the change whose update is lost; -1 for none.
		interval    time.Duration
		lost        int
		maxRequests int
	}{
		"updates arrive after newer signatures":   {100 * time.Millisecond, -1, 5},
		"one update is lost during rapid changes": {100 * time.Millisecond, 3, 5},
		"one update is lost during slow changes":  {2 * time.Second, 1, 1},
	}
	for name, test := range storms {
		Convey("an instance with a stream of updates rarely asks for all records, and ends with the same catalog: "+name, t, func() {
			reader, fromReader, _ := newTask("i-1", viewOf("i-1", "i-2"))
			other, fromOther, clock := newTask("i-2", viewOf("i-1", "i-2"))
			requests := 0
			deliver := func(news coltsfootlink.News) {
				other.handle(coltsfootlink.Delivery{From: "i-1", Message: news})
				for _, delivery := range fromOther.sent {
					requests++
					fromReader.sent = nil
					reader.handle(coltsfootlink.Delivery{From: "i-2", Message: delivery.Message})
					other.handle(coltsfootlink.Delivery{From: "i-1", Message: fromReader.sent[0].Message})
				}
				fromOther.sent = nil
			}
			for change := range 50 {
				clock.now = clock.now.Add(test.interval)
				record := targetRecord(uint64(change+1), fmt.Sprint("t", change%10), fmt.Sprint("target h:", change+1))
				next := targetRecord(uint64(change+2), fmt.Sprint("t", (change+1)%10), fmt.Sprint("target h:", change+2))
				reader.apply([]coltsfootlink.CatalogRecord{record})
				if test.interval < time.Second {
					// The reader has already applied the next change, so its signature is ahead of the records it sends.
					reader.apply([]coltsfootlink.CatalogRecord{next})
				}
				if change != test.lost {
					deliver(coltsfootlink.News{Records: []coltsfootlink.CatalogRecord{record}, Signature: reader.signature})
				}
			}
			for range 4 {
				clock.now = clock.now.Add(keepaliveInterval)
				deliver(coltsfootlink.News{Signature: reader.signature})
			}
			So(other.signature, ShouldEqual, reader.signature)
			So(requests, ShouldBeLessThanOrEqualTo, test.maxRequests+1)
		})
	}
}
