package backend

import (
	"errors"
	"net"
	"syscall"
)

var (
	errClosedWhileIdle = errors.New("backend server closed the connection while it was idle")
	errUnsolicited     = errors.New("backend server sent an answer while the connection was idle")
)

// endedWhileIdle reports whether an exchange was not sent because of what the server did on the idle connection.
func endedWhileIdle(err error) bool {
	return errors.Is(err, errClosedWhileIdle) || errors.Is(err, errUnsolicited)
}

// checkIdle returns an error if an idle connection has been closed by the server or holds unsolicited bytes. It does not
// block. Connections without a file descriptor, as in tests, count as usable.
func checkIdle(socket net.Conn) error {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return errClosedWhileIdle
	}
	var found error
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = errUnsolicited
		case err != syscall.EAGAIN:
			found = errClosedWhileIdle
		}
		return true
	})
	if err != nil {
		return errClosedWhileIdle
	}
	return found
}
