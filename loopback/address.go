// Package loopback provides free addresses and simple servers on the loopback interface, for tests and measurements.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// maxAttempts is the maximum number of loopback addresses that FreeAddress tries.
const maxAttempts = 16

// FreeAddress returns an address with an unused port. The host is random within 127.0.0.0/8, so that another process is
// unlikely to take the port before the caller listens on it.
func FreeAddress() (string, error) {
	var lastErr error
	for range maxAttempts {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			lastErr = err
			continue
		}
		address := listener.Addr().String()
		return address, errors.Wrap(listener.Close(), "loopback: closing the listener of a free address")
	}
	return "", errors.Wrap(lastErr, "loopback: no free address found")
}
