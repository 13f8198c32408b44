package ingress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHalfAnswersOfCrashedTargetsAreNotComplete guards against forwarding what a crashed target has sent of an answer without
// a length as the complete answer (review/4).
func TestHalfAnswersOfCrashedTargetsAreNotComplete(t *testing.T) {
	const unframed = stamped + "\r\nro"
	long := strings.Repeat("x", bufferedAnswerBytes+smallBytes)
	cases := map[string]struct {
		path, text string
		down       bool
		status     int
		body       string
	}{
		"repeatable, the target has crashed":                   {"/safe/a", unframed, true, http.StatusOK, "roof"},
		"repeatable, the target lives":                         {"/safe/a", unframed, false, http.StatusOK, "ro"},
		"not repeatable, the target has crashed":               {"/unsafe/a", unframed, true, http.StatusBadGateway, ""},
		"not repeatable, the target lives":                     {"/unsafe/a", unframed, false, http.StatusOK, "ro"},
		"no attempt left, the target has crashed":              {"/once/a", unframed, true, http.StatusBadGateway, ""},
		"an answer with a length, and the target has crashed":  {"/unsafe/a", succeeded, true, http.StatusOK, "roof"},
		"an answer without a body, and the target has crashed": {"/unsafe/a", "HTTP/1.1 204 No Content\r\nAttempt-Id: r-1\r\nAnswer-Stamp: s.1\r\n\r\n", true, http.StatusNoContent, ""},
		"longer than the buffer, the target has crashed":       {"/unsafe/a", stamped + "\r\n" + long, true, 0, ""},
		"longer than the buffer, the target lives":             {"/unsafe/a", stamped + "\r\n" + long, false, http.StatusOK, long},
	}
	for name, test := range cases {
		Convey("an answer that ends with its connection: "+name, t, func() {
			dispatcher := &fakeDispatcher{targets: []*fakeTarget{startCrashing(t, "t", test.text, test.down), startTarget(t, "u", succeeded)}}
			server := httptest.NewServer(newService(t, dispatcher, true))
			defer server.Close()
			status, _, body, err := request(t, server.URL, test.path, "plan", "")
			if test.status == 0 {
				So(err, ShouldNotBeNil)
				return
			}
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(body, ShouldEqual, test.body)
		})
	}
}
