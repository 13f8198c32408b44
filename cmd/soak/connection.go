package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"coltsfootlink/standin"
)

// connection is a caller's connection to an instance; it carries one request at a time.
type connection struct {
	instance int
	conn     net.Conn
	reader   *bufio.Reader
}

// dialTimeout limits how long a caller waits for a new connection.
const dialTimeout = time.Second

func dial(ctx context.Context, instance int, address string) (*connection, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(dialTimeout))
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{instance: instance, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a caller received for one request.
type answer struct {
	status    int
	header    http.Header
	body      []byte
	firstByte time.Time
	// complete indicates that the answer ended as its framing announced, and reusable that the connection can carry
	// another request.
	complete, reusable bool
	// extra indicates that bytes arrived before the request was sent, or after its answer.
	extra bool
}

// exchange sends a request and reads as much of its answer as arrives before the deadline.
func (connection *connection) exchange(request *http.Request, deadline time.Time) answer {
	_ = connection.conn.SetDeadline(deadline)
	var answer answer
	if connection.reader.Buffered() > 0 {
		answer.extra = true
		return answer
	}
	if err := request.Write(connection.conn); err != nil {
		return answer
	}
	for {
		response, err := http.ReadResponse(connection.reader, request)
		if err != nil {
			return answer
		}
		if response.StatusCode >= http.StatusOK {
			answer.readFrom(response)
			answer.extra = answer.complete && connection.reader.Buffered() > 0
			return answer
		}
		_ = response.Body.Close()
	}
}

func (answer *answer) readFrom(response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	answer.status, answer.header = response.StatusCode, response.Header
	var body bytes.Buffer
	piece := make([]byte, 1)
	if count, err := response.Body.Read(piece); count > 0 || err == io.EOF {
		answer.firstByte = time.Now()
		body.Write(piece[:count])
	}
	_, err := io.Copy(&body, io.LimitReader(response.Body, answerBodyLimit))
	answer.body = body.Bytes()
	// An answer that is delimited only by the close of the connection may have been truncated anywhere.
	answer.complete = err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	answer.reusable = answer.complete && !response.Close
}

// defect describes what is wrong with the bytes of an answer to a request; empty if nothing is.
func (answer answer) defect(request *http.Request) string {
	id := answer.header.Get(standin.RequestIDHeader)
	stamp := answer.header.Get(standin.StampHeader)
	switch {
	case answer.extra:
		return "received bytes that belong to no answer"
	case answer.status == 0:
		return ""
	case id != "" && id != request.Header.Get(standin.RequestIDHeader):
		return "received the answer to request " + id
	case stamp == "":
		return ""
	}
	expected := answerBody(request.Header)
	if answer.status != http.StatusOK {
		expected = []byte("failed " + request.Header.Get(standin.RequestIDHeader))
	}
	switch {
	case answer.complete && !stampMatches(stamp, answer.status, answer.body):
		return fmt.Sprintf("complete answer of %d bytes with status %d does not match its stamp %s", len(answer.body), answer.status, stamp)
	case answer.complete && !bytes.Equal(answer.body, expected):
		return fmt.Sprintf("complete answer of %d bytes differs from the expected %d bytes", len(answer.body), len(expected))
	case !bytes.HasPrefix(expected, answer.body) && !trickled(expected, answer.body):
		return fmt.Sprintf("truncated answer of %d bytes is not a prefix of the expected one", len(answer.body))
	}
	return ""
}

// trickled reports whether a body that was cut off consists of all that was expected and the comments of a stream that does not
// end.
func trickled(expected, body []byte) bool {
	comments, found := bytes.CutPrefix(body, expected)
	return found && len(bytes.ReplaceAll(comments, []byte(trickle), nil)) == 0
}

// stampMatches reports whether a stamp was issued for a complete answer with the given status and body.
func stampMatches(stamp string, status int, body []byte) bool {
	return strings.HasSuffix(stamp, fmt.Sprintf(".%d.%s", status, digest(string(body))))
}
