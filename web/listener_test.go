package web

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// filterFunc is a connection filter implemented by a function.
type filterFunc func(net.Conn, func(net.Conn)) net.Conn

func (filter filterFunc) Admit(conn net.Conn, giveBack func(net.Conn)) net.Conn {
	return filter(conn, giveBack)
}

func TestConnectionFilter(t *testing.T) {
	certFile, keyFile, roots := certificate(t)
	admits := func(conn net.Conn, _ func(net.Conn)) net.Conn { return conn }
	givesBack := func(conn net.Conn, giveBack func(net.Conn)) net.Conn {
		time.AfterFunc(10*time.Millisecond, func() { giveBack(conn) })
		return nil
	}
	closes := func(conn net.Conn, _ func(net.Conn)) net.Conn {
		_ = conn.Close()
		return nil
	}
	cases := map[string]struct {
		filter           filterFunc
		certificate, key string
		answered         bool
	}{
		"admitted":             {admits, "", "", true},
		"given back":           {givesBack, "", "", true},
		"given back, with TLS": {givesBack, certFile, keyFile, true},
		"not admitted":         {closes, "", "", false},
	}
	for name, test := range cases {
		Convey("a connection is served if the connection filter admits it or gives it back: "+name, t, func() {
			address := freeAddress(t)
			server := &Server{
				Part: "web", Address: address, Certificate: test.certificate, Key: test.key, ShutdownTimeout: time.Second, Log: zerolog.Nop(),
				Handler:          http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("whole")) }),
				ConnectionFilter: test.filter,
			}
			ctx, stop := context.WithCancel(t.Context())
			stopped := make(chan error, 1)
			go func() { stopped <- server.Run(ctx) }()
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
			scheme := "http://"
			if test.certificate != "" {
				scheme = "https://"
			}
			answer := ""
			for end := time.Now().Add(time.Second); answer == "" && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if response, err := client.Get(scheme + address); err == nil {
					body, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					answer = string(body)
				}
			}
			So(answer == "whole", ShouldEqual, test.answered)
			client.CloseIdleConnections()
			stop()
			So(<-stopped, ShouldBeNil)
		})
	}
	Convey("a connection given back after the server has stopped is closed", t, func() {
		listener := newReturnedListener(nil)
		So(listener.Close(), ShouldBeNil)
		near, far := net.Pipe()
		listener.put(near)
		_, err := far.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
}

func TestMaxConnAge(t *testing.T) {
	cases := map[string]struct {
		maxAge time.Duration
		closes bool
	}{
		"no limit":        {0, false},
		"below the limit": {time.Minute, false},
		"above the limit": {time.Nanosecond, true},
	}
	for name, test := range cases {
		Convey("a connection is closed with the first response after its maximum age: "+name, t, func() {
			address := freeAddress(t)
			server := &Server{
				Part: "web", Address: address, MaxConnAge: test.maxAge, ShutdownTimeout: time.Second, Log: zerolog.Nop(),
				Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("whole")) }),
			}
			ctx, stop := context.WithCancel(t.Context())
			stopped := make(chan error, 1)
			go func() { stopped <- server.Run(ctx) }()
			var response *http.Response
			var err error
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if response, err = http.Get("http://" + address); err == nil {
					break
				}
			}
			So(err, ShouldBeNil)
			_ = response.Body.Close()
			So(response.Close, ShouldEqual, test.closes)
			http.DefaultClient.CloseIdleConnections()
			stop()
			So(<-stopped, ShouldBeNil)
		})
	}
}
