package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"coltsfootlink/platform"
)

// maxAppendBytes is the number of bytes of an append's body that are read; the rest is ignored.
const maxAppendBytes = 2 << 20

// Statuses and reasons with which the store rejects appends and offset commits.
const (
	statusConditionFailed = http.StatusPreconditionFailed
	statusConflict        = http.StatusConflict
	reasonFenced          = platform.FencedReason
	reasonSequence        = platform.OutOfSequenceReason
)

// groupRequest is the body of the join, leave and commit calls of consumer groups; each call uses some of the fields.
type groupRequest struct {
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
	body, err := io.ReadAll(io.LimitReader(request.Body, maxAppendBytes))
	records, recordErr := platform.DecodeRecords(body)
	if err != nil || recordErr != nil {
		http.Error(writer, "{}", http.StatusBadRequest)
		return
	}
	result, err := server.Store.append(request.Context(), partitionOf(request), records, conditionOf(request))
	setEra(writer, result.era)
	switch {
	case err != nil || server.outage.Load().LoseReplies:
		panic(http.ErrAbortHandler)
	case result.status != 0:
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(result.status)
		reply(writer, map[string]any{"end": result.end, "reason": result.reason, "sequence": result.expected})
	default:
		reply(writer, platform.AppendResult{Offset: result.offset, End: result.end})
	}
}

func (server *Platform) read(writer http.ResponseWriter, request *http.Request) {
	waitUntil := time.Now().Add(time.Duration(uintParameter(request, platform.WaitParameter)) * time.Millisecond)
	found, err := server.Store.read(request.Context(), partitionOf(request), uintParameter(request, platform.FromParameter), waitUntil)
	setEra(writer, found.era)
	switch {
	case err != nil || server.down():
		http.Error(writer, "{}", http.StatusServiceUnavailable)
	case found.absent:
		writer.WriteHeader(http.StatusGone)
		reply(writer, map[string]uint64{"first": found.first})
	default:
		// A write error means that the connection is closed; the caller sees a truncated answer.
		_, _ = writer.Write(platform.Batch{End: found.end, First: found.first, Records: firstRecords(found.records)}.Encode())
	}
}

// maxReadBytes limits the records in one answer to a read, as the platform does (1,024 kilobytes). One record is always sent.
const maxReadBytes = 1 << 20

// firstRecords returns as many records, from the first one on, as one answer may hold.
func firstRecords(records [][]byte) [][]byte {
	size := 0
	for index, record := range records {
		size += len(record)
		if size > maxReadBytes && index > 0 {
			return records[:index]
		}
	}
	return records
}

func (server *Platform) newest(writer http.ResponseWriter, request *http.Request) {
	name := partitionOf(request)
	page, era, err := server.Store.newest(request.Context(), name, request.FormValue(platform.AfterParameter))
	setEra(writer, era)
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
	era, err := server.Store.do(request.Context(), func(state *storeState) {
		state.changePartition(partitionOf(request), func(part *partition) {
			part.trim(uintParameter(request, platform.BeforeParameter))
		})
	})
	setEra(writer, era)
	replyEmpty(writer, err)
}

func (server *Platform) join(writer http.ResponseWriter, request *http.Request) {
	call, ok := decodeGroupRequest(writer, request)
	if !ok {
		return
	}
	result, err := server.Store.join(request.Context(), call.Group, call.Member, call.Topics, time.Duration(call.LeaseMs)*time.Millisecond)
	setEra(writer, result.era)
	if err != nil {
		replyEmpty(writer, err)
		return
	}
	reply(writer, map[string]any{"generation": result.generation, "ttl_ms": call.LeaseMs, "parts": result.rows})
}

func (server *Platform) leave(writer http.ResponseWriter, request *http.Request) {
	if call, ok := decodeGroupRequest(writer, request); ok {
		era, err := server.Store.leave(request.Context(), call.Group, call.Member)
		setEra(writer, era)
		replyEmpty(writer, err)
	}
}

func (server *Platform) commit(writer http.ResponseWriter, request *http.Request) {
	call, ok := decodeGroupRequest(writer, request)
	if !ok {
		return
	}
	part := partitionName{topic: call.Topic, part: call.Part}
	era, accepted, err := server.Store.commit(request.Context(), call.Group, call.Member, call.Generation, part, call.Offset)
	setEra(writer, era)
	if err == nil && !accepted {
		writer.WriteHeader(statusConflict)
	}
	replyEmpty(writer, err)
}

func (server *Platform) owners(writer http.ResponseWriter, request *http.Request) {
	era, rows, err := server.Store.owners(request.Context(), request.FormValue(platform.GroupParameter))
	setEra(writer, era)
	if err != nil {
		replyEmpty(writer, err)
		return
	}
	reply(writer, map[string]any{"parts": rows})
}

// replyEmpty answers a call that returns no data: with status 503 if there is an error, and an empty JSON object.
func replyEmpty(writer http.ResponseWriter, err error) {
	if err != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	reply(writer, struct{}{})
}

func decodeGroupRequest(writer http.ResponseWriter, request *http.Request) (groupRequest, bool) {
	var call groupRequest
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		http.Error(writer, "{}", http.StatusBadRequest)
		return call, false
	}
	return call, true
}

func partitionOf(request *http.Request) partitionName {
	query := request.URL.Query()
	return partitionName{topic: query.Get(platform.TopicParameter), part: int(uintParameter(request, platform.PartParameter))}
}

// conditionOf returns the conditions under which the store is to carry out an append.
func conditionOf(request *http.Request) condition {
	query := request.URL.Query()
	required := condition{
		producer: query.Get(platform.ProducerParameter),
		epoch:    uintParameter(request, platform.EpochParameter),
		sequence: uintParameter(request, platform.SequenceParameter),
	}
	if query.Has(platform.AtParameter) {
		at := uintParameter(request, platform.AtParameter)
		required.at = &at
	}
	return required
}

// uintParameter returns a query parameter as a number, or zero if it is missing or not an unsigned number.
func uintParameter(request *http.Request, name string) uint64 {
	value, err := strconv.ParseUint(request.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}
