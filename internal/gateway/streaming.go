package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// callerEndError is the error of a read that ended the connection while an answer was being written.
type callerEndError struct{ error }

// Unwrap returns the error of the read.
func (e callerEndError) Unwrap() error { return e.error }

// processEndError is the error of an answer that the end of the process cuts off.
type processEndError struct{ error }

// Unwrap returns the error of the cancelled answer.
func (e processEndError) Unwrap() error { return e.error }

// writeReply writes the reply to a request. While a long answer is written by another goroutine, which then owns the writer,
// the task takes up what the caller sends, so that the end of the connection ends the answer. A request that arrives meanwhile
// is not passed on before the answer is written: if its server breaks it off, the connection ends.
func (c *caller) writeReply(r *reply, q *pendingRequest) error {
	if r.stream == nil {
		return r.write(c.writer, q)
	}
	written := make(chan error, 1)
	pipelined := len(c.queue) > 1
	go func() {
		if pipelined {
			c.completeAnswer(r, q)
		}
		written <- r.write(c.writer, q)
	}()
	readEvents := c.readEvents
	if len(c.held) >= maxHeld {
		readEvents = nil
	}
	for {
		select {
		case err := <-written:
			return err
		case <-c.processEnding:
			c.cancel()
			if err := <-written; err != nil {
				return processEndError{err}
			}
			return nil
		case m := <-readEvents:
			switch m := m.(type) {
			case readEnd:
				c.cancel()
				if err := <-written; err != nil { // the cancelled copy ends the answer
					return callerEndError{m.err}
				}
				c.readEvents <- m // nothing else is sent there any more
				return nil
			case *incomingRequest:
				c.held = append(c.held, m) // it is taken up when the answer is written
			default:
				c.receive(m)
			}
			if len(c.held) >= maxHeld {
				readEvents = nil
			}
		}
	}
}

// maxCompletedAnswer is the maximum size of an answer that is read completely before it is written, because other requests wait
// behind it on the connection.
const maxCompletedAnswer = 1 << 20

// completeAnswer reads a long answer completely, so that the requests behind it are answered even if its server breaks it off.
// An answer that is too long, or for which there is no memory, stays a stream.
func (c *caller) completeAnswer(r *reply, q *pendingRequest) {
	size := r.length
	if size < 0 {
		size = maxCompletedAnswer
	}
	lease := c.requests.bodies.NewLease(c.ctx)
	if size > maxCompletedAnswer || !lease.Grow(size) {
		lease.Release()
		return
	}
	body, complete, err := readUpTo(r.stream, int(size))
	if complete && r.length >= 0 && int64(len(body)) < r.length {
		err = io.ErrUnexpectedEOF
	}
	stream, done := r.stream, r.done
	finish := func() {
		lease.Release()
		_ = stream.Close() // an error of the close has no consequence
		if done != nil {
			done()
		}
	}
	switch {
	case err != nil:
		*r = localReply(c.dialect, q.id, http.StatusBadGateway, fault.Wrap(err, fault.OutcomeUnknown,
			"find out whether the request took effect before you send it again", "answer of the backend server was cut off"), 0)
		r.done = finish
	case complete:
		r.body, r.stream, r.done = body, nil, finish
	default:
		r.stream = joinedStream{Reader: io.MultiReader(bytes.NewReader(body), stream), Closer: stream}
		r.done = finish
	}
}

// joinedStream is a stream of which a part has been read.
type joinedStream struct {
	io.Reader
	io.Closer
}

// readUpTo reads at most the given number of bytes. Complete is true if the stream has ended in order.
func readUpTo(stream io.Reader, size int) (read []byte, complete bool, err error) {
	buffer := make([]byte, 0, size+1)
	for len(buffer) <= size {
		n, err := stream.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return buffer, true, nil
		}
		if err != nil {
			return buffer, false, err
		}
	}
	return buffer, false, nil
}
