package peer

import (
	"net"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// socket counts the bytes in both directions and limits the duration of each write.
type socket struct {
	net.Conn
	counters counters
}

// Read reads from the connection and counts the bytes.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.counters.receivedBytes.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes. It fails when the peer does not read for longer than writeTimeout.
func (s *socket) Write(p []byte) (int, error) {
	if err := s.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := s.Conn.Write(p)
	s.counters.sentBytes.Inc(int64(n))
	return n, err
}

// managerOptions limits the message size of clients and servers.
func managerOptions(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream:            drpcstream.Options{MaximumBufferSize: MaxMessageBytes / 16},
		InactivityTimeout: idle,
	}
}
