// Package tcp opens connections that detect a dead network path.
//
// By default, a connection to a machine that lost power or is behind a network partition hangs for minutes. Keep-alive
// probes detect this while the connection waits for data, and a timeout for unacknowledged data while it sends.
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
	// deadPathTimeout closes a connection whose peer acknowledges nothing. It is below the 2 s within which a new
	// configuration must be in force in the whole fleet.
	deadPathTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the interval of keep-alive probes; three intervals make up deadPathTimeout.
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, whose value is in milliseconds. Package syscall has
	// no constant for it.
	tcpUserTimeout = 18
)

// Dialer returns a dialer whose connections fail when their network path is dead.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: keepAliveConfig()}
}

// Dial opens a connection that fails when its network path is dead.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return Dialer().DialContext(ctx, "tcp", address)
}

// Listen returns a listener whose connections fail when their network path is dead.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAliveConfig()}
	return config.Listen(ctx, "tcp", address)
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionError error
	err := raw.Control(func(fd uintptr) {
		optionError = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(deadPathTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionError
}
