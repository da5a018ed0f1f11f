package node

import (
	"context"
	"io"
)

// cancelOnClose keeps the context of a request alive until its streamed answer is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close discards what was not read and cancels the context of the request.
func (s *cancelOnClose) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}
