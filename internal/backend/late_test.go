package backend_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
)

// lateConn holds the reads of a connection back until its deadline has been set.
type lateConn struct {
	*net.TCPConn
	ended chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	<-c.ended
	return c.TCPConn.Read(p)
}

func (c *lateConn) SetDeadline(t time.Time) error {
	err := c.TCPConn.SetDeadline(t)
	close(c.ended)
	return err
}

// Guards against an answer that arrived in time and is taken for silence, because the process read it late: the server of a
// health check counts as unresponsive, and its requests are refused.
func TestAnswerThatArrivedInTimeIsReadLate(t *testing.T) {
	sent := make(chan struct{})
	address := scriptedServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return // the connection was not used
		}
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			t.Error(err)
		}
		close(sent)
		_, _ = r.ReadByte() // returns when the connection is closed
	})
	pool, err := backend.NewPool(address, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := backend.NetDialer(ctx, address)
		if err != nil {
			return nil, err
		}
		return &lateConn{TCPConn: conn.(*net.TCPConn), ended: make(chan struct{})}, nil
	}, backend.PoolSize{MaxConnections: 1})
	if err != nil {
		t.Fatal(err)
	}
	poolCtx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { _ = pool.Run(poolCtx); close(stopped) }()
	ctx, timeIsOver := context.WithCancel(context.Background())
	go func() {
		<-sent
		timeIsOver()
	}()
	if r := pool.Check(ctx, &call.Request{Method: http.MethodGet, Path: "/healthz"}); r.Answer == nil {
		t.Errorf("fate %s, error %v, want the answer", r.Fate, r.Err)
	}
	stop()
	<-stopped
}
