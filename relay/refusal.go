package relay

import (
	"io"
	"net"
	"sync"

	"coltsfootlink/metrics"
	"coltsfootlink/web"
)

const (
	// refusal is the answer to a request that is neither served nor passed on, and has not been looked at: others are there.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.050\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// arrivedBytes is the most of a request that is taken in before it is refused.
	arrivedBytes = 64 << 10
)

var arrivals = sync.Pool{New: func() any { return new([arrivedBytes]byte) }}

// refuse refuses the request of a connection without looking at it; false if none has come yet. What has come is taken in, for
// the kernel would reset the connection, and the answer with it.
func refuse(caller net.Conn) bool {
	arrived := arrivals.Get().(*[arrivedBytes]byte)
	defer arrivals.Put(arrived)
	if web.ReadArrived(caller, arrived[:]) == 0 {
		return false
	}
	metrics.Count("connections-refused-unread")
	// An error means that the caller has left.
	_, _ = io.WriteString(caller, refusal)
	_ = caller.Close()
	return true
}
