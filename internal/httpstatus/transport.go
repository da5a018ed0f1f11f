package httpstatus

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is a transport of net/http that fails when the status of an answer is not valid. The connection ends with the status
// line, so that no byte behind it is read.
type Transport struct {
	base *http.Transport
	// maxInterimBytes is the maximum size of the heads of the interim answers to one request.
	maxInterimBytes int
}

// NewTransport returns a transport that checks the answers on the connections of another one, whose dialer it replaces. The heads of
// the interim answers to one request may have as many bytes as that of an answer: net/http limits only the size of each when
// they are looked at.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	return &Transport{base: base, maxInterimBytes: int(base.MaxResponseHeaderBytes)}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *checkedConn // set by the goroutine that is in RoundTrip
	interimBytes := 0     // belongs to the goroutine that reads the connection
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*checkedConn) },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			if interimBytes += headSize(header); interimBytes > t.maxInterimBytes {
				return fmt.Errorf("interim answers exceeded %d bytes", t.maxInterimBytes)
			}
			return CheckInterim(status, http.Header(header), nil)
		},
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil && conn != nil {
		if invalid := conn.invalid.Load(); invalid != nil {
			return nil, invalid // net/http reports it as a broken connection
		}
	}
	return response, err
}

// checkedConn is a connection of which no byte is read behind an invalid status. It is read by one goroutine and written by another.
type checkedConn struct {
	net.Conn
	// written is true when bytes of a request were written after the last answer had begun.
	written atomic.Bool
	// invalid is the error for the status with which the connection has ended.
	invalid atomic.Pointer[InvalidError]
	// part is the part of the stream that is being read, and line the beginning of its present line.
	part part
	line []byte
}

// part is a part of the stream of answers.
type part int

const (
	// statusLine is the first line of an answer.
	statusLine part = iota
	// interimHead is the rest of the head of an interim answer.
	interimHead
	// finalAnswer is the rest of a final answer.
	finalAnswer
)

// maxCheckedLine is the number of bytes of a line that are looked at, enough for the status.
const maxCheckedLine = 64

func (c *checkedConn) Write(p []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(p)
}

func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.check(p[:n]); invalid != nil {
		c.invalid.Store(invalid)
		return 0, invalid
	}
	return n, err
}

// check looks at bytes that were read. It returns an error for the first invalid status.
func (c *checkedConn) check(read []byte) *InvalidError {
	if c.part == finalAnswer && len(read) > 0 && c.written.Load() {
		c.part = statusLine // the answer to the next request
	}
	for _, b := range read {
		switch {
		case c.part == finalAnswer:
			return nil
		case b != '\n':
			if len(c.line) == 0 && c.part == statusLine {
				c.written.Store(false)
			}
			if len(c.line) < maxCheckedLine && b != '\r' {
				c.line = append(c.line, b)
			}
		case c.part == interimHead:
			if len(c.line) == 0 {
				c.part = statusLine
			}
			c.line = c.line[:0]
		default:
			status, invalid := checkLine(c.line)
			if invalid != nil {
				return invalid
			}
			if c.part = finalAnswer; isInterim(status) {
				c.part = interimHead
			}
			c.line = c.line[:0]
		}
	}
	return nil
}

// headSize returns the size of a head, in bytes, with the shortest status line.
func headSize(header textproto.MIMEHeader) int {
	const line, end = len("HTTP/1.1 100 \r\n"), len("\r\n")
	size := line + end
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(": ") + len(value) + end
		}
	}
	return size
}
