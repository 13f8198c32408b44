package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/rig"
)

// TestKeysAreWithdrawnThoughStoreConnectionsAreSilent guards against gateways that go on with an old configuration, because all
// connections to the store went silent at once and nobody notices before all waits of the readers are over.
func TestKeysAreWithdrawnThoughStoreConnectionsAreSilent(t *testing.T) {
	const (
		// contact is how long after a fault instances count as in touch again, and apply how long a change may take.
		contact = 3 * time.Second
		apply   = 2 * time.Second
	)
	Convey("a withdrawn key is refused by all gateways in time", t, func() {
		bed := startTestbedWith(t, rig.GatewayFleet{Zones: zones[:2], Proxied: true})
		// Lets the readers wait for news.
		time.Sleep(time.Second)
		silentAt := time.Now()
		for _, gateway := range bed.gateways {
			gateway.StoreProxy.SilenceOpen()
		}
		time.Sleep(300 * time.Millisecond)
		bed.configure(t, "new-key")
		due := time.Now().Add(apply)
		if inTouch := silentAt.Add(contact); inTouch.After(due) {
			due = inTouch
		}
		time.Sleep(time.Until(due))
		for index := range bed.gateways {
			status, _, err := bed.call(index, "/safe/a", fmt.Sprint("old-", index), "key")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusUnauthorized)
			status, _, err = bed.call(index, "/safe/a", fmt.Sprint("new-", index), "new-key")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
		}
	})
}
