package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// answeringInTurn writes one text after each request.
func answeringInTurn(texts ...string) script {
	return func(conn net.Conn, requests *bufio.Reader) {
		for _, text := range texts {
			if !readRequest(requests) {
				return
			}
			_, _ = conn.Write([]byte(text))
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

func TestAnswersWithoutIdentifierAreNotTakenForOurs(t *testing.T) {
	const rest = "Content-Length: 5\r\n\r\nother"
	const misdirected = "HTTP/1.1 421 Misdirected Request\r\n"
	cases := map[string]struct {
		kept   bool
		text   string
		status int
		body   string
	}{
		"on a kept connection":              {true, "HTTP/1.1 200 OK\r\n" + rest, http.StatusOK, "roof"},
		"a failure on a kept connection":    {true, "HTTP/1.1 500 Internal Server Error\r\n" + rest, http.StatusOK, "roof"},
		"from another on a kept connection": {true, misdirected + rest, http.StatusOK, "roof"},
		"with a signature":                  {false, "HTTP/1.1 200 OK\r\nAnswer-Stamp: s.1\r\n" + rest, http.StatusOK, "roof"},
		"with word that nothing has run":    {false, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + rest, http.StatusOK, "roof"},
		"but a failure on a new connection": {false, "HTTP/1.1 500 Internal Server Error\r\n" + rest, http.StatusInternalServerError, "other"},
		"but from another on a new one":     {false, misdirected + rest, http.StatusMisdirectedRequest, "other"},
		"but from another that says no run": {false, misdirected + "Not-Run: 1\r\n" + rest, http.StatusMisdirectedRequest, "other"},
	}
	for name, test := range cases {
		Convey("an answer that does not say whose it is, "+name, t, func() {
			texts := []string{test.text + whole}
			if test.kept {
				texts = []string{whole, test.text + whole}
			}
			target, connections := startTarget(t, answeringInTurn(texts...))
			client := newClient(t)
			for range len(texts) - 1 {
				_, err := call(t, client, target, true)
				So(err, ShouldBeNil)
			}
			answer, err := client.Call(t.Context(), "r-1", forwardTo(target, "plan"), true)
			So(err, ShouldBeNil)
			defer func() { _ = answer.Body.Close() }()
			body, err := io.ReadAll(answer.Body)
			So(err, ShouldBeNil)
			So(answer.Response.StatusCode, ShouldEqual, test.status)
			So(string(body), ShouldEqual, test.body)
			So(connections.Load(), ShouldEqual, 1)
		})
	}
}

func TestInterimAnswersAreNoStrays(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	const stray = "HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nContent-Length: 5\r\n\r\nother"
	cases := map[string]struct {
		text string
		fail bool
	}{
		"as many as are allowed":              {strings.Repeat(interim, maxInterim) + whole, false},
		"one more":                            {strings.Repeat(interim, maxInterim+1) + whole, true},
		"some, and answers of other requests": {strings.Repeat(interim+stray, maxStrays-1) + interim + whole, false},
		"some, and too many of others":        {strings.Repeat(interim+stray, maxStrays) + whole, true},
	}
	for name, test := range cases {
		Convey("interim answers do not count among those of other requests: "+name, t, func() {
			target, _ := startTarget(t, answering(test.text))
			body, err := call(t, newClient(t), target, true)
			So(err != nil, ShouldEqual, test.fail)
			So(body == "roof", ShouldEqual, !test.fail)
		})
	}
}
