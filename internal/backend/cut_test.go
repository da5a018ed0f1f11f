package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
)

// cutConn is a connection to a server that takes a request, sends some bytes and ends. It is used by one task.
type cutConn struct {
	answer io.Reader
	// end is the error of a read behind the bytes: io.EOF for an orderly end, ECONNRESET for a reset.
	end      error
	received bool
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if err == io.EOF {
		err = c.end
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) { c.received = true; return len(p), nil }

func (*cutConn) Close() error                     { return nil }
func (*cutConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*cutConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*cutConn) SetDeadline(time.Time) error      { return nil }
func (*cutConn) SetReadDeadline(time.Time) error  { return nil }
func (*cutConn) SetWriteDeadline(time.Time) error { return nil }

// readCut sends a request to a server that sends the bytes and ends. It returns the result, the body that a caller receives,
// and the error at the end of the body.
func readCut(t *testing.T, method, answer string, end error) (Result, string, error) {
	t.Helper()
	conn := &cutConn{answer: strings.NewReader(answer), end: &net.OpError{Op: "read", Err: os.NewSyscallError("read", end)}}
	if end == io.EOF {
		conn.end = io.EOF
	}
	pool, err := NewPool("10.0.0.1:80", func(context.Context, string) (net.Conn, error) { return conn, nil }, PoolSize{MaxConnections: 1})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = pool.Run(ctx); close(ended) }()
	defer func() { stop(); <-ended }()
	r := pool.Do(t.Context(), &call.Request{Method: method, Service: "s", Path: "/"})
	if r.Answer == nil || r.Answer.Stream == nil {
		if r.Answer == nil {
			return r, "", r.Err
		}
		return r, string(r.Answer.Body), nil
	}
	body, err := io.ReadAll(r.Answer.Stream)
	if err == nil && r.Answer.Length >= 0 && int64(len(body)) < r.Answer.Length {
		err = io.ErrUnexpectedEOF // the writer of the answer to the caller finds out as well
	}
	return r, string(body), err
}

// Guards against an answer that is forwarded as complete although its server stopped in the middle of the head or of the body
// and closed or reset the connection (report of an operator: a 200 with an empty or short body).
func TestAnswerCutAtAnyPointIsNotComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nBackend-State: ready\r\nX-Long: " + strings.Repeat("x", 40) + "\r\n"
	short, long := "0123456789abcdef", strings.Repeat("0123456789abcdef", MaxBufferedAnswerBytes/16+3)
	chunk := func(s string) string { return strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n" }
	half := len(long) / 2
	for name, c := range map[string]struct {
		method, head, rest, body string
		// endsWithConnection is true if only the orderly end of the connection ends the body.
		endsWithConnection bool
	}{
		"length":           {"GET", head + "Content-Length: 16\r\n\r\n", short, short, false},
		"length last":      {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n", short, short, false},
		"two digits":       {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0016\r\n\r\n", short, short, false},
		"empty":            {"GET", head + "Content-Length: 0\r\n\r\n", "", "", false},
		"HTTP/1.0":         {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 16\r\n\r\n", short, short, false},
		"chunked":          {"GET", head + "Transfer-Encoding: chunked\r\n\r\n", chunk(short[:5]) + chunk(short[5:]) + "0\r\n\r\n", short, false},
		"trailer":          {"GET", head + "Transfer-Encoding: chunked\r\n\r\n", chunk(short) + "0\r\nX-End: yes\r\n\r\n", short, false},
		"end":              {"GET", head + "Connection: close\r\n\r\n", short, short, true},
		"end HTTP/1.0":     {"GET", "HTTP/1.0 200 OK\r\n\r\n", short, short, true},
		"no content":       {"GET", "HTTP/1.1 204 No Content\r\nBackend-State: ready\r\n\r\n", "", "", false},
		"answer to HEAD":   {"HEAD", head + "Content-Length: 16\r\n\r\n", "", "", false},
		"interim":          {"GET", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 16\r\n\r\n", short, short, false},
		"interim continue": {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n", short, short, false},
		"failure":          {"GET", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 16\r\n\r\n", short, short, false},
		"long":             {"GET", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)), long, long, false},
		"long chunked":     {"GET", head + "Transfer-Encoding: chunked\r\n\r\n", chunk(long[:half]) + chunk(long[half:]) + "0\r\n\r\n", long, false},
		"long end":         {"GET", head + "\r\n", long, long, true},
	} {
		for endName, end := range map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET} {
			t.Run(name+" "+endName, func(t *testing.T) {
				whole := c.head + c.rest
				for cut := 0; cut <= len(whole); cut++ {
					if len(whole) > 4096 && cut > len(c.head)+16 && cut < len(whole)-16 && cut%4093 != 0 {
						continue // each point near the ends, and some in the middle
					}
					r, body, err := readCut(t, c.method, whole[:cut], end)
					complete := cut == len(whole) && (!c.endsWithConnection || end == io.EOF)
					switch {
					case c.endsWithConnection && end == io.EOF && cut >= len(c.head):
						if err != nil || body != c.rest[:cut-len(c.head)] {
							t.Fatalf("cut at %d: %d bytes, %v", cut, len(body), err)
						}
					case complete && (err != nil || body != c.body || r.Answer.Status == http.StatusContinue):
						t.Fatalf("the complete answer is not forwarded: %d bytes, %v", len(body), err)
					case !complete && err == nil:
						t.Fatalf("cut at %d of %d, behind %q: forwarded as complete with status %d and %d bytes", cut, len(whole),
							whole[max(0, cut-20):cut], r.Answer.Status, len(body))
					case !complete && r.Answer == nil && r.Fate.SurelyNotRun():
						t.Fatalf("cut at %d: the request counts as not run", cut)
					}
				}
			})
		}
	}
}
