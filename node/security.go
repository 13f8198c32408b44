package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"coltsfootlink/settings"
)

// security holds the transport credentials for the connections between instances.
type security struct {
	server, client credentials.TransportCredentials
}

// newSecurity loads the certificate files. If none are set, the connections are not encrypted.
func newSecurity(listener settings.Listener) (security, error) {
	if listener.Certificate == "" {
		return security{server: insecure.NewCredentials(), client: insecure.NewCredentials()}, nil
	}
	pair, err := tls.LoadX509KeyPair(listener.Certificate, listener.Key)
	if err != nil {
		return security{}, errors.Wrap(err, "node: certificate for connections between instances")
	}
	roots, err := certPool(listener.Authority)
	if err != nil {
		return security{}, err
	}
	return security{
		server: credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}),
		client: credentials.NewTLS(&tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}),
	}, nil
}

// certPool returns the certificate authorities in a file. Without a file it returns nil, which stands for the system's
// own authorities.
func certPool(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "node: certificate authorities for connections between instances")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, errors.Newf("node: %s contains no certificate in PEM format, expected certificate authorities", file)
	}
	return roots, nil
}
