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

// usher is a doorman of the tests.
type usher func(net.Conn, func(net.Conn)) net.Conn

// Admit asks the usher.
func (usher usher) Admit(conn net.Conn, back func(net.Conn)) net.Conn { return usher(conn, back) }

func TestDoorman(t *testing.T) {
	certFile, keyFile, roots := certificate(t)
	admits := func(conn net.Conn, _ func(net.Conn)) net.Conn { return conn }
	returns := func(conn net.Conn, back func(net.Conn)) net.Conn {
		time.AfterFunc(10*time.Millisecond, func() { back(conn) })
		return nil
	}
	closes := func(conn net.Conn, _ func(net.Conn)) net.Conn {
		_ = conn.Close()
		return nil
	}
	cases := map[string]struct {
		usher            usher
		certificate, key string
		answered         bool
	}{
		"admitted":                   {admits, "", "", true},
		"brought back":               {returns, "", "", true},
		"brought back, and with TLS": {returns, certFile, keyFile, true},
		"not admitted":               {closes, "", "", false},
	}
	for name, test := range cases {
		Convey("a connection is served if its doorman has it served: "+name, t, func() {
			address := freeAddress(t)
			server := &Server{
				Part: "web", Address: address, Certificate: test.certificate, Key: test.key, StopLimit: time.Second, Log: zerolog.Nop(),
				Handler:          http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("whole")) }),
				ConnectionFilter: test.usher,
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
	Convey("what is brought back after the end is closed", t, func() {
		returned := newReturned(nil)
		So(returned.Close(), ShouldBeNil)
		near, far := net.Pipe()
		returned.put(near)
		_, err := far.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
}

func TestLifeLimit(t *testing.T) {
	cases := map[string]struct {
		limit  time.Duration
		closes bool
	}{
		"any age": {0, false},
		"young":   {time.Minute, false},
		"old":     {time.Nanosecond, true},
	}
	for name, test := range cases {
		Convey("a connection ends with the answer after which it is too old: "+name, t, func() {
			address := freeAddress(t)
			server := &Server{
				Part: "web", Address: address, LifeLimit: test.limit, StopLimit: time.Second, Log: zerolog.Nop(),
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
