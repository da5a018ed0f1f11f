package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

// callerConnections is what the connections of callers share.
type callerConnections struct {
	// open counts the accepted connections that are not closed, and the server while it accepts.
	open sync.WaitGroup
	// stopping is done when connections should end unless a request has begun.
	stopping context.Context
	stop     context.CancelFunc
}

func newCallerConnections() *callerConnections {
	c := &callerConnections{}
	c.stopping, c.stop = context.WithCancel(context.Background())
	return c
}

// wait waits until all connections are closed.
func (c *callerConnections) wait(ctx context.Context) error {
	closed := make(chan struct{})
	go func() {
		c.open.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callerListener accepts connections that are not closed as idle once a request has begun. It is used by one goroutine. When
// its deadline has passed it is closed, after the connections that have been opened were accepted.
type callerListener struct {
	net.Listener
	connections *callerConnections
	// rest holds connections that were opened before the listener was closed.
	rest []net.Conn
}

// limitedListener is a listener whose deadline is that of another one, on which it is built.
type limitedListener struct {
	net.Listener
	base net.Listener
}

// SetDeadline sets the deadline of Accept.
func (l limitedListener) SetDeadline(t time.Time) error { return setDeadline(l.base, t) }

// setDeadline sets the deadline of Accept, if the listener has one.
func setDeadline(listener net.Listener, t time.Time) error {
	if limited, ok := listener.(interface{ SetDeadline(time.Time) error }); ok {
		return limited.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.next()
	if err != nil {
		return nil, err
	}
	l.connections.open.Add(1)
	c := &callerConn{Conn: conn, connections: l.connections}
	c.idle.Store(true)
	c.forgetStop = context.AfterFunc(l.connections.stopping, c.stop)
	return c, nil
}

// next returns the next connection.
func (l *callerListener) next() (net.Conn, error) {
	if len(l.rest) == 0 {
		conn, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		tcp.AcceptRest(l.Listener, func(conn net.Conn) { l.rest = append(l.rest, conn) })
		if err := l.Close(); err != nil || len(l.rest) == 0 {
			return nil, net.ErrClosed
		}
	}
	conn := l.rest[0]
	l.rest = l.rest[1:]
	return conn, nil
}

// callerConn is a connection of a caller. The server of net/http takes it for idle until the head of a request is complete,
// and its Shutdown drops requests that it has just read. So the stop of a connection only ends a read that waits for the
// first byte of a request; the goroutine that reads then closes the connection, or serves the request that has begun. The
// fields are atomic because the stop runs in another goroutine.
type callerConn struct {
	net.Conn
	connections *callerConnections
	forgetStop  func() bool
	// idle is true while the server waits for a request or reads its head, begun when the first byte has arrived.
	idle, begun atomic.Bool
	// kept is true when a request has been answered.
	kept atomic.Bool
	// early is true when the first byte of the next request arrived before the answer to the last one was finished.
	early atomic.Bool
	// deadlines counts the deadlines that the server has set since the connection became idle.
	deadlines atomic.Int64
	// stopping is true when the connection should end unless a request has begun.
	stopping atomic.Bool
	closed   atomic.Bool
	// deadline is the deadline that the server has set for reads; nil for none.
	deadline atomic.Pointer[time.Time]
	// lateSince is when a read was first tried after that deadline; nil before.
	lateSince atomic.Pointer[time.Time]
}

// noteConnState follows the state of a connection. It is the ConnState of the server.
func noteConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.begun.Store(c.early.Swap(false))
		c.deadlines.Store(0)
		c.kept.Store(true)
		c.idle.Store(true)
	case http.StateActive:
		c.idle.Store(false)
	}
}

// Read implements net.Conn. A read after its deadline fails without looking, but the process may have been late and not the
// caller, so bytes that have arrived are still returned.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.begun.Store(true)
			// The server notices callers that disconnect by a read of one byte behind the request, which it keeps.
			c.early.Store(len(p) == 1 && !c.idle.Load())
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		deadline, ok := c.nextDeadline()
		if !ok {
			return n, err
		}
		if err := c.Conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
	}
}

// nextDeadline returns the deadline of another read after one has failed. It returns false if the read has to fail.
func (c *callerConn) nextDeadline() (time.Time, bool) {
	if c.endsWait() {
		headerEnd := time.Now().Add(headerTimeout)
		c.deadline.Store(&headerEnd)
		return headerEnd, true
	}
	if c.stopping.Load() && c.hasRequest() { // the order to stop may have come after the first byte
		if deadline := c.deadline.Load(); deadline == nil {
			return time.Time{}, true
		} else if deadline.IsZero() || time.Now().Before(*deadline) {
			return *deadline, true
		}
	}
	now := time.Now()
	switch since := c.lateSince.Load(); {
	case since == nil:
		c.lateSince.Store(&now)
	case now.Sub(*since) >= tcp.MaxLateReading:
		return time.Time{}, false
	}
	unread, known := tcp.HasUnread(c.Conn)
	return now.Add(tcp.LookTime), known && unread
}

// endsWait reports whether a request had begun when the wait for it ended, and counts that as the second deadline. The server
// waits for four bytes under the idle timeout.
func (c *callerConn) endsWait() bool {
	return c.kept.Load() && c.idle.Load() && c.begun.Load() && c.deadlines.CompareAndSwap(1, 2)
}

func (c *callerConn) hasRequest() bool { return c.begun.Load() || !c.idle.Load() }

// SetReadDeadline implements net.Conn. The server sets one deadline for the first byte of a request and a second one when a
// request has begun, perhaps with bytes that it read together with the request before.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.deadlines.Add(1) > 1 {
		c.begun.Store(true)
	}
	c.deadline.Store(&t)
	c.lateSince.Store(nil)
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	if c.stopping.Load() && !c.hasRequest() {
		return c.interrupt()
	}
	return nil
}

// Write implements net.Conn. The caller has writeTimeout for each write, which is not the time of a whole answer.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *callerConn) interrupt() error { return c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// CloseWrite closes the write side, which the server does before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// stop ends the connection unless a request has begun.
func (c *callerConn) stop() {
	c.stopping.Store(true)
	if !c.hasRequest() {
		_ = c.interrupt() // a broken connection ends the read as well
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.forgetStop()
	defer c.connections.open.Done()
	return c.Conn.Close()
}
