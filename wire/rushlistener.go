package wire

import "net"

// SheddingListener accepts connections and closes those for which a function returns true, with nothing read from them.
type SheddingListener struct {
	net.Listener
	// Closes reports whether to close a new connection.
	Closes func() bool
}

// Accept returns the next connection that is not closed.
func (l *SheddingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.Closes() {
			return conn, err
		}
		_ = conn.Close()
	}
}
