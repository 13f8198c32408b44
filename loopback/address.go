// Package loopback has what tests and measurements need of the loopback addresses.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// addressTries is the number of loopback addresses that are tried.
const addressTries = 16

// FreeAddress returns an unused port on a loopback address that hardly any other process uses.
func FreeAddress() (string, error) {
	var last error
	for range addressTries {
		host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			last = err
			continue
		}
		address := listener.Addr().String()
		return address, errors.Wrap(listener.Close(), "loopback: address")
	}
	return "", errors.Wrap(last, "loopback: address")
}
