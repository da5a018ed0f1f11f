package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/memory"
)

const (
	// readBuffer is the initial size of the read buffer, enough for a typical head. A larger head gets a larger buffer.
	readBuffer = 4 << 10
	// maxHeadLines is the maximum number of lines of a head.
	maxHeadLines = 256
	// headFactor and lineBytes give the memory that a decoded head takes: its bytes several times, and the entry of each line.
	headFactor = 3
	lineBytes  = 200
	// smallHead is the memory of a head up to which it is not taken from the budget of the bodies.
	smallHead = 8 << 10
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
	// lease is the memory that the body and a long head take.
	lease *memory.Lease
	// last is true if no further request is read from the connection, because the caller asked for its end or reading was
	// stopped.
	last bool
	// http10 is true for HTTP/1.0, which has no chunked coding. Such a connection is not kept.
	http10 bool
}

// rejection is the error answer to a request that cannot be read. The rest of the connection is not read.
type rejection struct {
	status int
	err    *fault.Error
	// retryAfter is when the request may be sent again; zero if it must be changed first.
	retryAfter time.Duration
}

// continueExpected reports that the caller waits for 100 Continue before it sends the body.
type continueExpected struct{}

// requestBegun reports the first byte of a request.
type requestBegun struct{ at time.Time }

// requestReader reads the requests of one connection, one after the other. It belongs to the reading goroutine of a
// caller's connection.
type requestReader struct {
	source  *arrivedReader
	buffer  *bufio.Reader
	limits  func() fleet.Limits
	dialect Dialect
	// stopOrder is done when reading should end as soon as no request has begun.
	stopOrder context.Context
	// readSinceStop is the number of requests that were read since then.
	readSinceStop int
	// notify reports an event before the request is complete.
	notify func(any)
	// bodies bounds the memory of the bodies, which are released at the latest when the lifetime of the connection ends.
	bodies   *memory.Budget
	lifetime context.Context
}

func newRequestReader(conn net.Conn, limits func() fleet.Limits, dialect Dialect, stopOrder context.Context,
	notify func(any), bodies *memory.Budget, lifetime context.Context) *requestReader {
	source := &arrivedReader{conn: conn}
	return &requestReader{source: source, buffer: bufio.NewReaderSize(source, readBuffer), limits: limits, dialect: dialect,
		stopOrder: stopOrder, notify: notify, bodies: bodies, lifetime: lifetime}
}

var errMalformed = errors.New("malformed head")

// next returns an incoming request, a rejection, or readingStopped; last is true if it is the last one. It returns an error
// when the connection has ended.
func (r *requestReader) next() (m any, last bool, err error) {
	begun, err := r.awaitRequest()
	if err != nil {
		return nil, false, err
	}
	if !begun {
		return readingStopped{}, true, nil
	}
	m, err = r.readRequest()
	switch m := m.(type) {
	case rejection:
		last = true
	case *incomingRequest:
		m.last = m.last || r.isLast()
		last = m.last
	}
	return m, last, err
}

// awaitRequest waits for the first byte of a request. It returns false if reading was stopped before one arrived.
func (r *requestReader) awaitRequest() (bool, error) {
	if r.buffer.Buffered() > 0 {
		return true, nil
	}
	if err := r.source.setDeadline(time.Time{}); err != nil {
		return false, err
	}
	interrupted := make(chan struct{})
	cancel := context.AfterFunc(r.stopOrder, func() {
		_ = r.source.conn.SetReadDeadline(time.Unix(1, 0)) // a broken connection ends the read as well
		close(interrupted)
	})
	_, err := r.buffer.Peek(1)
	if !cancel() {
		<-interrupted // the deadline is not changed any more
	}
	if err != nil && r.stopOrder.Err() != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}

// isLast reports whether reading ends with the request that has just been read. Requests that had begun when reading was
// stopped are read, up to the limit for pipelined ones.
func (r *requestReader) isLast() bool {
	if r.stopOrder.Err() == nil {
		return false
	}
	r.readSinceStop++
	return r.buffer.Buffered() == 0 || r.readSinceStop >= maxPipelined
}

// readRequest reads a request that has begun.
func (r *requestReader) readRequest() (any, error) {
	r.notify(requestBegun{at: time.Now()})
	limits := r.limits()
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if err := r.source.setDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	head, err := r.head(limits)
	if err != nil {
		return rejectionOf(err)
	}
	if err := checkHead(head); err != nil {
		return rejectionOf(err)
	}
	headMemory := int64(headFactor*len(head) + lineBytes*bytes.Count(head, []byte("\n")))
	request, err := http.ReadRequest(r.buffer)
	if err != nil {
		return rejectionOf(errMalformed)
	}
	var lease *memory.Lease
	if headMemory > smallHead || request.ContentLength != 0 {
		lease = r.bodies.NewLease(r.lifetime)
	}
	if headMemory > smallHead && !lease.Grow(headMemory) {
		lease.Release()
		return rejectionOf(memory.ErrExhausted)
	}
	return r.body(request, lease, limits)
}

func rejectionOf(err error) (any, error) {
	switch {
	case errors.Is(err, errMalformed):
		return rejection{status: http.StatusBadRequest, err: fault.New(fault.BadRequest, "send HTTP/1.1 with one clear length",
			"request cannot be read")}, nil
	case errors.Is(err, bufio.ErrBufferFull):
		return rejection{status: http.StatusRequestHeaderFieldsTooLarge,
			err: fault.New(fault.TooLarge, "send a shorter header", "header is too long")}, nil
	case errors.Is(err, memory.ErrExhausted):
		return rejection{status: http.StatusServiceUnavailable, err: fault.New(fault.Overloaded, "send the request again later",
			"other requests take the memory"), retryAfter: shortRetryAfter}, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejection{status: http.StatusRequestTimeout, err: fault.New(fault.BadRequest, "send the request in time",
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
			if end > limit || bytes.Count(seen[:end], []byte("\n")) >= maxHeadLines {
				return nil, bufio.ErrBufferFull
			}
			return seen[:end+2], nil
		}
		if bytes.Contains(seen, []byte("\n\n")) || bytes.Contains(seen, []byte("\n\r\n")) &&
			!bytes.Contains(seen, []byte("\r\n\r\n")) {
			return nil, errMalformed
		}
		if len(seen) > limit || bytes.Count(seen, []byte("\n")) > maxHeadLines {
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
	r.buffer = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(kept), r.source), size)
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

// body reads the complete body of a request. The lease is released if it returns no request.
func (r *requestReader) body(request *http.Request, lease *memory.Lease, limits fleet.Limits) (m any, err error) {
	defer func() {
		if in, ok := m.(*incomingRequest); ok {
			in.lease = lease
		} else {
			lease.Release()
		}
	}()
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	tooLarge := rejection{status: http.StatusRequestEntityTooLarge, err: fault.New(fault.TooLarge, "send a shorter body", "body is too long")}
	if request.ContentLength > limit {
		return tooLarge, nil
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		request.Header.Del("Expect")
		if request.ContentLength != 0 {
			r.notify(continueExpected{})
		}
	}
	if err := r.source.setDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	limit = min(limit, math.MaxInt64-1)
	if request.ContentLength == 0 {
		return r.translate(request, nil), nil
	}
	body, err := lease.ReadBody(request.Body, request.ContentLength, limit)
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return rejectionOf(err)
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
		last: request.Close || !request.ProtoAtLeast(1, 1), http10: !request.ProtoAtLeast(1, 1),
	}
}
