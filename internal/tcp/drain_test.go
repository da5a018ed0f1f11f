package tcp_test

import (
	"net"
	"testing"

	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

// Guards against connections that are reset when a listener is closed, because they were opened and not accepted yet.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	listener, err := tcp.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const count = 20
	for range count {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	accepted := 0
	tcp.AcceptRest(listener, func(conn net.Conn) {
		accepted++
		_ = conn.Close()
	})
	if accepted != count {
		t.Errorf("%d of %d waiting connections are accepted", accepted, count)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
}
