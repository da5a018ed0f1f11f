package peer

import (
	"errors"
	"sync/atomic"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/memory"
)

var errTooManyBytes = errors.New("messages of other peers take the memory")

// inboundSocket bounds the bytes of a request that a peer has begun, in memory and in time. The bytes beyond freeRequestBytes are
// taken from a budget of all inbound connections until the answer is written. One goroutine reads and others write.
type inboundSocket struct {
	*socket
	budget *memory.Budget
	// received counts the bytes since the last answer, taken those that are taken from the budget.
	received, taken atomic.Int64
	closed          atomic.Bool
}

// Read reads from the connection. It fails when the budget is used up, or when a long request is not complete in time.
func (s *inboundSocket) Read(p []byte) (int, error) {
	n, err := s.socket.Read(p)
	before := s.received.Load()
	if s.received.Add(int64(n)) <= freeRequestBytes {
		return n, err
	}
	if !s.budget.Take(int64(n)) {
		return 0, errTooManyBytes
	}
	s.taken.Add(int64(n))
	if s.closed.Load() {
		s.returnTaken() // Close may have returned the bytes before
	}
	if before <= freeRequestBytes {
		if err := s.SetReadDeadline(time.Now().Add(longRequestTimeout)); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write writes to the connection. A write shows that the request has been read.
func (s *inboundSocket) Write(p []byte) (int, error) {
	if s.received.Swap(0) > freeRequestBytes {
		s.returnTaken()
		if err := s.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
	return s.socket.Write(p)
}

// Close closes the connection.
func (s *inboundSocket) Close() error {
	s.closed.Store(true)
	s.returnTaken()
	return s.socket.Close()
}

func (s *inboundSocket) returnTaken() { s.budget.Put(s.taken.Swap(0)) }
