package node

import (
	"context"
	"io"
)

// cancelOnClose keeps the context of a request until its streamed answer was read or given up.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close gives up what was not read and ends the request.
func (s *cancelOnClose) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}
