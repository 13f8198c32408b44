package target

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
	"coltsfootlink/loopback"
)

// TestResetsDuringTheUpload guards against half an answer without a length that passes for a whole one, because the write of the
// request was told of the reset.
func TestResetsDuringTheUpload(t *testing.T) {
	Convey("an answer without a length is reset while the request is still being sent", t, func() {
		address, err := loopback.Serve(t.Context(), func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nroo")
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		So(err, ShouldBeNil)
		client := NewClient(coltsfootlink.SystemClock{})
		request := requestOf(true)
		request.Body = bytes.Repeat([]byte("x"), 12<<20)
		for range 60 {
			answer, err := client.Call(t.Context(), coltsfootlink.Target{Name: "t", Address: address}, poolWithoutMarker, request)
			if err != nil {
				// The reset may overtake the head.
				continue
			}
			_, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			So(err, ShouldNotBeNil)
		}
	})
}
