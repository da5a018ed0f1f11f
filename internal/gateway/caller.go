package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

const (
	// maxPipelined is the maximum number of unanswered requests of one connection.
	maxPipelined = 64
	// maxHeld is the number of messages of the reading goroutine that wait until a request is taken up. More are not received.
	maxHeld = 2
	// defaultIdleTimeout is the idle timeout of a connection before a configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// idleMargin is how long after the idle timeout a connection is closed. A request that its caller sent just before the
	// timeout is on its way for up to a second when its packets are lost.
	idleMargin = time.Second
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
	// once, processEnding when all should.
	leaving, closingIdle, processEnding <-chan struct{}
}

func newCallerServer(requests *forwarder, dialect Dialect, snapshots *SnapshotPublisher,
	leaving, closingIdle, processEnding <-chan struct{}) (*callerServer, error) {
	ch, err := charts.Load("caller", nil)
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*caller]{
		Guards: map[string]func(*caller) bool{
			"all_answered": func(c *caller) bool { return len(c.queue) == 0 },
			// A request may have arrived since the reading goroutine looked for the last time.
			"request_arrived": func(c *caller) bool { unread, _ := tcp.HasUnread(c.conn); return unread && len(c.queue) == 0 },
			"can_linger":      func(c *caller) bool { _, ok := c.conn.(halfCloser); return ok },
			"has_room":        (*caller).hasRoom,
		},
		Actions: map[string]func(*caller){
			"start_request": (*caller).startRequest, "hold_request": func(c *caller) { c.held = append(c.held, c.incoming) },
			"reject":       (*caller).reject,
			"stop_reading": func(c *caller) { c.stopReading() }, "discard_input": func(c *caller) { close(c.discarding) },
			"read_on":          func(c *caller) { c.readOn <- struct{}{} },
			"close_write_side": (*caller).closeWriteSide, "close_socket": (*caller).closeSocket,
		},
		Observe: func(c *caller, from, _, _ string) { c.stateBefore = from },
	})
	if err != nil {
		return nil, err
	}
	return &callerServer{requests: requests, dialect: dialect, snapshots: snapshots, bound: bound, leaving: leaving,
		closingIdle: closingIdle, processEnding: processEnding}, nil
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
	// readEvents receives what the reading goroutine has read. Its capacity of one keeps the report of a first byte from
	// delaying the read.
	readEvents chan any
	// stopOrder is done when the reading goroutine should end as soon as it holds no byte of a request.
	stopOrder   context.Context
	stopReading context.CancelFunc
	// readOn tells the reading goroutine, after it has stopped, to look at the socket once more.
	readOn chan struct{}
	// discarding is closed when the reading goroutine should discard all further bytes until the end of the connection.
	discarding chan struct{}
	// queue holds the unanswered requests in the order in which they were read.
	queue []pendingRequest
	// incoming and rejection are the arguments of the current event.
	incoming  *incomingRequest
	rejection rejection
	// idleSince is when the last answer was written.
	idleSince time.Time
	// held holds messages of the reading goroutine, the first of which is a request that is not taken up yet.
	held []any
	// nextReserved is true if memory is taken for the next request that comes behind another one.
	nextReserved bool
	// continuePending is true when 100 Continue has to be sent after the pending answers.
	continuePending bool
	// begunAt is when the first byte of the request that is being read arrived; zero when none is being read.
	begunAt time.Time
	// unwritten is the request whose answer could not be written completely.
	unwritten *pendingRequest
	// stopCause is the cause for which reading stops.
	stopCause ending
	// cause and endError are the cause of the event that is being handled, should it end the connection, and stateBefore
	// the state before the last change.
	cause       ending
	endError    error
	stateBefore string
}

// pendingRequest is an unanswered request.
type pendingRequest struct {
	// id is empty if the request could not be read.
	id         string
	receivedAt time.Time
	method     string
	// http10 is true if the caller speaks HTTP/1.0.
	http10 bool
	// rejected is true if the request could not be read.
	rejected bool
	// reserved is true if the memory of the request is taken from the budget of pipelined requests.
	reserved bool
	// reply receives the answer.
	reply chan reply
}

// readEnd reports that the caller has closed the connection or that it broke.
type readEnd struct{ err error }

// readingStopped reports that no further request is read and that none has begun.
type readingStopped struct{}

// halfCloser is a connection whose write side can be closed on its own.
type halfCloser interface{ CloseWrite() error }

// serve is the body of the task of one caller connection.
func (s *callerServer) serve(ctx context.Context, conn net.Conn) {
	c := s.newCaller(ctx, conn)
	go c.read()
	c.run()
}

func (s *callerServer) newCaller(ctx context.Context, conn net.Conn) *caller {
	c := &caller{callerServer: s, conn: conn, writer: bufio.NewWriterSize(timedWriter{conn}, writeBuffer), readEvents: make(chan any, 1),
		readOn: make(chan struct{}, 1), discarding: make(chan struct{}), idleSince: time.Now()}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.stopOrder, c.stopReading = context.WithCancel(c.ctx)
	c.machine = s.bound.New(time.Now(), c)
	return c
}

// run handles events until the connection is closed.
func (c *caller) run() {
	defer c.cancel()
	for !c.machine.Final() {
		c.waitForEvent()
	}
}

// read reads requests and passes them to the task until the last one or the end of the connection.
func (c *caller) read() {
	send := func(m any) {
		select {
		case c.readEvents <- m:
		case <-c.ctx.Done():
		}
	}
	r := newRequestReader(c.conn, c.limits, c.dialect, c.stopOrder, send, c.requests.bodies, c.ctx)
	for c.ctx.Err() == nil {
		m, last, err := r.next()
		if err != nil {
			send(readEnd{err: err})
			return
		}
		send(m)
		if !last {
			continue
		}
		select {
		case <-c.readOn:
		case <-c.discarding:
			send(readEnd{err: c.discardInput()})
			return
		case <-c.ctx.Done():
			return
		}
	}
}

// discardInput discards what follows the last request, so that the end of the connection is noticed and no unread byte
// resets it. It begins when the task has decided that an answer follows: a connection that ends without one must not take
// in a request that crosses its end.
func (c *caller) discardInput() error {
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, c.conn); err != nil {
		return err
	}
	return io.EOF
}

func (c *caller) fire(event string) {
	if err := c.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

// waitForEvent waits for one event and handles it.
func (c *caller) waitForEvent() {
	c.takeUpHeld()
	leave := c.leaveOrder()
	if isClosed(leave) {
		c.stopFor(endStop, "leave") // comes first, so that an answer that is ready can be the last one
		return
	}
	readEvents := c.readEvents
	if len(c.held) >= maxHeld {
		readEvents = nil
	}
	var firstReply chan reply
	if len(c.queue) > 0 && !c.awaitsStop() {
		firstReply = c.queue[0].reply
	}
	due, limited := c.deadline()
	var timeout <-chan time.Time
	if limited {
		timer := time.NewTimer(time.Until(due))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case m := <-readEvents:
		c.receive(m)
	case r := <-firstReply:
		c.writeAnswer(r)
	case <-leave:
		c.stopFor(endStop, "leave")
	case <-c.processEnding:
		c.endWith(endProcess, nil, "process_ends")
	case now := <-timeout:
		c.handleTimeout(now)
	}
}

// receive handles a message of the reading goroutine, or holds it behind a request that is not taken up yet. The end of the
// connection is handled at once.
func (c *caller) receive(m any) {
	if _, ended := m.(readEnd); !ended && len(c.held) > 0 {
		c.held = append(c.held, m)
		return
	}
	c.handle(m)
}

// takeUpHeld handles the messages that are held, up to the first request for which there is no room.
func (c *caller) takeUpHeld() {
	for len(c.held) > 0 && !c.machine.Final() {
		m := c.held[0]
		if _, request := m.(*incomingRequest); request && !c.hasRoom() {
			return
		}
		c.held = c.held[1:]
		c.handle(m)
	}
}

// hasRoom reports whether a request can be taken up, and takes the memory for one that waits behind others. A request that
// finds none of the budget is taken up when the answers before it are written, since the first one needs none.
func (c *caller) hasRoom() bool {
	if len(c.queue) == 0 {
		return true
	}
	c.nextReserved = c.nextReserved || c.requests.pipelined.Take(pipelinedBytes)
	return c.nextReserved && len(c.queue) < maxPipelined
}

// returnReserved returns the memory that was taken for a request.
func (c *caller) returnReserved(reserved *bool) {
	if *reserved {
		c.requests.pipelined.Put(pipelinedBytes)
		*reserved = false
	}
}

// awaitsStop reports whether the reading goroutine is about to report that it has stopped or that a request has begun, which
// takes no more than a look at the socket. It decides whether the answer to the only pending request is the last one.
func (c *caller) awaitsStop() bool {
	return len(c.queue) == 1 && len(c.held) == 0 && c.machine.In("stopping") && c.begunAt.IsZero()
}

// leaveOrder returns the channel that is closed when the connection should end: at once when it is idle, and with the
// answers to its pending requests otherwise. It is nil when the connection is ending already.
func (c *caller) leaveOrder() <-chan struct{} {
	switch {
	case c.stopOrder.Err() != nil:
		return nil
	case len(c.queue) > 0:
		return c.leaving
	}
	return c.closingIdle
}

// deadline returns when the idle timeout or a timeout of the chart is due.
func (c *caller) deadline() (time.Time, bool) {
	if c.machine.In("waiting") {
		return c.idleDeadline(), true
	}
	return c.machine.Deadline()
}

func (c *caller) handleTimeout(now time.Time) {
	c.machine.Tick(now)
	if c.machine.In("waiting") && !now.Before(c.idleDeadline()) { // a new configuration may have changed the idle timeout
		c.stopFor(endIdle, "idle_timeout")
	}
}

func (c *caller) idleDeadline() time.Time {
	idle := c.limits().IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	return c.idleSince.Add(idle + idleMargin)
}

func (c *caller) handle(m any) {
	c.noteRead(m)
	switch m := m.(type) {
	case *incomingRequest:
		c.requests.counters.takeup.Update(time.Since(m.receivedAt).Microseconds())
		c.incoming = m
		if m.last {
			c.fire("last_request")
		} else {
			c.fire("request")
		}
	case rejection:
		c.rejection = m
		c.fire("malformed")
	case continueExpected:
		c.continuePending = true
		c.sendContinue()
	case readingStopped:
		c.endWith(c.stopCause, nil, "stopped")
	case readEnd:
		c.endWith(endOfRead(m.err), m.err, "disconnected")
	}
}

// stopFor fires an event after which reading stops. It is the cause of the end if the connection then holds no request.
func (c *caller) stopFor(cause ending, event string) {
	c.stopCause = cause
	c.endWith(cause, nil, event)
}

// endWith fires an event that may end the connection.
func (c *caller) endWith(cause ending, err error, event string) {
	if !c.machine.In("lingering") { // there the last answer is the cause
		c.cause, c.endError = cause, err
	}
	c.fire(event)
}

// startRequest starts the task of a request. Its answer is written after the answers to all earlier requests.
func (c *caller) startRequest() {
	q := pendingRequest{id: c.incoming.request.ID, receivedAt: c.incoming.receivedAt, method: c.incoming.method,
		http10: c.incoming.http10, reply: make(chan reply, 1)}
	if len(c.queue) > 0 {
		q.reserved, c.nextReserved = c.nextReserved, false
	}
	c.queue = append(c.queue, q)
	f, lease := c.requests.newForward(c.ctx, c.incoming), c.incoming.lease
	go func() {
		r := f.run()
		lease.Release()
		q.reply <- r
	}()
}

// reject queues the error answer to a request that cannot be read. The connection ends after it.
func (c *caller) reject() {
	q := pendingRequest{receivedAt: time.Now(), method: http.MethodGet, rejected: true, reply: make(chan reply, 1)}
	q.reply <- localReply(c.dialect, "", c.rejection.status, c.rejection.err, c.rejection.retryAfter)
	c.queue = append(c.queue, q)
}

// writeAnswer writes the answer to the first pending request.
func (c *caller) writeAnswer(r reply) {
	q := c.queue[0]
	r.closing = len(c.queue) == 1 && c.machine.In("closing")
	err := c.writeReply(&r, &q)
	if err != nil && r.endsWithConnection(&q) {
		c.resetOnClose()
	}
	r.release()
	c.returnReserved(&q.reserved)
	if c.queue = c.queue[1:]; len(c.queue) == 0 {
		c.returnReserved(&c.nextReserved)
	}
	c.idleSince = time.Now()
	cause := endAnswer
	if q.rejected {
		cause = endRejected
	}
	switch {
	case err != nil:
		c.unwritten = &q
		c.endWith(endOfWrite(err), err, "disconnected")
	case len(c.queue) == 0 && c.machine.In("closing"):
		c.endWith(cause, nil, "final_answer_written")
	default:
		c.endWith(cause, nil, "answer_written")
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
	if !c.continuePending || len(c.queue)+len(c.held) > 0 {
		return
	}
	c.continuePending = false
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err == nil {
		_ = c.writer.Flush() // a broken connection is detected by the next read or write
	}
}

// closeWriteSide shows the caller that no further answer follows.
func (c *caller) closeWriteSide() {
	if conn, ok := c.conn.(halfCloser); ok {
		_ = conn.CloseWrite() // a broken connection is detected by the next read
	}
}

// closeSocket closes the connection. Unanswered requests are cancelled; their replies are released when they arrive.
func (c *caller) closeSocket() {
	c.reportEnd()
	c.cancel()
	for _, q := range c.queue {
		c.returnReserved(&q.reserved)
		go func() {
			r := <-q.reply
			r.release()
		}()
	}
	c.queue = nil
	c.returnReserved(&c.nextReserved)
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
