package frontend

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Causes for which a connection ends without a complete answer. They are part of metric names and of the log line.
const (
	cutCallerClosed = "caller-closed"
	cutWriteFailed  = "write-failed"
	cutStream       = "stream"
	cutProcess      = "process"
)

// exchange is what is known of a request when its handler ends.
type exchange struct {
	id    string
	began time.Time
	// beingRead is true if the request was not read completely.
	beingRead bool
	// isCut is true if err shows that the answer is incomplete.
	isCut bool
	err   error
}

// reportCut counts and logs a request whose connection ended without a complete answer, if it did.
func (h *Handler) reportCut(r *http.Request, x *exchange) {
	cause := h.causeOfCut(r, x)
	if cause == "" {
		return
	}
	unanswered := 1
	if x.beingRead {
		unanswered = 0
	} else {
		h.countCut(cause)
	}
	h.log.Warn("connection of a caller ended with requests in hand", "cause", cause, "requests", []string{x.id},
		"unanswered", unanswered, "being_read", x.beingRead, "in_hand_ms", time.Since(x.began).Milliseconds(),
		"remote", r.RemoteAddr, "error", x.err)
}

// causeOfCut returns the cause for which the connection ended, or "" if it did not. net/http cancels the context when the
// connection ends.
func (h *Handler) causeOfCut(r *http.Request, x *exchange) string {
	var stream streamError
	ended := r.Context().Err() != nil
	switch {
	case (ended || x.isCut) && isClosed(h.processEnding):
		return cutProcess
	case ended || x.beingRead && x.isCut:
		return cutCallerClosed
	case errors.As(x.err, &stream):
		return cutStream
	case x.isCut:
		return cutWriteFailed
	}
	return ""
}

// isClosed reports whether a channel is closed. A nil channel is not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// streamError is an error of the backend server's side of a long answer.
type streamError struct{ error }

// Unwrap returns the error of the read.
func (e streamError) Unwrap() error { return e.error }

// checkedStream keeps the error of a read, which io.Copy does not tell from an error of a write.
type checkedStream struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (s *checkedStream) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}
