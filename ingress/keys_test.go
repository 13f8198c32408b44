package ingress

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/platform"
)

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
			service := newService(t, &fakeDispatcher{targets: []*fakeTarget{startTarget(t, "t", succeeded)}}, false)
			service.Gate.setCatalog(coltsfootlink.Catalog{}.WithTable(fact.(coltsfootlink.TableFact).Table))
			server := httptest.NewServer(service)
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
