package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/platform"
)

// OutagePath accepts an Outage as a JSON document by POST.
const OutagePath = "/outage"

// ListPath accepts a ListChange as a JSON document by POST.
const ListPath = "/list"

// Outage describes the faults that the platform injects; the zero value is none.
type Outage struct {
	// Down makes every store call fail with status 503.
	Down bool `json:"down"`
	// LoseReplies makes the store carry out appends but close the connection without an answer.
	LoseReplies bool `json:"lose-replies"`
	// SlowMillis is the delay before each store call is handled.
	SlowMillis int `json:"slow-millis"`
}

// ListChange describes how the list of instances and targets differs from the scene. Each change replaces the previous
// one.
type ListChange struct {
	// Gone names the instances and targets that are removed from the list.
	Gone []string `json:"gone"`
	// Leaving names the targets that the list shows as draining.
	Leaving []string `json:"leaving"`
}

// Platform serves the store over HTTP.
type Platform struct {
	// Address is the host and port to listen on.
	Address string
	Store   *Store
	// View returns a record of a topic as the instances of a zone see it. If nil, all zones see the stored record.
	View func(zone, topic string, record platform.NewestRecord) platform.NewestRecord
	// OnListChange is called with each list change that is posted; it may be nil if none are.
	OnListChange func(ctx context.Context, change ListChange) error

	outage atomic.Pointer[Outage]
	// restoring is the restore in progress; nil if there is none.
	restoring atomic.Pointer[restoring]
}

// Run serves requests until the context ends.
func (server *Platform) Run(ctx context.Context) error {
	server.outage.CompareAndSwap(nil, &Outage{})
	mux := http.NewServeMux()
	calls := map[string]http.HandlerFunc{
		"POST " + platform.AppendPath: server.append,
		"GET " + platform.ReadPath:    server.read,
		"GET " + platform.NewestPath:  server.newest,
		"POST " + platform.TrimPath:   server.trim,
		"POST " + platform.JoinPath:   server.join,
		"POST " + platform.LeavePath:  server.leave,
		"POST " + platform.CommitPath: server.commit,
		"GET " + platform.OwnersPath:  server.owners,
	}
	for call, handler := range calls {
		handler = server.withOutage(handler)
		if call == "POST "+platform.AppendPath {
			handler = server.withLateAppends(handler)
		}
		mux.HandleFunc(call, handler)
		// Instances may prefix each path with the name of their zone, to get their zone's view of the lists.
		method, path, _ := strings.Cut(call, " ")
		mux.HandleFunc(method+" /{zone}"+path, handler)
	}
	mux.HandleFunc("POST "+ListPath, server.changeList)
	mux.HandleFunc("POST "+OutagePath, server.setOutage)
	mux.HandleFunc("POST "+RestorePath, server.restore)
	return serve(ctx, server.Address, server.withEra(mux))
}

// withOutage delays calls and refuses them while the platform is down, including those that were delayed until then.
func (server *Platform) withOutage(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if delay := server.outage.Load().SlowMillis; delay > 0 {
			coltsfootlink.Sleep(request.Context(), millis(delay))
		}
		if server.down() {
			http.Error(writer, "{}", http.StatusServiceUnavailable)
			return
		}
		handler(writer, request)
	}
}

func (server *Platform) changeList(writer http.ResponseWriter, request *http.Request) {
	var change ListChange
	err := json.NewDecoder(request.Body).Decode(&change)
	if err == nil {
		err = server.OnListChange(request.Context(), change)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
	}
}

func (server *Platform) setOutage(writer http.ResponseWriter, request *http.Request) {
	outage := new(Outage)
	if err := json.NewDecoder(request.Body).Decode(outage); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.SetOutage(*outage)
}

// down reports whether the store refuses all calls.
func (server *Platform) down() bool {
	return server.outage.Load().Down || server.restoring.Load() != nil
}

// SetOutage replaces the injected faults.
func (server *Platform) SetOutage(outage Outage) { server.outage.Store(&outage) }

// serve answers HTTP requests on an address until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "standin: serve")
}

func reply(writer http.ResponseWriter, document any) {
	writer.Header().Set("Content-Type", "application/json")
	// A write error means that the connection is closed; the caller sees a truncated answer.
	_ = json.NewEncoder(writer).Encode(document)
}
