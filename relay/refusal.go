package relay

import (
	"io"
	"net"
	"sync"

	"coltsfootlink/metrics"
	"coltsfootlink/web"
)

const (
	// refusal is the response to a request that is neither parsed nor forwarded. Retry-After is 50 ms, since other
	// instances may have capacity.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.050\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// maxReadBytes is the maximum number of bytes of a request that are read before it is refused.
	maxReadBytes = 64 << 10
)

var readBuffers = sync.Pool{New: func() any { return new([maxReadBytes]byte) }}

// refuse answers the request of a connection with a refusal without parsing it; false if no data has arrived yet. Data
// that has arrived is read and discarded first, because unread data would make the kernel reset the connection and
// lose the response.
func refuse(caller net.Conn) bool {
	buffer := readBuffers.Get().(*[maxReadBytes]byte)
	defer readBuffers.Put(buffer)
	if web.ReadArrived(caller, buffer[:]) == 0 {
		return false
	}
	metrics.Count("connections-refused-unread")
	// Writing fails only if the caller has disconnected.
	_, _ = io.WriteString(caller, refusal)
	_ = caller.Close()
	return true
}
