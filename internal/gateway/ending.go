package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ending is the cause for which the connection of a caller ended. It is part of metric names and of the log line.
type ending string

// Causes for which the connection of a caller ends.
const (
	// endIdle: the idle timeout has passed. endStop: idle connections are closed while the instance stops.
	endIdle, endStop ending = "idle", "stop"
	// endAnswer: an answer that closes the connection was written. endRejected: the answer to an unreadable request was.
	endAnswer, endRejected ending = "answer", "rejected"
	// endCallerClosed: the caller closed its side or both. endReset: it reset the connection.
	endCallerClosed, endReset ending = "caller-closed", "reset"
	// endUnreachable: the kernel ended the connection because the peer acknowledged nothing (keep-alive, TCP_USER_TIMEOUT).
	endUnreachable ending = "unreachable"
	// endReadFailed: another error of a read. endWriteTimeout, endWriteFailed: an answer could not be written.
	endReadFailed, endWriteTimeout, endWriteFailed ending = "read-failed", "write-timeout", "write-failed"
	// endStream: the backend server broke off a long answer of which the caller has a part.
	endStream ending = "stream"
	// endTooMany: too many connections were open when this one was accepted.
	endTooMany ending = "too-many"
	// endProcess: the drain time has passed and the process ends.
	endProcess ending = "process"
)

// maxLoggedRequests bounds the ids in the line about the end of a connection.
const maxLoggedRequests = 16

// endOfRead returns the cause for an error of a read.
func endOfRead(err error) ending {
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return endCallerClosed
	case errors.Is(err, syscall.ECONNRESET):
		return endReset
	case isUnreachable(err):
		return endUnreachable
	}
	return endReadFailed
}

// endOfWrite returns the cause for an error of writing an answer.
func endOfWrite(err error) ending {
	var stream streamError
	var callerEnd callerEndError
	var processEnd processEndError
	switch {
	case errors.As(err, &processEnd):
		return endProcess
	case errors.As(err, &callerEnd):
		return endOfRead(callerEnd.error)
	case errors.As(err, &stream):
		return endStream
	case isUnreachable(err):
		return endUnreachable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endWriteTimeout
	}
	return endWriteFailed
}

func isUnreachable(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// inHand describes the requests that have no complete answer when a connection ends.
type inHand struct {
	// ids holds the first maxLoggedRequests ids.
	ids []string
	// unanswered counts the requests that were taken up, notTakenUp those that were read only.
	unanswered, notTakenUp int
	// beingRead is true if a part of a further request has arrived.
	beingRead bool
	// since is when the oldest was read, or when the first byte of the one being read arrived.
	since time.Time
}

// add adds a request that was read.
func (h *inHand) add(id string, receivedAt time.Time) {
	if id != "" && len(h.ids) < maxLoggedRequests {
		h.ids = append(h.ids, id)
	}
	if h.since.IsZero() || receivedAt.Before(h.since) {
		h.since = receivedAt
	}
}

func (h *inHand) isEmpty() bool { return h.unanswered+h.notTakenUp == 0 && !h.beingRead }

// requestsInHand returns the requests without a complete answer. It takes what the reading goroutine waits to pass on, so
// it is called only when the connection ends.
func (c *caller) requestsInHand() inHand {
	var h inHand
	if c.unwritten != nil {
		h.unanswered++
		h.add(c.unwritten.id, c.unwritten.receivedAt)
	}
	for _, q := range c.queue {
		h.unanswered++
		h.add(q.id, q.receivedAt)
	}
	noteRead := func(m any) {
		c.noteRead(m)
		if in, ok := m.(*incomingRequest); ok {
			h.notTakenUp++
			h.add(in.request.ID, in.receivedAt)
		}
	}
	for _, m := range c.held {
		noteRead(m)
	}
	for {
		select {
		case m := <-c.readEvents:
			noteRead(m)
			continue
		default:
		}
		break
	}
	h.beingRead = !c.begunAt.IsZero()
	if h.beingRead && h.since.IsZero() {
		h.since = c.begunAt
	}
	return h
}

// noteRead records whether a request is being read, and ends the wait for 100 Continue with it.
func (c *caller) noteRead(m any) {
	switch m := m.(type) {
	case requestBegun:
		c.begunAt = m.at
	case *incomingRequest, rejection:
		c.begunAt, c.continuePending = time.Time{}, false
	}
}

// reportEnd counts the end of the connection and logs the requests without a complete answer.
func (c *caller) reportEnd() {
	h := c.requestsInHand()
	c.requests.counters.closeConnection(c.cause, h.unanswered+h.notTakenUp)
	if h.isEmpty() {
		return
	}
	now := time.Now()
	c.requests.log.LogAttrs(context.Background(), slog.LevelWarn, "connection of a caller ended with requests in hand",
		slog.String("cause", string(c.cause)), slog.Any("requests", h.ids), slog.Int("unanswered", h.unanswered),
		slog.Int("not_taken_up", h.notTakenUp), slog.Bool("being_read", h.beingRead), slog.String("state", c.stateBefore),
		slog.Int64("in_hand_ms", now.Sub(h.since).Milliseconds()), slog.Int64("idle_ms", now.Sub(c.idleSince).Milliseconds()),
		slog.String("remote", c.conn.RemoteAddr().String()), slog.Any("error", c.endError))
}

// closeConnection counts the end of a caller's connection and the requests that were read and got no complete answer.
func (c *counters) closeConnection(cause ending, cut int) {
	metrics.GetOrRegisterCounter("gateway.connections_closed."+string(cause), c.registry).Inc(1)
	if cut > 0 {
		metrics.GetOrRegisterCounter("gateway.requests_cut."+string(cause), c.registry).Inc(int64(cut))
	}
}
