package mailbox

import (
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMailbox(t *testing.T) {
	Convey("items of each of several concurrent senders arrive in order, and none is lost", t, func() {
		const senders, items = 8, 200
		box := New[[2]int]()
		var group sync.WaitGroup
		for sender := range senders {
			group.Go(func() {
				for item := range items {
					box.Put([2]int{sender, item})
				}
			})
		}
		next := make(map[int]int)
		for received := 0; received < senders*items; {
			<-box.Ready()
			for _, item := range box.Drain() {
				So(item[1], ShouldEqual, next[item[0]])
				next[item[0]]++
				received++
			}
		}
		group.Wait()
		So(box.Drain(), ShouldBeEmpty)
	})
}
