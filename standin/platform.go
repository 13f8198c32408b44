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

// OutagePath takes an Outage as a posted JSON document.
const OutagePath = "/outage"

// ListPath takes a ListChange as a posted JSON document.
const ListPath = "/list"

// Outage is how the platform misbehaves.
type Outage struct {
	// Down refuses everything.
	Down bool `json:"down"`
	// LoseReplies carries appends out, but closes the connection without an answer.
	LoseReplies bool `json:"lose-replies"`
	// SlowMillis is how late each call is taken up.
	SlowMillis int `json:"slow-millis"`
}

// ListChange replaces the change before.
type ListChange struct {
	// Gone are the instances and targets that the list no longer names.
	Gone []string `json:"gone"`
	// Leaving are the targets that the list shows as leaving.
	Leaving []string `json:"leaving"`
}

// Platform serves the store over HTTP.
type Platform struct {
	// Address is the host and port to listen on.
	Address string
	Store   *Store
	// View returns a record of a topic as the instances of a zone see it; nil if all see the same.
	View func(zone, topic string, record platform.NewestRecord) platform.NewestRecord
	// Change is told of changes of the list; nil if it does not change.
	Change func(ctx context.Context, change ListChange) error

	outage atomic.Pointer[Outage]
}

// Run serves until the context ends.
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
		mux.HandleFunc(call, server.unlessDown(handler))
		// The instances of a zone may put the zone's name before each path.
		method, path, _ := strings.Cut(call, " ")
		mux.HandleFunc(method+" /{zone}"+path, server.unlessDown(handler))
	}
	mux.HandleFunc("POST "+ListPath, server.changeList)
	mux.HandleFunc("POST "+OutagePath, server.setOutage)
	return serve(ctx, server.Address, mux)
}

// unlessDown refuses calls while the platform is down, also those that were held meanwhile.
func (server *Platform) unlessDown(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if slow := server.outage.Load().SlowMillis; slow > 0 {
			coltsfootlink.Sleep(request.Context(), millis(slow))
		}
		if server.outage.Load().Down {
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
		err = server.Change(request.Context(), change)
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

// SetOutage makes the platform misbehave.
func (server *Platform) SetOutage(outage Outage) { server.outage.Store(&outage) }

// serve answers requests on an address until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "standin")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "standin")
}

func reply(writer http.ResponseWriter, document any) {
	writer.Header().Set("Content-Type", "application/json")
	// The caller sees a broken answer if the connection is gone.
	_ = json.NewEncoder(writer).Encode(document)
}
