package backend

import (
	"net"
	"syscall"
)

// isStale reports whether an idle connection has been closed by the server or holds unsolicited bytes. It does not
// block. Connections without a file descriptor, as in tests, count as usable.
func isStale(socket net.Conn) bool {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return true
	}
	var unusable bool
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unusable = n > 0 || err != syscall.EAGAIN
		return true
	})
	return err != nil || unusable
}
