package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"coltsfootlink/platform"
)

// recordBytes is the largest body of an append.
const recordBytes = 2 << 20

// Statuses and reasons with which the store turns calls down.
const (
	statusConditionFailed = http.StatusPreconditionFailed
	statusConflict        = http.StatusConflict
	reasonFenced          = platform.FencedReason
	reasonSequence        = platform.OutOfSequenceReason
)

// groupCall is the body of the calls that concern a group.
type groupCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	LeaseMs    int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
	Topic      string   `json:"topic"`
	Part       int      `json:"part"`
	Offset     uint64   `json:"offset"`
}

func (server *Platform) append(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, recordBytes))
	records, recordErr := platform.DecodeRecords(body)
	if err != nil || recordErr != nil {
		http.Error(writer, "{}", http.StatusBadRequest)
		return
	}
	answer, err := server.Store.append(request.Context(), nameOf(request), records, conditionOf(request))
	switch {
	case err != nil || server.outage.Load().LoseReplies:
		panic(http.ErrAbortHandler)
	case answer.status != 0:
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(answer.status)
		reply(writer, map[string]any{"end": answer.end, "reason": answer.reason, "sequence": answer.expected})
	default:
		reply(writer, platform.AppendResult{Offset: answer.offset, End: answer.end})
	}
}

func (server *Platform) read(writer http.ResponseWriter, request *http.Request) {
	waitUntil := time.Now().Add(time.Duration(number(request, platform.WaitParameter)) * time.Millisecond)
	found, err := server.Store.read(request.Context(), nameOf(request), number(request, platform.FromParameter), waitUntil)
	switch {
	case err != nil || server.outage.Load().Down:
		http.Error(writer, "{}", http.StatusServiceUnavailable)
	case found.gone:
		writer.WriteHeader(http.StatusGone)
		reply(writer, map[string]uint64{"first": found.first})
	default:
		// The caller sees a broken answer if the connection is gone.
		_, _ = writer.Write(platform.Batch{End: found.end, First: found.first, Records: found.records}.Encode())
	}
}

func (server *Platform) newest(writer http.ResponseWriter, request *http.Request) {
	name := nameOf(request)
	page, err := server.Store.newest(request.Context(), name, request.FormValue(platform.AfterParameter))
	if err != nil {
		http.Error(writer, "{}", http.StatusServiceUnavailable)
		return
	}
	if zone := request.PathValue("zone"); zone != "" && server.View != nil {
		for index, item := range page.Items {
			page.Items[index] = server.View(zone, name.topic, item)
		}
	}
	reply(writer, page)
}

func (server *Platform) trim(writer http.ResponseWriter, request *http.Request) {
	err := server.Store.do(request.Context(), func(held *contents) {
		held.partition(nameOf(request)).trim(number(request, platform.BeforeParameter))
	})
	finish(writer, err)
}

func (server *Platform) join(writer http.ResponseWriter, request *http.Request) {
	call, read := readGroupCall(writer, request)
	if !read {
		return
	}
	generation, rows, err := server.Store.join(request.Context(), call.Group, call.Member, call.Topics, time.Duration(call.LeaseMs)*time.Millisecond)
	if err != nil {
		finish(writer, err)
		return
	}
	reply(writer, map[string]any{"generation": generation, "ttl_ms": call.LeaseMs, "parts": rows})
}

func (server *Platform) leave(writer http.ResponseWriter, request *http.Request) {
	if call, read := readGroupCall(writer, request); read {
		finish(writer, server.Store.leave(request.Context(), call.Group, call.Member))
	}
}

func (server *Platform) commit(writer http.ResponseWriter, request *http.Request) {
	call, read := readGroupCall(writer, request)
	if !read {
		return
	}
	part := partitionName{topic: call.Topic, part: call.Part}
	accepted, err := server.Store.commit(request.Context(), call.Group, call.Member, call.Generation, part, call.Offset)
	if err == nil && !accepted {
		writer.WriteHeader(statusConflict)
	}
	finish(writer, err)
}

func (server *Platform) owners(writer http.ResponseWriter, request *http.Request) {
	rows, err := server.Store.owners(request.Context(), request.FormValue(platform.GroupParameter))
	if err != nil {
		finish(writer, err)
		return
	}
	reply(writer, map[string]any{"parts": rows})
}

// finish answers a call that has nothing to tell but an error.
func finish(writer http.ResponseWriter, err error) {
	if err != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	reply(writer, struct{}{})
}

func readGroupCall(writer http.ResponseWriter, request *http.Request) (groupCall, bool) {
	var call groupCall
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		http.Error(writer, "{}", http.StatusBadRequest)
		return call, false
	}
	return call, true
}

func nameOf(request *http.Request) partitionName {
	query := request.URL.Query()
	return partitionName{topic: query.Get(platform.TopicParameter), part: int(number(request, platform.PartParameter))}
}

// conditionOf returns the limits of an append.
func conditionOf(request *http.Request) condition {
	query := request.URL.Query()
	limits := condition{
		producer: query.Get(platform.ProducerParameter),
		epoch:    number(request, platform.EpochParameter),
		sequence: number(request, platform.SequenceParameter),
	}
	if query.Has(platform.AtParameter) {
		at := number(request, platform.AtParameter)
		limits.at = &at
	}
	return limits
}

// number returns a parameter of the query; what is no number counts as zero.
func number(request *http.Request, name string) uint64 {
	value, err := strconv.ParseUint(request.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}
