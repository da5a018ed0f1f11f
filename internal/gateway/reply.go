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

// reply is what a caller gets.
type reply struct {
	status int
	header http.Header
	body   []byte
	// stream is a long body, length its length in bytes or -1.
	stream io.ReadCloser
	length int64
	// closing ends the connection after the reply.
	closing bool
	// done releases what a stream needs; nil when there is nothing to release.
	done func()
}

// release is called once the reply was written or given up.
func (r *reply) release() {
	if r.stream != nil {
		_ = r.stream.Close() // closing ends the exchange; there is nothing to do about an error
	}
	if r.done != nil {
		r.done()
	}
}

// ownBody is the body of an answer that the instance gives itself.
type ownBody struct {
	Kind      fault.Kind `json:"kind"`
	Message   string     `json:"message"`
	Remedy    string     `json:"remedy"`
	RequestID string     `json:"request_id,omitempty"`
}

// ownReply returns an answer that the instance gives itself.
func ownReply(dialect Dialect, id string, status int, e *fault.Error, retryAfter time.Duration) reply {
	header := http.Header{"Content-Type": {"application/json"}}
	dialect.Name(header, id)
	if retryAfter > 0 {
		header.Set("Retry-After", retryAfterText(retryAfter))
	}
	body, err := json.Marshal(ownBody{Kind: e.Kind, Message: e.Message, Remedy: e.Remedy, RequestID: id})
	if err != nil {
		body = nil // four texts can always be encoded
	}
	return reply{status: status, header: header, body: body}
}

// write writes the reply to a request of the given method. An error leaves the answer incomplete, so the connection
// must end.
func (r *reply) write(w *bufio.Writer, method string) error {
	response := http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: r.header, Close: r.closing,
		Request: &http.Request{Method: method}, ContentLength: int64(len(r.body)), Body: http.NoBody,
	}
	switch {
	case r.stream != nil:
		response.Body, response.ContentLength = r.stream, r.length
	case len(r.body) > 0:
		response.Body = io.NopCloser(bytes.NewReader(r.body))
	case method == http.MethodHead && r.length > 0:
		response.ContentLength = r.length
	}
	if err := response.Write(w); err != nil {
		return err
	}
	return w.Flush()
}
