package node

import (
	"context"
	"errors"
	"io"
)

// requestStream is a streamed answer. It keeps the context of its request alive until it is closed, and reports once when the
// server or the deadline cuts it off.
type requestStream struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelFunc
	onCut  func(err error)
}

// Read reads the answer. An error after the caller has left, which cancels the context, is not reported.
func (s *requestStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF && s.onCut != nil && !errors.Is(s.ctx.Err(), context.Canceled) {
		s.onCut(err)
		s.onCut = nil
	}
	return n, err
}

// Close discards what was not read and cancels the context of the request.
func (s *requestStream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}
