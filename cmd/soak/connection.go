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

// connection is one connection of a caller to an instance; it carries one request at a time.
type connection struct {
	instance int
	link     net.Conn
	reader   *bufio.Reader
}

// dialLimit is how long a caller waits for a new connection.
const dialLimit = time.Second

func dial(ctx context.Context, instance int, address string) (*connection, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(dialLimit))
	defer cancel()
	link, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{instance: instance, link: link, reader: bufio.NewReader(link)}, nil
}

// answer is what came back on a connection.
type answer struct {
	status int
	header http.Header
	body   []byte
	first  time.Time
	// complete says that the answer ended as though whole, and keeps that the connection can be used again.
	complete, keeps bool
	// extra says that bytes came after the answer.
	extra bool
}

// exchange sends a request and reads its answer, as far as it comes before the deadline.
func (held *connection) exchange(request *http.Request, deadline time.Time) answer {
	_ = held.link.SetDeadline(deadline)
	var got answer
	if held.reader.Buffered() > 0 {
		got.extra = true
		return got
	}
	if err := request.Write(held.link); err != nil {
		return got
	}
	for {
		response, err := http.ReadResponse(held.reader, request)
		if err != nil {
			return got
		}
		if response.StatusCode >= http.StatusOK {
			got.read(response)
			got.extra = got.complete && held.reader.Buffered() > 0
			return got
		}
		_ = response.Body.Close()
	}
}

func (got *answer) read(response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	got.status, got.header = response.StatusCode, response.Header
	var body bytes.Buffer
	piece := make([]byte, 1)
	if count, err := response.Body.Read(piece); count > 0 || err == io.EOF {
		got.first = time.Now()
		body.Write(piece[:count])
	}
	_, err := io.Copy(&body, io.LimitReader(response.Body, answerBodyLimit))
	got.body = body.Bytes()
	// An answer whose length is the connection's end may have been cut anywhere.
	got.complete = err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	got.keeps = got.complete && !response.Close
}

// fault tells what is wrong with the bytes of an answer; empty if nothing is.
func (got answer) fault(request *http.Request) string {
	id := got.header.Get(standin.RequestIDHeader)
	stamp := got.header.Get(standin.StampHeader)
	switch {
	case got.extra:
		return "bytes came that no request had asked for"
	case got.status == 0:
		return ""
	case id != "" && id != request.Header.Get(standin.RequestIDHeader):
		return "the answer is to " + id
	case stamp == "":
		return ""
	}
	whole := answerBody(request.Header)
	if got.status != http.StatusOK {
		whole = []byte("failed " + request.Header.Get(standin.RequestIDHeader))
	}
	switch {
	case got.complete && !signed(stamp, got.status, got.body):
		return fmt.Sprintf("a complete answer of %d bytes with status %d is not what %s signs", len(got.body), got.status, stamp)
	case got.complete && !bytes.Equal(got.body, whole):
		return fmt.Sprintf("a complete answer has %d bytes that are not the %d asked for", len(got.body), len(whole))
	case !bytes.HasPrefix(whole, got.body):
		return fmt.Sprintf("an incomplete answer has %d bytes that do not begin the whole one", len(got.body))
	}
	return ""
}

// signed says that a stamp is that of a whole answer with a status and a body.
func signed(stamp string, status int, body []byte) bool {
	return strings.HasSuffix(stamp, fmt.Sprintf(".%d.%s", status, digest(string(body))))
}
