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
	// mostPipelined is the maximum number of unanswered requests of one connection. Further ones are not read yet.
	mostPipelined = 64
	// defaultIdle is the idle timeout of a connection before a configuration is known.
	defaultIdle = 15 * time.Second
	// writeTimeout is the maximum time for writing one answer, in case the caller does not read.
	writeTimeout = 10 * time.Second
	// writeBuffer is the size of the write buffer, enough for a typical answer head; longer answers are written in parts.
	writeBuffer = 2 << 10
)

// callers holds what the tasks of all caller connections share. It is immutable.
type callers struct {
	requests *forwarding
	dialect  Dialect
	beliefs  *Beliefs
	bound    *chart.Bound[*caller]
	// leaving is closed when connections should end after the next answer, quitting when idle connections should end at
	// once.
	leaving, quitting <-chan struct{}
}

func newCallers(requests *forwarding, dialect Dialect, beliefs *Beliefs, leaving, quitting <-chan struct{}) (*callers, error) {
	ch, err := charts.Load("caller", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*caller]{
		Guards:  map[string]func(*caller) bool{"all_answered": func(c *caller) bool { return len(c.queue) == 0 }},
		Actions: map[string]func(*caller){"start_request": (*caller).startRequest, "reject": (*caller).reject, "close_socket": (*caller).closeSocket},
	})
	if err != nil {
		return nil, err
	}
	return &callers{requests: requests, dialect: dialect, beliefs: beliefs, bound: bound, leaving: leaving, quitting: quitting}, nil
}

func (s *callers) limits() fleet.Limits {
	if config := s.beliefs.Newest().Config; config != nil {
		return config.Limits
	}
	return fleet.Limits{}
}

// caller is the task of one caller connection and owns its socket. It is the context of charts/caller.toml.
type caller struct {
	*callers
	ctx     context.Context
	cancel  context.CancelFunc
	conn    net.Conn
	writer  *bufio.Writer
	machine *chart.Machine[*caller]
	// reads receives what the reading goroutine has read.
	reads chan any
	// queue holds the unanswered requests in the order in which they were read.
	queue []queued
	// incoming is the request of the current event.
	incoming *incoming
	// rejection is the rejection of the current event.
	rejection rejection
	// idleSince is when the last answer was written.
	idleSince time.Time
	// continueDue is true when 100 Continue has to be sent after the pending answers.
	continueDue bool
}

// queued is an unanswered request.
type queued struct {
	method  string
	closing bool
	reply   chan reply
}

// readEnded reports that the caller has closed the connection or that it broke.
type readEnded struct{ err error }

// serve is the body of the task of one caller connection.
func (s *callers) serve(ctx context.Context, conn net.Conn) {
	c := &caller{callers: s, conn: conn, writer: bufio.NewWriterSize(conn, writeBuffer), reads: make(chan any), idleSince: time.Now()}
	c.ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()
	c.machine = s.bound.New(time.Now(), c)
	go c.read()
	for !c.machine.Final() {
		c.next()
	}
}

// read reads requests and passes them to the task until the connection ends.
func (c *caller) read() {
	tell := func(m any) {
		select {
		case c.reads <- m:
		case <-c.ctx.Done():
		}
	}
	r := &requestReader{conn: c.conn, buffer: bufio.NewReaderSize(c.conn, readBuffer), limits: c.limits, dialect: c.dialect, tell: tell}
	for c.ctx.Err() == nil {
		m, err := r.next()
		if err != nil {
			tell(readEnded{err: err})
			return
		}
		tell(m)
		if _, refused := m.(rejection); refused {
			return
		}
	}
}

func (c *caller) fire(event string) {
	if err := c.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// next waits for one event and handles it.
func (c *caller) next() {
	reads := c.reads
	if len(c.queue) >= mostPipelined {
		reads = nil
	}
	var first chan reply
	if len(c.queue) > 0 {
		first = c.queue[0].reply
	}
	var quitting <-chan struct{}
	var quiet <-chan time.Time
	if len(c.queue) == 0 {
		quitting = c.quitting
		timer := time.NewTimer(time.Until(c.idleEnd()))
		defer timer.Stop()
		quiet = timer.C
	}
	select {
	case m := <-reads:
		c.take(m)
	case r := <-first:
		c.finish(r)
	case <-quitting:
		c.fire("leave")
	case now := <-quiet:
		if !now.Before(c.idleEnd()) { // a new configuration may have changed the idle timeout
			c.fire("quiet")
		}
	}
}

func (c *caller) idleEnd() time.Time {
	idle := c.limits().IdleTimeout
	if idle <= 0 {
		idle = defaultIdle
	}
	return c.idleSince.Add(idle)
}

func (c *caller) take(m any) {
	switch m := m.(type) {
	case *incoming:
		c.incoming = m
		c.fire("request")
	case rejection:
		c.rejection = m
		c.fire("malformed")
	case continueWanted:
		c.continueDue = true
		c.interim()
	case readEnded:
		c.fire("gone")
	}
}

// startRequest starts the task of a request. Its answer is written after the answers to all earlier requests.
func (c *caller) startRequest() {
	q := queued{method: c.incoming.method, closing: c.incoming.closing, reply: make(chan reply, 1)}
	c.queue = append(c.queue, q)
	f := c.requests.newForward(c.ctx, c.incoming)
	go func() { q.reply <- f.run() }()
}

// reject queues the error answer to a request that cannot be read. The connection ends after it.
func (c *caller) reject() {
	q := queued{method: http.MethodGet, closing: true, reply: make(chan reply, 1)}
	q.reply <- ownReply(c.dialect, "", c.rejection.status, c.rejection.err, 0)
	c.queue = append(c.queue, q)
}

// finish writes the answer to the first pending request.
func (c *caller) finish(r reply) {
	q := c.queue[0]
	r.closing = r.closing || q.closing || isClosed(c.leaving)
	err := c.write(&r, q.method)
	r.release()
	c.queue = c.queue[1:]
	c.idleSince = time.Now()
	switch {
	case err != nil:
		c.fire("gone")
	case r.closing:
		c.fire("closing_answer")
	default:
		c.fire("finished")
		c.interim()
	}
}

func (c *caller) write(r *reply, method string) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return r.write(c.writer, method)
}

// interim sends 100 Continue to a caller that waits for it, as soon as no answer is pending.
func (c *caller) interim() {
	if !c.continueDue || len(c.queue) > 0 {
		return
	}
	c.continueDue = false
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

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
