package relay

import "net"

// Entrance is the doorman where other instances pass connections on: it takes them only while there is room, and says so.
type Entrance struct {
	// Full says that this instance has enough to do itself.
	Full func() bool
}

// Admit takes a connection or closes it.
func (entrance Entrance) Admit(conn net.Conn, _ func(net.Conn)) bool {
	if entrance.Full() {
		_ = conn.Close()
		return false
	}
	if _, err := conn.Write([]byte{welcome}); err != nil {
		_ = conn.Close()
		return false
	}
	return true
}
