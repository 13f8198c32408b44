package web

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// certificate writes a certificate for 127.0.0.1 and its key to files, and returns their paths and a pool with the
// certificate.
func certificate(t *testing.T) (certFile, keyFile string, roots *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: signed})
	certFile, keyFile = filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	for file, content := range map[string][]byte{certFile: text, keyFile: pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret})} {
		if err := os.WriteFile(file, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	roots = x509.NewCertPool()
	roots.AppendCertsFromPEM(text)
	return certFile, keyFile, roots
}

func TestGracefulShutdown(t *testing.T) {
	certFile, keyFile, roots := certificate(t)
	cases := map[string]struct {
		scheme, certificate, key string
	}{
		"plain":    {"http", "", ""},
		"with TLS": {"https", certFile, keyFile},
	}
	for name, test := range cases {
		Convey("a request that is running when the server stops is completed: "+name, t, func() {
			begun, finish := make(chan struct{}), make(chan struct{})
			address := freeAddress(t)
			server := &Server{
				Part: "web", Address: address, Certificate: test.certificate, Key: test.key, ShutdownTimeout: time.Minute, Log: zerolog.Nop(),
				Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					if request.URL.Path == "/slow" {
						close(begun)
						<-finish
					}
					_, _ = writer.Write([]byte("whole"))
				}),
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Run(ctx) }()
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
			for {
				response, err := client.Get(test.scheme + "://" + address + "/")
				if err == nil {
					_ = response.Body.Close()
					break
				}
				time.Sleep(time.Millisecond)
			}
			answer := make(chan string, 1)
			go func() {
				response, err := client.Get(test.scheme + "://" + address + "/slow")
				if err != nil {
					answer <- err.Error()
					return
				}
				body, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				answer <- string(body)
			}()
			<-begun
			stop()
			close(finish)
			So(<-answer, ShouldEqual, "whole")
			So(<-stopped, ShouldBeNil)
		})
	}
}

func TestSameToken(t *testing.T) {
	cases := map[string]struct {
		header string
		same   bool
	}{
		"right token":                   {"Bearer secret", true},
		"wrong token":                   {"Bearer guess", false},
		"no header":                     {"", false},
		"another authentication scheme": {"Basic secret", false},
	}
	for name, test := range cases {
		Convey(name, t, func() { So(SameToken(BearerToken(test.header), "secret"), ShouldEqual, test.same) })
	}
}

// TestLongRequestHeadsAreRefused guards against callers whose heads take the memory of an instance.
func TestLongRequestHeadsAreRefused(t *testing.T) {
	cases := map[string]struct{ bytes, status int }{
		"as long as callers may send": {maxHeaderBytes / 2, http.StatusOK},
		"too long":                    {2 * maxHeaderBytes, http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, test := range cases {
		Convey("the head of a request is "+name, t, func() {
			address := freeAddress(t)
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			server := &Server{Part: "web", Address: address, ShutdownTimeout: time.Second, Log: zerolog.Nop(), Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			go func() {
				defer close(ended)
				_ = server.Run(ctx)
			}()
			defer func() {
				stop()
				<-ended
			}()
			var response *http.Response
			for end := time.Now().Add(2 * time.Second); response == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
				request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
				So(err, ShouldBeNil)
				request.Header.Set("Long", strings.Repeat("x", test.bytes))
				response, _ = new(http.Transport).RoundTrip(request)
			}
			So(response, ShouldNotBeNil)
			defer func() { _ = response.Body.Close() }()
			So(response.StatusCode, ShouldEqual, test.status)
		})
	}
}
