package tcp

import (
	"errors"
	"net"
	"os"
	"time"
)

// maxDrainLooks bounds the looks at a listener of a process that is suspended again and again.
const maxDrainLooks = 16

// AcceptRest accepts the connections that wait at a listener and calls handle for each, until none is left. The kernel resets
// connections that still wait when a listener is closed, with the requests that have been sent on them. It does nothing for a
// listener without deadlines.
func AcceptRest(listener net.Listener, handle func(net.Conn)) {
	limited, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for looks := 0; looks < maxDrainLooks; {
		begun := time.Now()
		if err := limited.SetDeadline(begun.Add(LookTime)); err != nil {
			return
		}
		conn, err := listener.Accept()
		switch {
		case err == nil:
			handle(conn)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return
		case time.Since(begun) < 2*LookTime:
			return // the process was not suspended, so Accept has looked
		default:
			looks++
		}
	}
}
