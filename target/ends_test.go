package target

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

func TestSuccessesWithoutTheirMarkerAreNotWhole(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		err    error
	}{
		"the usual one":        {http.StatusOK, "tokens", ErrUnmarked},
		"something was made":   {http.StatusCreated, "tokens", ErrUnmarked},
		"from somewhere else":  {http.StatusNonAuthoritativeInfo, "tokens", ErrUnmarked},
		"a part":               {http.StatusPartialContent, "tokens", ErrUnmarked},
		"an empty one":         {http.StatusCreated, "", ErrUnmarked},
		"one with its marker":  {http.StatusCreated, "tokens " + marker, nil},
		"one that has no body": {http.StatusNoContent, "", nil},
		"a failure":            {http.StatusConflict, "no roof", nil},
	}
	for name, test := range cases {
		Convey("a success ends with its marker: "+name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.status)
				_, _ = writer.Write([]byte(test.body))
			}))
			defer server.Close()
			answer, err := NewClient(coltsfootlink.SystemClock{}).Call(t.Context(), targetOf(server), marked, requestOf(true))
			So(err, ShouldBeNil)
			defer func() { _ = answer.Body.Close() }()
			_, err = io.ReadAll(answer.Body)
			So(errors.Is(err, test.err), ShouldBeTrue)
		})
	}
}
