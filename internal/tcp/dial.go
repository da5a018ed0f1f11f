// Package tcp opens connections that notice a path that has gone silent.
//
// Without it, a connection to a machine without power or behind a partition hangs for minutes. Keep-alive probes find
// it while the connection waits for an answer, and a bound on unacknowledged data while bytes are being sent.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds opening a connection: 60 round trips of 16 ms between regions.
	dialTimeout = time.Second
	// deadPathTimeout ends a connection whose peer acknowledges nothing. It is below the 2 s in which a fleet must have
	// a new configuration in force.
	deadPathTimeout = 1500 * time.Millisecond
	// probePause is the pause between keep-alive probes, three of which fit into deadPathTimeout.
	probePause = 500 * time.Millisecond
	probes     = 3
	// userTimeout is the socket option TCP_USER_TIMEOUT of Linux, in milliseconds. Package syscall does not name it.
	userTimeout = 18
)

// Dialer returns a dialer whose connections end when their path is dead.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, Control: boundUnacknowledged, KeepAliveConfig: keepAlive()}
}

// Dial opens a connection that ends when its path is dead.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return Dialer().DialContext(ctx, "tcp", address)
}

// Listen returns a listener whose connections end when their path is dead.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: boundUnacknowledged, KeepAliveConfig: keepAlive()}
	return config.Listen(ctx, "tcp", address)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probePause, Interval: probePause, Count: probes}
}

func boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(deadPathTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
