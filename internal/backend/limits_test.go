package backend

import (
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

// trickleConn is a connection on which a byte arrives every few milliseconds. Its socket holds an unread byte.
type trickleConn struct {
	*net.TCPConn
	deadline time.Time
}

func (c *trickleConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *trickleConn) Read(p []byte) (int, error) {
	if !time.Now().Before(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(tcp.LookTime / 2)
	return copy(p, "x"), nil
}

// Guards against a server that holds an exchange for far longer than its time by sending without a pause.
func TestReadsBehindDeadlineAreBounded(t *testing.T) {
	listener, err := tcp.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err := tcp.Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	if _, err := near.Write([]byte("xx")); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1)); err != nil { // the other byte has arrived as well
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		const limit = 250 * time.Millisecond
		start := time.Now()
		c := &limitedConn{Conn: &trickleConn{TCPConn: far.(*net.TCPConn), deadline: start.Add(limit)}, readable: unlimitedBytes}
		for n, err := 1, error(nil); err == nil && n > 0 && time.Since(start) < time.Minute; {
			n, err = c.Read(make([]byte, 1))
		}
		if elapsed := time.Since(start); elapsed < limit || elapsed > limit+time.Second {
			t.Errorf("bytes were read for %v, the deadline was %v", elapsed, limit)
		}
	})
}
