package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

const (
	// maxPipelined is the maximum number of unanswered requests of one connection. Further ones are not read yet.
	maxPipelined = 64
	// defaultIdleTimeout is the idle timeout of a connection before a configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// writeTimeout is the maximum time for one write, in case the caller does not read. It is not the time of a whole answer,
	// because a long one takes as long as the backend server sends it.
	writeTimeout = 10 * time.Second
	// writeBuffer is the size of the write buffer, enough for a typical answer head; longer answers are written in parts.
	writeBuffer = 2 << 10
)

// callerServer holds what the tasks of all caller connections share. It is immutable.
type callerServer struct {
	requests  *forwarder
	dialect   Dialect
	snapshots *SnapshotPublisher
	bound     *chart.Bound[*caller]
	// leaving is closed when connections should end after the next answer, closingIdle when idle connections should end at
	// once.
	leaving, closingIdle <-chan struct{}
}

func newCallerServer(requests *forwarder, dialect Dialect, snapshots *SnapshotPublisher,
	leaving, closingIdle <-chan struct{}) (*callerServer, error) {
	ch, err := charts.Load("caller", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*caller]{
		Guards: map[string]func(*caller) bool{"all_answered": func(c *caller) bool { return len(c.queue) == 0 }},
		Actions: map[string]func(*caller){"start_request": (*caller).startRequest, "reject": (*caller).reject,
			"close_socket": (*caller).closeSocket},
	})
	if err != nil {
		return nil, err
	}
	return &callerServer{requests: requests, dialect: dialect, snapshots: snapshots, bound: bound, leaving: leaving,
		closingIdle: closingIdle}, nil
}

func (s *callerServer) limits() fleet.Limits {
	if config := s.snapshots.Newest().Config; config != nil {
		return config.Limits
	}
	return fleet.Limits{}
}

// caller is the task of one caller connection and owns its socket. It is the context of charts/caller.toml.
type caller struct {
	*callerServer
	ctx     context.Context
	cancel  context.CancelFunc
	conn    net.Conn
	writer  *bufio.Writer
	machine *chart.Machine[*caller]
	// readEvents receives what the reading goroutine has read.
	readEvents chan any
	// queue holds the unanswered requests in the order in which they were read.
	queue []pendingRequest
	// incoming and rejection are the arguments of the current event.
	incoming  *incomingRequest
	rejection rejection
	// idleSince is when the last answer was written.
	idleSince time.Time
	// continuePending is true when 100 Continue has to be sent after the pending answers.
	continuePending bool
}

// pendingRequest is an unanswered request.
type pendingRequest struct {
	method string
	// closing is true if the connection ends after the answer.
	closing bool
	// takesChunks is true if the caller understands the chunked coding, as all of HTTP/1.1 do.
	takesChunks bool
	// reply receives the answer.
	reply chan reply
}

// readEnd reports that the caller has closed the connection or that it broke.
type readEnd struct{ err error }

// serve is the body of the task of one caller connection.
func (s *callerServer) serve(ctx context.Context, conn net.Conn) {
	c := &caller{callerServer: s, conn: conn, writer: bufio.NewWriterSize(timedWriter{conn}, writeBuffer), readEvents: make(chan any),
		idleSince: time.Now()}
	c.ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()
	c.machine = s.bound.New(time.Now(), c)
	go c.read()
	for !c.machine.Final() {
		c.waitForEvent()
	}
}

// read reads requests and passes them to the task until the connection ends.
func (c *caller) read() {
	send := func(m any) {
		select {
		case c.readEvents <- m:
		case <-c.ctx.Done():
		}
	}
	r := &requestReader{conn: c.conn, buffer: bufio.NewReaderSize(c.conn, readBuffer), limits: c.limits,
		dialect: c.dialect, notify: send}
	for c.ctx.Err() == nil {
		m, err := r.next()
		if err != nil {
			send(readEnd{err: err})
			return
		}
		send(m)
		if _, rejected := m.(rejection); rejected {
			return
		}
	}
}

func (c *caller) fire(event string) {
	if err := c.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// waitForEvent waits for one event and handles it.
func (c *caller) waitForEvent() {
	readEvents := c.readEvents
	if len(c.queue) >= maxPipelined {
		readEvents = nil
	}
	var firstReply chan reply
	if len(c.queue) > 0 {
		firstReply = c.queue[0].reply
	}
	var closingIdle <-chan struct{}
	var idle <-chan time.Time
	if len(c.queue) == 0 {
		closingIdle = c.closingIdle
		timer := time.NewTimer(time.Until(c.idleDeadline()))
		defer timer.Stop()
		idle = timer.C
	}
	select {
	case m := <-readEvents:
		c.handle(m)
	case r := <-firstReply:
		c.writeAnswer(r)
	case <-closingIdle:
		c.fire("leave")
	case now := <-idle:
		if !now.Before(c.idleDeadline()) { // a new configuration may have changed the idle timeout
			c.fire("idle_timeout")
		}
	}
}

func (c *caller) idleDeadline() time.Time {
	idle := c.limits().IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	return c.idleSince.Add(idle)
}

func (c *caller) handle(m any) {
	switch m := m.(type) {
	case *incomingRequest:
		c.incoming = m
		c.fire("request")
	case rejection:
		c.rejection = m
		c.fire("malformed")
	case continueExpected:
		c.continuePending = true
		c.sendContinue()
	case readEnd:
		c.fire("disconnected")
	}
}

// startRequest starts the task of a request. Its answer is written after the answers to all earlier requests.
func (c *caller) startRequest() {
	q := pendingRequest{method: c.incoming.method, closing: c.incoming.closing, takesChunks: c.incoming.takesChunks,
		reply: make(chan reply, 1)}
	c.queue = append(c.queue, q)
	f := c.requests.newForward(c.ctx, c.incoming)
	go func() { q.reply <- f.run() }()
}

// reject queues the error answer to a request that cannot be read. The connection ends after it.
func (c *caller) reject() {
	q := pendingRequest{method: http.MethodGet, closing: true, reply: make(chan reply, 1)}
	q.reply <- localReply(c.dialect, "", c.rejection.status, c.rejection.err, 0)
	c.queue = append(c.queue, q)
}

// writeAnswer writes the answer to the first pending request.
func (c *caller) writeAnswer(r reply) {
	q := c.queue[0]
	r.closing = r.closing || q.closing || isClosed(c.leaving) || r.endsWithConnection(&q)
	err := c.writeReply(&r, &q)
	if err != nil && r.endsWithConnection(&q) {
		c.resetOnClose()
	}
	r.release()
	c.queue = c.queue[1:]
	c.idleSince = time.Now()
	switch {
	case err != nil:
		c.fire("disconnected")
	case r.closing:
		c.fire("final_answer_written")
	default:
		c.fire("answer_written")
		c.sendContinue()
	}
}

// timedWriter limits the duration of each write.
type timedWriter struct{ conn net.Conn }

func (w timedWriter) Write(p []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}

// sendContinue sends 100 Continue to a caller that waits for it, as soon as no answer is pending.
func (c *caller) sendContinue() {
	if !c.continuePending || len(c.queue) > 0 {
		return
	}
	c.continuePending = false
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err == nil {
		_ = c.writer.Flush() // a broken connection is detected by the next read or write
	}
}

// closeSocket closes the connection. Unanswered requests are cancelled; their replies are released when they arrive.
func (c *caller) closeSocket() {
	c.cancel()
	for _, q := range c.queue {
		go func() {
			r := <-q.reply
			r.release()
		}()
	}
	c.queue = nil
	_ = c.conn.Close() // an error of the close has no consequence
}

// resetOnClose makes closing the connection reset it, because an orderly end would make the answer look complete.
func (c *caller) resetOnClose() {
	if tcpConn, ok := c.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcpConn.SetLinger(0) // fails only for a closed connection
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
