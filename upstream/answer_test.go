package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

// answerInTurn writes the first text after the first request, the second after the second, and so on.
func answerInTurn(texts ...string) behaviour {
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

func TestAnswersWithoutRequestID(t *testing.T) {
	const rest = "Content-Length: 5\r\n\r\nother"
	const misdirected = "HTTP/1.1 421 Misdirected Request\r\n"
	cases := map[string]struct {
		reused bool
		text   string
		status int
		body   string
	}{
		"on a reused connection":                               {true, "HTTP/1.1 200 OK\r\n" + rest, http.StatusOK, "roof"},
		"an error on a reused connection":                      {true, "HTTP/1.1 500 Internal Server Error\r\n" + rest, http.StatusOK, "roof"},
		"421 on a reused connection":                           {true, misdirected + rest, http.StatusOK, "roof"},
		"signed, on a new connection":                          {false, "HTTP/1.1 200 OK\r\nAnswer-Stamp: s.1\r\n" + rest, http.StatusOK, "roof"},
		"reporting that it was not run, on a new connection":   {false, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + rest, http.StatusOK, "roof"},
		"an error on a new connection, which is accepted":      {false, "HTTP/1.1 500 Internal Server Error\r\n" + rest, http.StatusInternalServerError, "other"},
		"421 on a new connection, which is accepted":           {false, misdirected + rest, http.StatusMisdirectedRequest, "other"},
		"421 reporting that it was not run, which is accepted": {false, misdirected + "Not-Run: 1\r\n" + rest, http.StatusMisdirectedRequest, "other"},
	}
	for name, test := range cases {
		Convey("an answer without a request ID is skipped unless it must be the one to the request: "+name, t, func() {
			texts := []string{test.text + completeAnswer}
			if test.reused {
				texts = []string{completeAnswer, test.text + completeAnswer}
			}
			target, connections := startTarget(t, answerInTurn(texts...))
			client := newClient(t)
			for range len(texts) - 1 {
				_, err := call(t, client, target, true)
				So(err, ShouldBeNil)
			}
			answer, err := client.Call(t.Context(), "r-1", requestTo(target, "plan"), true)
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

func TestInterimAnswersDoNotCountAsSkipped(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	const other = "HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nContent-Length: 5\r\n\r\nother"
	cases := map[string]struct {
		text string
		fail bool
	}{
		"the maximum of interim answers":                           {strings.Repeat(interim, maxInterimAnswers) + completeAnswer, false},
		"one more than the maximum":                                {strings.Repeat(interim, maxInterimAnswers+1) + completeAnswer, true},
		"between as many answers to other requests as are skipped": {strings.Repeat(interim+other, maxAnswersRead-1) + interim + completeAnswer, false},
		"between too many answers to other requests":               {strings.Repeat(interim+other, maxAnswersRead) + completeAnswer, true},
	}
	for name, test := range cases {
		Convey("interim answers do not count as answers to other requests: "+name, t, func() {
			target, _ := startTarget(t, answerEach(test.text))
			body, err := call(t, newClient(t), target, true)
			So(err != nil, ShouldEqual, test.fail)
			So(body == "roof", ShouldEqual, !test.fail)
		})
	}
}

// TestHeadsOfManyLinesAreTooLong guards against short header lines that take many times their length in memory.
func TestHeadsOfManyLinesAreTooLong(t *testing.T) {
	cases := map[string]struct {
		lines int
		fails bool
	}{
		"as many as are read":        {maxHeadLines - 10, false},
		"several reads beyond that":  {4 * readBytes / len("A: 1234\r\n"), true},
		"the largest head in bytes":  {maxHeadBytes / len("A: 1234\r\n"), true},
		"a few lines, and long ones": {0, false},
	}
	for name, test := range cases {
		Convey("the head of an answer has many lines: "+name, t, func() {
			lines := "Long: " + strings.Repeat("x", 3*readBytes) + "\r\n"
			for number := range test.lines {
				lines += fmt.Sprintf("A%d: 1234\r\n", number)
			}
			target, _ := startTarget(t, answerEach(strings.Replace(completeAnswer, "\r\n", "\r\n"+lines, 1)))
			body, err := call(t, newClient(t), target, true)
			So(err != nil, ShouldEqual, test.fails)
			So(body == "roof", ShouldEqual, !test.fails)
			if test.fails {
				var failure *coltsfootlink.CallError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Reason, ShouldEqual, coltsfootlink.AnswerTooLong)
			}
		})
	}
}
