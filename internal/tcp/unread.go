package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// LookTime is the maximum time of a read of bytes that HasUnread has seen.
const LookTime = 10 * time.Millisecond

// MaxLateReading is the maximum time for which bytes are read after a deadline, so that a peer which sends without a pause does
// not postpone it.
const MaxLateReading = 500 * time.Millisecond

// HasUnread reports whether a read of the connection would return at once, with bytes, the end of the stream or an error.
// It does not block and ignores deadlines, while a read after its deadline fails without looking. Result known is false for
// a connection without a file descriptor. For a TLS connection it is that of the bytes below TLS.
func HasUnread(conn net.Conn) (unread, known bool) {
	if outer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = outer.NetConn()
	}
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = !errors.Is(err, syscall.EAGAIN)
	})
	return unread, err == nil
}
