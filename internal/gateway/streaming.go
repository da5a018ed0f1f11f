package gateway

// callerEndError is the error of a read that ended the connection while an answer was being written.
type callerEndError struct{ error }

// Unwrap returns the error of the read.
func (e callerEndError) Unwrap() error { return e.error }

// processEndError is the error of an answer that the end of the process cuts off.
type processEndError struct{ error }

// Unwrap returns the error of the cancelled answer.
func (e processEndError) Unwrap() error { return e.error }

// writeReply writes the reply to a request. While a long answer is written by another goroutine, which then owns the writer,
// the task takes up what the caller sends, so that the end of the connection ends the answer.
func (c *caller) writeReply(r *reply, q *pendingRequest) error {
	if r.stream == nil {
		return r.write(c.writer, q)
	}
	written := make(chan error, 1)
	go func() { written <- r.write(c.writer, q) }()
	for {
		readEvents := c.readEvents
		if len(c.queue) >= maxPipelined {
			readEvents = nil
		}
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
			if end, ok := m.(readEnd); ok {
				c.cancel()
				if err := <-written; err != nil { // the cancelled copy ends the answer
					return callerEndError{end.err}
				}
				c.readEvents <- end // nothing else is sent there any more
				return nil
			}
			c.handle(m)
		}
	}
}
