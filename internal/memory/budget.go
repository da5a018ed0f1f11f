package memory

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
)

// bodyStep is the size, in bytes, with which the buffer of a body of unknown length begins.
const bodyStep = 16 << 10

// ErrExhausted is the error for a body that does not fit into the budget now.
var ErrExhausted = errors.New("requests take too much memory")

// Budget bounds the memory that requests take together. Any goroutine may use it.
type Budget struct {
	// limit is in bytes; zero sets none.
	limit int64
	taken atomic.Int64
}

// NewBudget returns a budget of the given size in bytes; zero or less sets no limit.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Taken returns the bytes that are taken.
func (b *Budget) Taken() int64 { return b.taken.Load() }

// Put returns bytes that were taken.
func (b *Budget) Put(bytes int64) { b.taken.Add(-bytes) }

// Take takes bytes from the budget. It returns false, and takes none, if they are not left.
func (b *Budget) Take(bytes int64) bool {
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

// Lease is what one request has taken from a budget. It is released when the request or its connection has ended. Nil is the
// lease of a request that has taken nothing.
type Lease struct {
	budget *Budget
	bytes  atomic.Int64
	// forget ends the release with the connection.
	forget func() bool
}

// NewLease returns an empty lease, which is released at the latest with the context.
func (b *Budget) NewLease(ctx context.Context) *Lease {
	l := &Lease{budget: b}
	l.forget = context.AfterFunc(ctx, l.returnAll)
	return l
}

// Grow takes further bytes.
func (l *Lease) Grow(bytes int64) bool {
	if !l.budget.Take(bytes) {
		return false
	}
	l.bytes.Add(bytes)
	return true
}

func (l *Lease) shrink(bytes int64) {
	l.bytes.Add(-bytes)
	l.budget.Put(bytes)
}

func (l *Lease) returnAll() { l.budget.Put(l.bytes.Swap(0)) }

// Release returns all bytes.
func (l *Lease) Release() {
	if l != nil {
		l.forget()
		l.returnAll()
	}
}

// ReadBody reads a body of the length, or one of unknown length if it is negative, and at most one byte more than the limit. The
// buffer of a known length is allocated once, since a growing one takes several times its size.
func (l *Lease) ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = min(bodyStep, limit+1)
	}
	if !l.Grow(size) {
		return nil, ErrExhausted
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
func (l *Lease) enlarge(buffer []byte, size int64) ([]byte, error) {
	if !l.Grow(size) {
		return nil, ErrExhausted
	}
	larger := append(make([]byte, 0, size), buffer...)
	l.shrink(int64(cap(buffer)))
	return larger, nil
}
