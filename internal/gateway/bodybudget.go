package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"fuchsiahub.example/fuchsiahub/internal/backend"
)

const (
	// bodyShare is the share of the memory of the process that the bodies of requests may take together. The rest is for
	// garbage that is not collected yet, answers and all other work.
	bodyShare = 0.35
	// pipelinedShare is the share for requests that wait behind others of their connection.
	pipelinedShare = 0.15
	// pipelinedBytes is the memory of such a request: its task and an answer that is not streamed.
	pipelinedBytes = backend.MaxBufferedAnswerBytes + 16<<10
	// bodyStep is the size with which the buffer of a body of unknown length begins, in bytes.
	bodyStep = 16 << 10
)

// errNoMemory is the error for a body that does not fit into the budget now.
var errNoMemory = errors.New("bodies of requests take too much memory")

// bodyBudget bounds the memory that the bodies and long heads of all requests take together. A process that exceeds the memory of its machine
// is killed, with the requests of all callers. It is shared by the goroutines that read connections.
type bodyBudget struct {
	// limit is in bytes; zero sets none.
	limit int64
	taken atomic.Int64
}

// newBodyBudget returns the budget of a process with the memory, in bytes; zero sets no limit.
func newBodyBudget(memory int64) *bodyBudget {
	return &bodyBudget{limit: int64(bodyShare * float64(memory))}
}

// newPipelinedBudget returns the budget of the requests that wait behind others of their connection. When it is used up, a
// connection takes up a further request only after an answer; none is refused.
func newPipelinedBudget(memory int64) *bodyBudget {
	return &bodyBudget{limit: int64(pipelinedShare * float64(memory))}
}

// put returns bytes that were taken.
func (b *bodyBudget) put(bytes int64) { b.taken.Add(-bytes) }

// take takes bytes from the budget. It returns false, and takes none, if they are not left.
func (b *bodyBudget) take(bytes int64) bool {
	for {
		taken := b.taken.Load()
		if b.limit > 0 && taken+bytes > b.limit {
			return false
		}
		if b.taken.CompareAndSwap(taken, taken+bytes) {
			return true
		}
	}
}

// bodyLease is what one request has taken from the budget. It is released when the request or its connection has ended. Nil is
// the lease of a request with a short head and without a body.
type bodyLease struct {
	budget *bodyBudget
	bytes  atomic.Int64
	// forget ends the release with the connection.
	forget func() bool
}

// newLease returns an empty lease, which is released at the latest with the context.
func (b *bodyBudget) newLease(ctx context.Context) *bodyLease {
	l := &bodyLease{budget: b}
	l.forget = context.AfterFunc(ctx, l.returnAll)
	return l
}

// grow takes further bytes.
func (l *bodyLease) grow(bytes int64) bool {
	if !l.budget.take(bytes) {
		return false
	}
	l.bytes.Add(bytes)
	return true
}

func (l *bodyLease) shrink(bytes int64) {
	l.bytes.Add(-bytes)
	l.budget.put(bytes)
}

func (l *bodyLease) returnAll() { l.budget.put(l.bytes.Swap(0)) }

// release returns all bytes.
func (l *bodyLease) release() {
	if l != nil {
		l.forget()
		l.returnAll()
	}
}

// readBody reads a body of the length, or one of unknown length if it is negative, and at most one byte more than the limit. The
// buffer of a known length is allocated once, since a growing one takes several times its size.
func (l *bodyLease) readBody(body io.Reader, length, limit int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = min(bodyStep, limit+1)
	}
	if !l.grow(size) {
		return nil, errNoMemory
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		full := len(buffer) == cap(buffer)
		switch {
		case err == io.EOF && (length < 0 || full), full && (length >= 0 || int64(len(buffer)) > limit):
			return buffer, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case full:
			if buffer, err = l.enlarge(buffer, min(2*int64(cap(buffer)), limit+1)); err != nil {
				return nil, err
			}
		}
	}
}

// enlarge returns a copy of the buffer with a larger capacity.
func (l *bodyLease) enlarge(buffer []byte, size int64) ([]byte, error) {
	if !l.grow(size) {
		return nil, errNoMemory
	}
	larger := append(make([]byte, 0, size), buffer...)
	l.shrink(int64(cap(buffer)))
	return larger, nil
}
