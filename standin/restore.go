package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/platform"
)

// RestorePath accepts a Restore as a JSON document by POST. It answers once the store has been restored and the lost records
// of the operator and the targets have been written again.
const RestorePath = "/restore"

// Restore describes how the store is away and comes back from an earlier copy. What was written since the copy
// is gone, its offsets are assigned again, and the store's era rises by one.
type Restore struct {
	// AgeMillis is the age of the copy when the store goes away, at most maxCopyAge.
	AgeMillis int `json:"age-millis"`
	// AwayMillis is how long the store is away; all calls fail with status 503 until then.
	AwayMillis int `json:"away-millis"`
	// RewriteMillis is the time within which the operator and the targets write their lost records again, evenly spread.
	RewriteMillis int `json:"rewrite-millis"`
	// Seed draws the order in which they do; zero keeps the order in which the records were first written.
	Seed uint64 `json:"seed"`
	// LateMillis, if positive, has appends that arrive while the store is away get no answer and be carried out this long
	// after its return, if their conditions still hold.
	LateMillis int `json:"late-millis"`
}

// restoring is a restore in progress.
type restoring struct {
	// late is how long after the return appends are carried out that arrive before; they are refused if it is zero.
	late time.Duration
	// over is closed when the store is back.
	over chan struct{}
}

// Restore takes the store away, restores it from an earlier copy and has the lost records of the operator and the targets
// written again. It returns after that.
func (server *Platform) Restore(ctx context.Context, restore Restore) error {
	if age := millis(restore.AgeMillis); age < 0 || age > maxCopyAge {
		return errors.Newf("standin: there is no copy of the store that is %s old", age)
	}
	current := &restoring{late: millis(restore.LateMillis), over: make(chan struct{})}
	if !server.restoring.CompareAndSwap(nil, current) {
		return errors.New("standin: another restore is in progress")
	}
	copiedAt := time.Now().Add(-millis(restore.AgeMillis))
	coltsfootlink.Sleep(ctx, millis(restore.AwayMillis))
	var lost []lostRecord
	_, err := server.Store.do(ctx, func(state *storeState) {
		lost = state.restore(copiedAt)
		server.Store.era.Store(state.era)
		// The store is back before the reads that the restore wakes look whether it is.
		server.restoring.Store(nil)
	})
	server.restoring.CompareAndSwap(current, nil)
	close(current.over)
	if err != nil {
		return err
	}
	for _, record := range rewriteOrder(lost, restore.Seed) {
		coltsfootlink.Sleep(ctx, millis(restore.RewriteMillis)/time.Duration(len(lost)))
		if _, err := server.Store.append(ctx, record.name, [][]byte{record.content}, condition{}); err != nil {
			return err
		}
	}
	return nil
}

// restore serves RestorePath. The restore goes on if the caller disconnects.
func (server *Platform) restore(writer http.ResponseWriter, request *http.Request) {
	var restore Restore
	err := json.NewDecoder(request.Body).Decode(&restore)
	if err == nil {
		err = server.Restore(context.WithoutCancel(request.Context()), restore)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
	}
}

// withLateAppends lets appends that arrive while the store is away be carried out after its return, if the restore says so.
func (server *Platform) withLateAppends(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		current := server.restoring.Load()
		if current == nil || current.late <= 0 {
			handler(writer, request)
			return
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, maxAppendBytes))
		records, recordErr := platform.DecodeRecords(body)
		if err == nil && recordErr == nil {
			ctx := context.WithoutCancel(request.Context())
			<-current.over
			coltsfootlink.Sleep(ctx, current.late)
			// Nobody learns of the result, as after any lost answer.
			_, _ = server.Store.append(ctx, partitionOf(request), records, conditionOf(request))
		}
		panic(http.ErrAbortHandler)
	}
}

// withEra sets the present era in all answers. Handlers replace it by the era of the state that their answer is about.
func (server *Platform) withEra(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		setEra(writer, server.Store.era.Load())
		handler.ServeHTTP(writer, request)
	})
}

// setEra sets the era of an answer; zero, the result of a call that the store did not carry out, leaves it as it is.
func setEra(writer http.ResponseWriter, era uint64) {
	if era > 0 {
		writer.Header().Set(platform.EraHeader, strconv.FormatUint(era, 10))
	}
}
