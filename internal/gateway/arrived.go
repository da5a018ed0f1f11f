package gateway

import (
	"errors"
	"net"
	"os"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

// arrivedReader reads from a connection. After its deadline it still returns the bytes that have arrived: a read after the
// deadline fails without looking, and the process may have been late and not the caller.
type arrivedReader struct {
	conn net.Conn
	// limited is true when a deadline is set.
	limited bool
	// looked is true when a read has been tried after the deadline.
	looked bool
}

// setDeadline sets the deadline of further reads; zero sets none.
func (r *arrivedReader) setDeadline(t time.Time) error {
	if t.IsZero() && !r.limited {
		return nil
	}
	r.limited, r.looked = !t.IsZero(), false
	return r.conn.SetReadDeadline(t)
}

func (r *arrivedReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.mayHaveArrived() {
			return n, err
		}
		r.limited, r.looked = true, true
		if err := r.conn.SetReadDeadline(time.Now().Add(tcp.LookTime)); err != nil {
			return 0, err
		}
	}
}

// mayHaveArrived reports whether another read is worth trying after the deadline.
func (r *arrivedReader) mayHaveArrived() bool {
	if unread, known := tcp.HasUnread(r.conn); known {
		return unread
	}
	return !r.looked
}
