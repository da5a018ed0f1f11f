package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

const (
	// readBuffer is the initial size of the read buffer, enough for a typical head. A larger head gets a larger buffer.
	readBuffer = 4 << 10
	// defaultHeaderBytes is the maximum size of a head before a configuration is known.
	defaultHeaderBytes = 16 << 10
	// defaultBodyBytes is the maximum size of a body before a configuration is known.
	defaultBodyBytes = 1 << 20
	// defaultHeaderTimeout is the maximum time from the first byte of a head to its end before a configuration is known.
	defaultHeaderTimeout = 5 * time.Second
	// bodyTimeout is the maximum time for reading a body.
	bodyTimeout = 30 * time.Second
)

// incomingRequest is one request read from a caller.
type incomingRequest struct {
	request *call.Request
	host    string
	// receivedAt is when the request was read.
	receivedAt time.Time
	// callerTimeout is the timeout sent by the caller; zero if it sent none.
	callerTimeout time.Duration
	method        string
	// closing is true if the connection ends after the answer, as the caller asked.
	closing bool
}

// rejection is the error answer to a request that cannot be read. The rest of the connection is not read.
type rejection struct {
	status int
	err    *fault.Error
}

// continueExpected reports that the caller waits for 100 Continue before it sends the body.
type continueExpected struct{}

// requestReader reads the requests of one connection, one after the other. It belongs to the reading goroutine of a
// caller's connection.
type requestReader struct {
	conn    net.Conn
	buffer  *bufio.Reader
	limits  func() fleet.Limits
	dialect Dialect
	// notify reports an event before the request is complete.
	notify func(any)
}

var errMalformed = errors.New("malformed head")

// next returns an incoming request, a rejection, or an error when the connection has ended.
func (r *requestReader) next() (any, error) {
	if _, err := r.buffer.Peek(1); err != nil {
		return nil, err
	}
	limits := r.limits()
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	head, err := r.head(limits)
	if err != nil {
		return rejectionOf(err)
	}
	if err := checkHead(head); err != nil {
		return rejectionOf(err)
	}
	request, err := http.ReadRequest(r.buffer)
	if err != nil {
		return rejectionOf(errMalformed)
	}
	return r.body(request, limits)
}

func rejectionOf(err error) (any, error) {
	var timeout net.Error
	switch {
	case errors.Is(err, errMalformed):
		return rejection{http.StatusBadRequest, fault.New(fault.BadRequest, "send HTTP/1.1 with one clear length",
			"request cannot be read")}, nil
	case errors.Is(err, bufio.ErrBufferFull):
		return rejection{http.StatusRequestHeaderFieldsTooLarge,
			fault.New(fault.TooLarge, "send a shorter header", "header is too long")}, nil
	case errors.As(err, &timeout) && timeout.Timeout():
		return rejection{http.StatusRequestTimeout, fault.New(fault.BadRequest, "send the request in time",
			"request did not arrive in time")}, nil
	}
	return nil, err
}

// head returns the next head up to the empty line, without consuming it.
func (r *requestReader) head(limits fleet.Limits) ([]byte, error) {
	limit := limits.HeaderBytes
	if limit <= 0 {
		limit = defaultHeaderBytes
	}
	for {
		seen, _ := r.buffer.Peek(r.buffer.Buffered()) // peeking at buffered bytes never fails
		for len(seen) >= 2 && seen[0] == '\r' && seen[1] == '\n' {
			if _, err := r.buffer.Discard(2); err != nil { // empty lines before a request are skipped
				return nil, err
			}
			seen = seen[2:]
		}
		if end := bytes.Index(seen, []byte("\r\n\r\n")); end >= 0 {
			if end > limit {
				return nil, bufio.ErrBufferFull
			}
			return seen[:end+2], nil
		}
		if bytes.Contains(seen, []byte("\n\n")) || bytes.Contains(seen, []byte("\n\r\n")) &&
			!bytes.Contains(seen, []byte("\r\n\r\n")) {
			return nil, errMalformed
		}
		if len(seen) > limit {
			return nil, bufio.ErrBufferFull
		}
		if len(seen) == r.buffer.Size() {
			r.grow(seen, limit)
			continue
		}
		if _, err := r.buffer.Peek(len(seen) + 1); err != nil {
			return nil, err
		}
	}
}

// grow doubles the buffer, up to a size that can hold a head of the maximum size.
func (r *requestReader) grow(seen []byte, limit int) {
	kept := bytes.Clone(seen)
	size := r.buffer.Size() + min(r.buffer.Size(), limit-len(seen)+readBuffer)
	r.buffer = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(kept), r.conn), size)
}

// checkHead rejects heads that two parsers could read as different requests (request smuggling): bare line feeds, folded
// lines, more than one length, or a length together with chunked coding.
func checkHead(head []byte) error {
	lengths, codings := 0, 0
	for number, line := range bytes.Split(bytes.TrimSuffix(head, []byte("\r\n")), []byte("\r\n")) {
		if bytes.ContainsAny(line, "\r\n\x00") || number > 0 && (len(line) == 0 || line[0] == ' ' || line[0] == '\t') {
			return errMalformed
		}
		if number == 0 {
			continue
		}
		name, value, found := strings.Cut(string(line), ":")
		if !found || strings.ContainsAny(name, " \t") {
			return errMalformed
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return errMalformed
			}
			codings++
		}
	}
	if lengths+codings > 1 {
		return errMalformed
	}
	return nil
}

// body reads the complete body of a request.
func (r *requestReader) body(request *http.Request, limits fleet.Limits) (any, error) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	tooLarge := rejection{http.StatusRequestEntityTooLarge, fault.New(fault.TooLarge, "send a shorter body", "body is too long")}
	if request.ContentLength > limit {
		return tooLarge, nil
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		request.Header.Del("Expect")
		if request.ContentLength != 0 {
			r.notify(continueExpected{})
		}
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	limit = min(limit, math.MaxInt64-1)
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	switch {
	case err != nil && errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	case err != nil:
		var network net.Error
		if errors.As(err, &network) {
			return rejectionOf(err)
		}
		return rejectionOf(errMalformed)
	case int64(len(body)) > limit:
		return tooLarge, nil
	}
	if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return r.translate(request, body), nil
}

// translate converts a parsed request to the form in which it is sent on, and decodes the metadata of the caller.
func (r *requestReader) translate(request *http.Request, body []byte) *incomingRequest {
	target := request.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = request.URL.RequestURI() // the target is in absolute form; net/http has already extracted the host
	}
	path, query, _ := strings.Cut(target, "?")
	host, _, found := strings.Cut(request.Host, ":")
	if !found {
		host = request.Host
	}
	info := r.dialect.RequestInfo(request.Header)
	header := backend.EndToEnd(request.Header)
	header = append(header, call.Field{Name: "Host", Value: request.Host})
	return &incomingRequest{
		request: &call.Request{ID: info.ID, Method: request.Method, Path: path, Query: query, Header: header, Body: body},
		host:    strings.ToLower(host), receivedAt: time.Now(), callerTimeout: info.Timeout, method: request.Method,
		closing: request.Close,
	}
}
