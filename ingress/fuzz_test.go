package ingress

import (
	"bufio"
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/platform"
	"coltsfootlink/upstream"
)

// FuzzCopyEvents forwards event streams; what reaches the caller is the beginning of the stream, in complete events, and the
// whole stream if it ends as one.
func FuzzCopyEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"))
	f.Add([]byte("id: 1\r\n\r\nid: 1\r\n\r\n"))
	f.Add([]byte("id: 1\n\nid: 2\nda"))
	f.Add([]byte(strings.Repeat("x", 9000)))
	f.Fuzz(func(t *testing.T, text []byte) {
		recorder := httptest.NewRecorder()
		current := &exchange{
			service: &Service{Clock: coltsfootlink.SystemClock{}, Log: zerolog.Nop()}, writer: recorder,
			incoming: httptest.NewRequest(http.MethodPost, "/", nil),
		}
		answer := upstream.Answer{Head: platform.AnswerHead{MediaType: platform.EventStream}, Response: &http.Response{StatusCode: http.StatusOK, Header: make(http.Header)}}
		err := current.copyEvents(answer, bufio.NewReaderSize(bytes.NewReader(text), streamBytes))
		body := recorder.Body.Bytes()
		if !bytes.HasPrefix(text, body) || err == nil && len(body) != len(text) {
			t.Fatalf("forwarded %q of %q with error %v", body, text, err)
		}
	})
}
