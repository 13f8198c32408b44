package revision

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// inEra returns a batch as it is read in an era.
func inEra(era uint64, batch coltsfootlink.Batch) coltsfootlink.Batch {
	batch.First.Era, batch.Next.Era = era, era
	for index := range batch.Records {
		batch.Records[index].Position.Era = era
	}
	return batch
}

// TestRevisionsConvergeAfterARestore guards against two instances with the same revision but other configurations: one has read
// a change that the store has lost since, the other has not.
func TestRevisionsConvergeAfterARestore(t *testing.T) {
	Convey("another change is accepted in the place of the lost one", t, func() {
		before := inEra(1, log(0, apply("1", 0, 1), apply("lost", 1, 2)))
		after := inEra(2, log(0, apply("1", 0, 1), apply("new", 1, 3)))
		old, _ := State{}.WithBatch(before)
		old, _ = old.WithBatch(after)
		fresh, _ := State{}.WithBatch(after)
		So(old.Configuration.Revision, ShouldEqual, fresh.Configuration.Revision)
		So(old.Configuration.Teams["x"], ShouldResemble, fresh.Configuration.Teams["x"])
	})
}
