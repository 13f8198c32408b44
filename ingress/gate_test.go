package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/pressure"
)

func TestReadiness(t *testing.T) {
	var overloaded pressure.State
	for range 30 {
		overloaded = overloaded.WithWait(time.Second)
	}
	capacity := func(has bool) func() bool { return func() bool { return has } }
	cases := map[string]struct {
		tableLoaded, leaving bool
		state                pressure.State
		zoneHasCapacity      func() bool
		status               int
	}{
		"no configuration has been loaded":             {false, false, pressure.State{}, nil, http.StatusServiceUnavailable},
		"not overloaded":                               {true, false, pressure.State{}, nil, http.StatusOK},
		"shutting down":                                {true, true, pressure.State{}, nil, http.StatusServiceUnavailable},
		"overloaded":                                   {true, false, overloaded, nil, http.StatusServiceUnavailable},
		"overloaded, the zone has capacity":            {true, false, overloaded, capacity(true), http.StatusServiceUnavailable},
		"overloaded, the zone has none":                {true, false, overloaded, capacity(false), http.StatusOK},
		"overloaded, the zone has none, shutting down": {true, true, overloaded, capacity(false), http.StatusServiceUnavailable},
		"not overloaded, the zone has none":            {true, false, pressure.State{}, capacity(false), http.StatusOK},
	}
	for name, test := range cases {
		Convey("an instance is ready unless callers should go to other instances: "+name, t, func() {
			gate := &Gate{Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop(), ZoneHasCapacity: test.zoneHasCapacity}
			gate.setCatalog(coltsfootlink.Catalog{TableLoaded: test.tableLoaded})
			gate.pressure.Store(&test.state)
			gate.leaving.Store(test.leaving)
			recorder := httptest.NewRecorder()
			gate.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			So(recorder.Code, ShouldEqual, test.status)
		})
	}
}
