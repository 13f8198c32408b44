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
	room := func(room bool) func() bool { return func() bool { return room } }
	cases := map[string]struct {
		known, leaves bool
		state         pressure.State
		room          func() bool
		status        int
	}{
		"nothing is known yet":             {false, false, pressure.State{}, nil, http.StatusServiceUnavailable},
		"calm":                             {true, false, pressure.State{}, nil, http.StatusOK},
		"it leaves":                        {true, true, pressure.State{}, nil, http.StatusServiceUnavailable},
		"overloaded":                       {true, false, overloaded, nil, http.StatusServiceUnavailable},
		"overloaded, and others have room": {true, false, overloaded, room(true), http.StatusServiceUnavailable},
		"overloaded, as all others are":    {true, false, overloaded, room(false), http.StatusOK},
		"overloaded, as all others, and it leaves": {true, true, overloaded, room(false), http.StatusServiceUnavailable},
		"calm, and others have no room":            {true, false, pressure.State{}, room(false), http.StatusOK},
	}
	for name, test := range cases {
		Convey("an instance is ready while callers do not do better elsewhere: "+name, t, func() {
			gate := &Gate{Inbox: mailbox.NewDeliveries(), Log: zerolog.Nop(), Room: test.room}
			gate.follow(coltsfootlink.Catalog{TableLoaded: test.known})
			gate.pressure.Store(&test.state)
			gate.leaving.Store(test.leaves)
			recorder := httptest.NewRecorder()
			gate.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			So(recorder.Code, ShouldEqual, test.status)
		})
	}
}
