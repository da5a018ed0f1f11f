package httpstatus

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

const (
	// firstFinal and lastFinal are the lowest and the highest status of a final answer.
	firstFinal, lastFinal = 200, 599
	// digits is the number of digits of a status.
	digits = 3
)

// IsFinal reports whether a status is that of a final answer.
func IsFinal(status int) bool { return status >= firstFinal && status <= lastFinal }

// isInterim reports whether a status is that of an interim answer. A switch of protocols is none: nobody asks for it, and what
// follows it isn't HTTP.
func isInterim(status int) bool {
	return status == http.StatusContinue || status == http.StatusProcessing || status == http.StatusEarlyHints
}

// InvalidError is the error for an answer whose status, or whose use of an interim status, is not valid.
type InvalidError struct{ Status string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("status %.16q is not that of an answer", e.Status)
}

func invalid(status int) error { return &InvalidError{Status: fmt.Sprintf("%03d", status)} }

// CheckFinal returns an InvalidError unless the status is that of a final answer.
func CheckFinal(status int) error {
	if !IsFinal(status) {
		return invalid(status)
	}
	return nil
}

// CheckInterim returns an InvalidError unless the status is that of an interim answer, which has no body and so neither a
// length nor a transfer coding. net/http takes the codings out of the header.
func CheckInterim(status int, header http.Header, transferEncoding []string) error {
	if !isInterim(status) || header.Get("Content-Length") != "" || len(transferEncoding) > 0 {
		return invalid(status)
	}
	return nil
}

// CheckLine returns an InvalidError unless the status in a status line is that of an interim or a final answer. A line of
// another form passes: the parser of the answer rejects it.
func CheckLine(line []byte) error {
	_, rest, hasStatus := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
	if !hasStatus {
		return nil
	}
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status := 0
	for _, b := range text {
		if b < '0' || b > '9' || len(text) != digits {
			return &InvalidError{Status: string(text)}
		}
		status = 10*status + int(b-'0')
	}
	if !isInterim(status) && !IsFinal(status) {
		return &InvalidError{Status: string(text)}
	}
	return nil
}

// Transport is a transport of net/http that fails when the status of an answer is not valid. The connection ends then, so that
// no byte behind the head is read.
type Transport struct {
	Base http.RoundTripper
	// MaxInterimBytes is the maximum size of the heads of the interim answers to one request. The transport of net/http limits
	// only the size of each when they are looked at.
	MaxInterimBytes int
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn // set by the goroutine that is in RoundTrip
	interimBytes := 0 // belongs to the goroutine that reads the connection
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			if interimBytes += headSize(header); interimBytes > t.MaxInterimBytes {
				return fmt.Errorf("interim answers exceeded %d bytes", t.MaxInterimBytes)
			}
			return CheckInterim(status, http.Header(header), nil)
		},
	})
	response, err := t.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(response.StatusCode); err != nil {
		_ = response.Body.Close()
		_ = conn.Close() // net/http would keep a connection behind a complete body
		return nil, err
	}
	return response, nil
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
