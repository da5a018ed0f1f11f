package backend

import (
	"errors"
	"net"
	"os"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

const (
	// maxHeadBytes is the maximum size of the head of an answer, together with the interim answers before it.
	maxHeadBytes = 32 << 10
	// maxHeadLines is the maximum number of lines of a head. A short line takes up to a hundred times its bytes once it is
	// decoded.
	maxHeadLines = 256
	// maxInterimAnswers is the maximum number of interim (1xx) answers before an answer.
	maxInterimAnswers = 8
	// maxForeignBytes is the maximum size of the bodies of all answers to earlier requests that are skipped in one exchange,
	// with their chunk framing.
	maxForeignBytes = 1 << 20
	// maxCheckBodyBytes is the maximum size of the body of the answer to a health check, with its chunk framing.
	maxCheckBodyBytes = 16 << 10
	// maxErrorBytes is the maximum size of the text of an error that may quote what a server sent.
	maxErrorBytes = 256
	// unlimitedBytes turns the limit of a limitedConn off.
	unlimitedBytes = -1
)

var errTooLong = errors.New("answer is too long")

// IsInvalidAnswer reports whether an exchange ended because of the bytes that the server sent, and not because the
// connection broke or the time was over.
func IsInvalidAnswer(err error) bool { return fault.Is(err, fault.BadBackend) }

// limitedConn limits the bytes that are read, and counts those that were written, so that a request of which nothing was
// sent can be recognized.
type limitedConn struct {
	net.Conn
	written int
	// readable is the number of bytes that may still be read, or unlimitedBytes.
	readable int
	// linesLeft is the number of lines that may still be read up to the end of a head; it is checked only while inHead is true.
	// line is the length of the line that is being read, without its end.
	linesLeft, line int
	inHead          bool
	// readFailed is true when a read has failed for a reason other than the limit.
	readFailed bool
	// lateSince is when bytes were first read after the deadline; zero when none were.
	lateSince time.Time
}

// beginExchange forgets what happened to the last exchange.
func (c *limitedConn) beginExchange() { c.written, c.lateSince = 0, time.Time{} }

// beginHead limits the lines that are read up to the next empty one. Those that have been read before are not counted, which the
// size of the read buffer bounds.
func (c *limitedConn) beginHead() { c.inHead, c.linesLeft, c.line = true, maxHeadLines, 0 }

// countLines counts the lines of a head in bytes that were read. It returns false when there are too many.
func (c *limitedConn) countLines(read []byte) bool {
	for _, b := range read {
		switch {
		case !c.inHead:
			return true
		case b == '\n':
			c.inHead = c.line > 0
			c.line = 0
			c.linesLeft--
		case b != '\r':
			c.line++
		}
		if c.linesLeft < 0 {
			return false
		}
	}
	return true
}

// Read fails when more bytes are wanted than may be read, or more lines of a head. After the deadline it still returns the bytes
// that have arrived: the process may have been late and not the server.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.readable == 0 {
		return 0, errTooLong
	}
	if c.readable > 0 {
		p = p[:min(len(p), c.readable)]
	}
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnread() {
		if c.lateSince.IsZero() {
			c.lateSince = time.Now()
		}
		if err = c.SetReadDeadline(time.Now().Add(tcp.LookTime)); err == nil {
			n, err = c.Conn.Read(p)
		}
	}
	if c.readable > 0 {
		c.readable -= n
	}
	if !c.countLines(p[:n]) {
		return 0, errTooLong
	}
	c.readFailed = c.readFailed || err != nil
	return n, err
}

func (c *limitedConn) hasUnread() bool {
	if !c.lateSince.IsZero() && time.Since(c.lateSince) >= tcp.MaxLateReading {
		return false
	}
	unread, known := tcp.HasUnread(c.Conn)
	return known && unread
}

func (c *limitedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// answerError returns the error of an answer that could not be read. Without a failed read the bytes are the cause.
func (c *limitedConn) answerError(err error) error {
	if c.readFailed {
		return err
	}
	if text := err.Error(); len(text) > maxErrorBytes {
		err = errors.New(strings.ToValidUTF8(text[:maxErrorBytes], "") + "...")
	}
	return fault.Wrap(err, fault.BadBackend, "correct the server", "bytes of the backend server are no answer to the request")
}
