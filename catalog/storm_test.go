package catalog

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestStormsOfChangesCostReadersNoMoreThanTheirNewest(t *testing.T) {
	cases := map[string]struct {
		records []coltsfootlink.CatalogRecord
		told    []uint64
	}{
		"one change":                     {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1")}, []uint64{1}},
		"many of one key":                {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1"), target(2, "t", "target h:2"), target(3, "t", "target h:3")}, []uint64{3}},
		"many of two":                    {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1"), target(2, "u", "target h:2"), target(3, "t", "target h:3")}, []uint64{3, 2}},
		"one that comes and goes":        {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1"), target(2, "t", "")}, []uint64{2}},
		"one that was known is not told": {[]coltsfootlink.CatalogRecord{target(1, "t", "target h:1"), target(2, "t", "target h:1")}, []uint64{1}},
	}
	for name, test := range cases {
		Convey("what a reader finds together is told by its newest: "+name, t, func() {
			task, kept, _ := newTask("i-1", members("i-1", "i-2"))
			task.handle(coltsfootlink.Delivery{Message: found{stream: coltsfootlink.TargetStream, records: test.records}})
			So(kept.sent, ShouldHaveLength, 1)
			var told []uint64
			for _, record := range kept.sent[0].Message.(coltsfootlink.News).Records {
				told = append(told, record.Offset)
			}
			So(told, ShouldResemble, test.told)
		})
	}
	storms := map[string]struct {
		// every is the time between two changes, lost the change that does not come.
		every time.Duration
		lost  int
		most  int
	}{
		"news come behind their signatures":   {100 * time.Millisecond, -1, 5},
		"and one is lost":                     {100 * time.Millisecond, 3, 5},
		"changes are seldom, and one is lost": {2 * time.Second, 1, 1},
	}
	for name, test := range storms {
		Convey("an instance that gets news all the time does not ask for all of them, and ends with the same: "+name, t, func() {
			reader, fromReader, _ := newTask("i-1", members("i-1", "i-2"))
			other, fromOther, clock := newTask("i-2", members("i-1", "i-2"))
			asked := 0
			hear := func(news coltsfootlink.News) {
				other.handle(coltsfootlink.Delivery{From: "i-1", Message: news})
				for _, sent := range fromOther.sent {
					asked++
					fromReader.sent = nil
					reader.handle(coltsfootlink.Delivery{From: "i-2", Message: sent.Message})
					other.handle(coltsfootlink.Delivery{From: "i-1", Message: fromReader.sent[0].Message})
				}
				fromOther.sent = nil
			}
			for change := range 50 {
				clock.now = clock.now.Add(test.every)
				record := target(uint64(change+1), fmt.Sprint("t", change%10), fmt.Sprint("target h:", change+1))
				following := target(uint64(change+2), fmt.Sprint("t", (change+1)%10), fmt.Sprint("target h:", change+2))
				reader.apply([]coltsfootlink.CatalogRecord{record})
				if test.every < time.Second {
					// The reader is one change ahead of what it tells.
					reader.apply([]coltsfootlink.CatalogRecord{following})
				}
				if change != test.lost {
					hear(coltsfootlink.News{Records: []coltsfootlink.CatalogRecord{record}, Signature: reader.signature})
				}
			}
			for range 4 {
				clock.now = clock.now.Add(newsInterval)
				hear(coltsfootlink.News{Signature: reader.signature})
			}
			So(other.signature, ShouldEqual, reader.signature)
			So(asked, ShouldBeLessThanOrEqualTo, test.most+1)
		})
	}
}
