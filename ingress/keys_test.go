package ingress

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/catalog"
	"coltsfootlink/platform"
)

// startKeyedService starts an ingress with a routing table and one target that answers every request.
func startKeyedService(t *testing.T, table coltsfootlink.RoutingTable) *httptest.Server {
	service := newService(t, &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", succeeded)}}, false)
	service.Gate.setCatalog(coltsfootlink.Catalog{}.WithTable(table))
	return httptest.NewServer(service)
}

// TestWithdrawingTheLastKeyOpensNoRoute guards against a configuration whose tenants have no keys being taken for one without
// tenants.
func TestWithdrawingTheLastKeyOpensNoRoute(t *testing.T) {
	cases := map[string]struct {
		tenants string
		// served are the keys whose requests are served; "" stands for none.
		served map[string]bool
	}{
		"two tenants with keys":       {`,"tenants":[{"name":"one","api_keys":["k1"]},{"name":"two","api_keys":["k2"]}]`, map[string]bool{"k1": true, "k2": true}},
		"one tenant has lost its key": {`,"tenants":[{"name":"one","api_keys":[]},{"name":"two","api_keys":["k2"]}]`, map[string]bool{"k2": true}},
		"both have lost their keys":   {`,"tenants":[{"name":"one","api_keys":[]},{"name":"two"}]`, nil},
		"an empty key":                {`,"tenants":[{"name":"one","api_keys":[""]}]`, nil},
		"an empty list of tenants":    {`,"tenants":[]`, nil},
		"null for the tenants":        {`,"tenants":null`, nil},
		"no tenants":                  {"", map[string]bool{"k1": true, "k2": true, "never": true, "": true}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			value := `{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":1000,"service":"p"},
				{"name":"open","host":"h","path_prefix":"/open/","kind":"safe","timeout_ms":1000,"service":"p","public":true}]` + test.tenants + `}`
			fact, err := platform.Decoder{}.Decode(coltsfootlink.CatalogRecord{Stream: coltsfootlink.OperatorStream, Key: "config", Value: []byte(value)})
			So(err, ShouldBeNil)
			server := startKeyedService(t, fact.(coltsfootlink.TableFact).Table)
			defer server.Close()
			for _, key := range []string{"k1", "k2", "never", ""} {
				Convey(fmt.Sprintf("key %q", key), func() {
					status, _, _, err := request(t, server.URL, "/a/b", "", key)
					So(err, ShouldBeNil)
					So(status == http.StatusOK, ShouldEqual, test.served[key])
					So(status == http.StatusUnauthorized, ShouldEqual, !test.served[key])
				})
			}
			Convey("a public route needs no key", func() {
				status, _, _, err := request(t, server.URL, "/open/b", "", "")
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
			})
		})
	}
}

// TestWithdrawnKeysStayWithdrawn guards against a withdrawn key being accepted again, or a key being needed no longer, after
// configurations have reached an instance late, out of order or unreadable.
func TestWithdrawnKeysStayWithdrawn(t *testing.T) {
	const (
		bothKeys  = `,"tenants":[{"name":"one","api_keys":["k1"]},{"name":"two","api_keys":["k2"]}]`
		secondKey = `,"tenants":[{"name":"one","api_keys":[]},{"name":"two","api_keys":["k2"]}]`
		onlyTwo   = `,"tenants":[{"name":"two","api_keys":["k2"]}]`
		noKeys    = `,"tenants":[{"name":"one","api_keys":[]},{"name":"two","api_keys":[]}]`
	)
	config := func(offset uint64, tenants string) coltsfootlink.CatalogRecord {
		value := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":1000,"service":"p"}]%s}`, offset, tenants)
		return coltsfootlink.CatalogRecord{Stream: coltsfootlink.OperatorStream, Position: coltsfootlink.Position{Offset: offset}, Key: "config", Value: []byte(value)}
	}
	unreadable := func(offset uint64) coltsfootlink.CatalogRecord {
		return coltsfootlink.CatalogRecord{Stream: coltsfootlink.OperatorStream, Position: coltsfootlink.Position{Offset: offset}, Key: "config", Value: []byte(`{"version":9,"tenants":"?"`)}
	}
	cases := map[string]struct {
		records []coltsfootlink.CatalogRecord
		served  map[string]bool
	}{
		"a peer that was cut off sends the old configuration":  {[]coltsfootlink.CatalogRecord{config(1, bothKeys), config(2, secondKey), config(1, bothKeys)}, map[string]bool{"k2": true}},
		"an instance that starts hears of the old one first":   {[]coltsfootlink.CatalogRecord{config(1, bothKeys), config(3, noKeys)}, nil},
		"an instance that starts hears of the new one first":   {[]coltsfootlink.CatalogRecord{config(3, noKeys), config(1, bothKeys), config(2, secondKey)}, nil},
		"a tenant is dropped from the list":                    {[]coltsfootlink.CatalogRecord{config(1, bothKeys), config(2, onlyTwo)}, map[string]bool{"k2": true}},
		"the newest record cannot be read":                     {[]coltsfootlink.CatalogRecord{config(1, bothKeys), config(2, noKeys), unreadable(3)}, nil},
		"an old record comes after one that cannot be read":    {[]coltsfootlink.CatalogRecord{config(2, noKeys), unreadable(3), config(1, bothKeys)}, nil},
		"the withdrawal comes after one that cannot be read":   {[]coltsfootlink.CatalogRecord{config(1, bothKeys), unreadable(3), config(2, noKeys)}, nil},
		"the record of the configuration is removed":           {[]coltsfootlink.CatalogRecord{config(1, bothKeys), config(2, noKeys), {Stream: coltsfootlink.OperatorStream, Position: coltsfootlink.Position{Offset: 3}, Key: "config", Removed: true}}, nil},
		"keys are given out again after all were withdrawn":    {[]coltsfootlink.CatalogRecord{config(1, bothKeys), config(2, noKeys), config(3, secondKey)}, map[string]bool{"k2": true}},
		"the withdrawal arrives again before the old one does": {[]coltsfootlink.CatalogRecord{config(2, noKeys), config(2, noKeys), config(1, bothKeys)}, nil},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			state := catalog.NewState(platform.Decoder{})
			for _, record := range test.records {
				state, _, _ = state.WithRecord(time.Now(), record)
			}
			server := startKeyedService(t, state.Catalog().Table)
			defer server.Close()
			for _, key := range []string{"k1", "k2", "never", ""} {
				status, _, _, err := request(t, server.URL, "/a/b", "", key)
				So(err, ShouldBeNil)
				So(status == http.StatusOK, ShouldEqual, test.served[key])
				So(status == http.StatusUnauthorized, ShouldEqual, !test.served[key])
			}
		})
	}
}
