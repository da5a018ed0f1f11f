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
	// lookedAt is when a read was first tried after the deadline; zero before.
	lookedAt time.Time
}

// setDeadline sets the deadline of further reads; zero sets none.
func (r *arrivedReader) setDeadline(t time.Time) error {
	if t.IsZero() && !r.limited {
		return nil
	}
	r.limited, r.lookedAt = !t.IsZero(), time.Time{}
	return r.conn.SetReadDeadline(t)
}

func (r *arrivedReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.mayHaveArrived() {
			return n, err
		}
		if r.lookedAt.IsZero() {
			r.lookedAt = time.Now()
		}
		r.limited = true
		if err := r.conn.SetReadDeadline(time.Now().Add(tcp.LookTime)); err != nil {
			return 0, err
		}
	}
}

// mayHaveArrived reports whether another read is worth trying after the deadline.
func (r *arrivedReader) mayHaveArrived() bool {
	if unread, known := tcp.HasUnread(r.conn); known {
		return unread && (r.lookedAt.IsZero() || time.Since(r.lookedAt) < tcp.MaxLateReading)
	}
	return r.lookedAt.IsZero()
}
