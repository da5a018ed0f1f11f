package memnet

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// Listener accepts the connections that its Dial opens.
type Listener struct {
	accept chan net.Conn
	closed chan struct{}
	// closing is set by the first Close, so that further calls have no effect.
	closing atomic.Bool
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and makes Dial fail.
func (l *Listener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		close(l.closed)
	}
	return nil
}

// Addr returns a placeholder address.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial opens a connection to the listener and ignores the address. A closed listener refuses the connection.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.accept <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
