package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"coltsfootlink"
)

// scriptedConn is a connection on which a text arrives.
type scriptedConn struct {
	net.Conn
	text io.Reader
}

// Read reads the text.
func (conn scriptedConn) Read(buffer []byte) (int, error) { return conn.text.Read(buffer) }

// FuzzReceive reads answers of targets; the one that is taken is that to the request, or has no identifier on a new
// connection.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nContent-Length: 5\r\n\r\nother"+completeAnswer), true)
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\n"+completeAnswer), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"), false)
	f.Fuzz(func(t *testing.T, text []byte, reused bool) {
		received := &conn{Conn: scriptedConn{text: bytes.NewReader(text)}, headBytesLeft: -1, reused: reused}
		received.reader = bufio.NewReaderSize(received, readBytes)
		answer, err := (&Client{Clock: coltsfootlink.SystemClock{}}).receive(received, "r-1", http.MethodPost, make(chan error))
		if err != nil {
			return
		}
		if answer.Head.ID != "r-1" && (answer.Head.ID != "" || reused) {
			t.Fatalf("took the answer to %q", answer.Head.ID)
		}
		_, _ = io.Copy(io.Discard, answer.Response.Body)
	})
}
