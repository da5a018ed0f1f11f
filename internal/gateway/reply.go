package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// reply is the answer to a caller.
type reply struct {
	status int
	header http.Header
	body   []byte
	// stream is the body if it is too long to be buffered, and length its length in bytes or -1 if unknown.
	stream io.ReadCloser
	length int64
	// closing is true if the connection ends after the reply.
	closing bool
	// done releases the resources of the request; nil when there are none.
	done func()
}

// release frees the resources of the reply. It is called when the reply has been written or dropped.
func (r *reply) release() {
	if r.stream != nil {
		_ = r.stream.Close() // an error of the close has no consequence
	}
	if r.done != nil {
		r.done()
	}
}

// localBody is the body of a reply that the instance generates itself.
type localBody struct {
	Kind      fault.Kind `json:"kind"`
	Message   string     `json:"message"`
	Remedy    string     `json:"remedy"`
	RequestID string     `json:"request_id,omitempty"`
}

// localReply returns a reply that the instance generates itself.
func localReply(dialect Dialect, id string, status int, e *fault.Error, retryAfter time.Duration) reply {
	header := http.Header{"Content-Type": {"application/json"}}
	dialect.SetRequestID(header, id)
	if retryAfter > 0 {
		header.Set("Retry-After", formatRetryAfter(retryAfter))
	}
	body, err := json.Marshal(localBody{Kind: e.Kind, Message: e.Message, Remedy: e.Remedy, RequestID: id})
	if err != nil {
		body = nil // strings can always be encoded
	}
	return reply{status: status, header: header, body: body}
}

// endsWithConnection reports whether only the end of the connection shows the end of the body to a caller.
func (r *reply) endsWithConnection(q *pendingRequest) bool {
	return r.stream != nil && r.length < 0 && q.http10
}

// write writes the reply to a request. After an error the answer is incomplete, so the connection must be closed.
func (r *reply) write(w *bufio.Writer, q *pendingRequest) error {
	response := http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: r.header, Close: r.closing,
		Request: &http.Request{Method: q.method}, ContentLength: int64(len(r.body)), Body: http.NoBody,
	}
	stream := &checkedStream{ReadCloser: r.stream, left: r.length}
	switch {
	case r.stream != nil:
		response.Body, response.ContentLength = stream, r.length
		if r.length < 0 && !q.http10 {
			response.TransferEncoding = []string{"chunked"}
		}
	case len(r.body) > 0:
		response.Body = io.NopCloser(bytes.NewReader(r.body))
	case q.method == http.MethodHead && r.length > 0:
		response.ContentLength = r.length
	}
	if err := response.Write(w); err != nil {
		if stream.err != nil {
			return streamError{stream.err}
		}
		return err
	}
	return w.Flush()
}

// streamError is an error of the backend server's side of a long answer.
type streamError struct{ error }

// Unwrap returns the error of the read.
func (e streamError) Unwrap() error { return e.error }

// checkedStream keeps the error of a read, which http.Response does not tell from an error of a write.
type checkedStream struct {
	io.ReadCloser
	// left is the number of bytes to come; negative if the length is unknown.
	left int64
	err  error
}

// Read implements io.Reader.
func (s *checkedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	short := s.left > int64(n)
	s.left -= int64(n)
	switch {
	case err == io.EOF && short:
		s.err = io.ErrUnexpectedEOF
	case err != nil && err != io.EOF:
		s.err = err
	}
	return n, err
}
