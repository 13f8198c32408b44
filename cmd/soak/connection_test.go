package main

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/standin"
)

func TestDefectsOfCutStreams(t *testing.T) {
	request := &http.Request{Header: http.Header{serialHeader: {"s"}, sizeHeader: {"3"}, streamHeader: {"1"}}}
	request.Header.Set(standin.RequestIDHeader, "r")
	whole := string(events("s", 0, 3))
	cases := map[string]struct {
		body   string
		defect bool
	}{
		"its beginning":                      {whole[:20], false},
		"all of it":                          {whole, false},
		"all of it and comments":             {whole + ":\n:\n", false},
		"all of it and something else":       {whole + ":\nx", true},
		"its beginning and comments":         {whole[:20] + ":\n", true},
		"another stream's events":            {string(events("t", 0, 1)), true},
		"all of it and an event of its own":  {whole + string(event("s", 4)), true},
		"all of it and part of a comment":    {whole + ":", true},
		"its beginning, then another stream": {whole[:len(event("s", 1))] + string(event("t", 2)), true},
	}
	for name, test := range cases {
		Convey("a stream that was cut off holds nothing but what its target sent: "+name, t, func() {
			received := answer{status: http.StatusOK, body: []byte(test.body), header: http.Header{}}
			received.header.Set(standin.StampHeader, "stamp")
			So(received.defect(request) != "", ShouldEqual, test.defect)
		})
	}
}
