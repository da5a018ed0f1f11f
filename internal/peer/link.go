package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// class separates urgent calls from normal ones, which must not delay them.
type class int

const (
	urgentClass class = iota
	normalClass
	classCount
)

var connectionLimit = [classCount]int{urgentClass: urgentConnections, normalClass: normalConnections}

// peerCall is one call in flight or waiting for a connection.
type peerCall struct {
	ctx    context.Context
	class  class
	invoke func(peerpb.DRPCPeerClient) (proto.Message, error)
	// reply has a buffer for one result.
	reply chan<- result
}

type result struct {
	out proto.Message
	err error
}

func (call peerCall) fail(err error) { call.reply <- result{err: err} }

// link is the task that owns the connections to one peer. It assigns calls to connections, each of which carries one
// call at a time.
type link struct {
	client  *Client
	name    string
	address string
	inbox   *task.Mailbox[any]
	stop    chan struct{}
	cancel  context.CancelFunc
	ctx     context.Context

	// routed counts the calls that the client has passed on and belongs to the task of the client, calls those taken up.
	routed, calls int

	pools    [classCount]connectionPool
	open     int
	stopping bool
	failures int
	// retryAt is the earliest time to open the next connection after a failure.
	retryAt time.Time
}

// connectionPool holds the connections and the waiting calls of one class.
type connectionPool struct {
	open, dialing int
	idle          []*conn
	waiting       []peerCall
}

func newLink(c *Client, name, address string) *link {
	l := &link{client: c, name: name, address: address, stop: make(chan struct{}), inbox: task.NewMailbox[any]("peer "+name, linkCapacity)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// run is the body of the link's task. After it has been stopped it rejects calls and waits for those in flight, which
// end at the latest by their timeouts.
func (l *link) run() {
	defer l.cancel()
	idle := time.NewTimer(outboundIdle)
	defer idle.Stop()
	stop := l.stop
	for !l.stopping || l.open > 0 {
		select {
		case m := <-l.inbox.C():
			l.handle(m)
			idle.Reset(outboundIdle)
		case <-idle.C:
			l.requestStop()
			idle.Reset(outboundIdle)
		case <-stop:
			stop = nil
			l.beginStop()
		}
	}
	l.rejectInbox()
}

// requestStop asks the client to stop a link without connections. A full mailbox does no harm, because the link asks again.
func (l *link) requestStop() {
	if l.open == 0 {
		_ = l.client.inbox.Offer(linkIdle{link: l, calls: l.calls})
	}
}

func (l *link) handle(m any) {
	switch m := m.(type) {
	case peerCall:
		l.calls++
		l.assign(m)
	case connectionIdle:
		l.handleIdle(m)
	case connectionExpired:
		l.closeIfIdle(m.conn)
	case connectionClosed:
		l.handleClosed(m)
	}
}

func (l *link) assign(call peerCall) {
	pool := &l.pools[call.class]
	switch {
	case l.stopping:
		call.fail(l.stoppedError())
	case len(pool.idle) > 0:
		c := pool.idle[len(pool.idle)-1]
		pool.idle = pool.idle[:len(pool.idle)-1]
		c.calls <- call
	case pool.open == 0 && time.Now().Before(l.retryAt):
		call.fail(unavailableError(nil, l.name, "it refused the last connection"))
	case len(pool.waiting) >= linkCapacity:
		call.fail(unavailableError(nil, l.name, "too many calls wait for it"))
	default:
		pool.waiting = append(pool.waiting, call)
		l.openIfNeeded(call.class)
	}
}

// openIfNeeded opens a connection when more calls wait than connections are being opened.
func (l *link) openIfNeeded(c class) {
	pool := &l.pools[c]
	if len(pool.waiting) <= pool.dialing || pool.open >= connectionLimit[c] || time.Now().Before(l.retryAt) {
		return
	}
	pool.open++
	pool.dialing++
	l.open++
	go newConn(l, c).run(l.ctx)
}

func (l *link) handleIdle(m connectionIdle) {
	pool := &l.pools[m.conn.class]
	if m.justOpened {
		pool.dialing--
		l.failures = 0
	}
	for len(pool.waiting) > 0 {
		call := pool.waiting[0]
		pool.waiting = pool.waiting[1:]
		if call.ctx.Err() == nil {
			m.conn.calls <- call
			return
		}
	}
	if l.stopping {
		close(m.conn.calls)
		return
	}
	pool.idle = append(pool.idle, m.conn)
}

// closeIfIdle closes a connection that is still idle.
func (l *link) closeIfIdle(c *conn) {
	if l.removeIdle(c) {
		close(c.calls)
	}
}

// removeIdle removes a connection from the idle list and reports whether it was there.
func (l *link) removeIdle(c *conn) bool {
	pool := &l.pools[c.class]
	i := slices.Index(pool.idle, c)
	if i < 0 {
		return false
	}
	pool.idle = slices.Delete(pool.idle, i, i+1)
	return true
}

func (l *link) handleClosed(m connectionClosed) {
	pool := &l.pools[m.conn.class]
	pool.open--
	l.open--
	l.removeIdle(m.conn)
	if m.dialError != nil {
		pool.dialing--
		l.backOff()
		l.failWaiting(m.conn.class, m.dialError)
		return
	}
	l.reassign(m.conn)
	if !l.stopping {
		l.openIfNeeded(m.conn.class)
	}
	if pool.open == 0 {
		l.failWaiting(m.conn.class, nil)
	}
}

// reassign assigns a call again if the connection closed after the link had assigned the call to it and before the call
// was sent.
func (l *link) reassign(c *conn) {
	select {
	case call, ok := <-c.calls:
		if ok {
			l.assign(call)
		}
	default:
	}
}

// backOff delays the next connection exponentially, with jitter so that instances do not retry at the same time.
func (l *link) backOff() {
	delay := min(firstBackoff<<min(l.failures, 10), maxBackoff)
	l.failures++
	l.retryAt = time.Now().Add(delay/2 + rand.N(delay/2))
}

// failWaiting fails the waiting calls of a class that has no open connection.
func (l *link) failWaiting(c class, cause error) {
	pool := &l.pools[c]
	if pool.open > 0 {
		return
	}
	for _, call := range pool.waiting {
		call.fail(unavailableError(cause, l.name, "no connection could be opened"))
	}
	pool.waiting = nil
}

func (l *link) stoppedError() error {
	return fault.New(fault.PeerUnavailable, "ask another instance", "peer %s has left or moved", l.name)
}

// beginStop rejects the waiting calls and closes the idle connections.
func (l *link) beginStop() {
	l.stopping = true
	for c := range l.pools {
		pool := &l.pools[c]
		for _, call := range pool.waiting {
			call.fail(l.stoppedError())
		}
		for _, idleConn := range pool.idle {
			close(idleConn.calls)
		}
		pool.waiting, pool.idle = nil, nil
	}
}

// rejectInbox rejects the calls that arrived while the link was stopping.
func (l *link) rejectInbox() {
	for {
		select {
		case m := <-l.inbox.C():
			if call, ok := m.(peerCall); ok {
				call.fail(l.stoppedError())
			}
		default:
			return
		}
	}
}
