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

// class separates urgent calls from normal ones, so that they do not wait behind them.
type class int

const (
	urgent class = iota
	normal
	classes
)

var connectionLimit = [classes]int{urgent: urgentConnections, normal: normalConnections}

// job is one call in flight or waiting for a connection.
type job struct {
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

func (j job) fail(err error) { j.reply <- result{err: err} }

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

	pools    [classes]lanes
	open     int
	stopping bool
	failures int
	// retryAt is the earliest time to open the next connection after a failure.
	retryAt time.Time
}

// lanes holds the connections and the waiting calls of one class.
type lanes struct {
	open, dialing int
	idle          []*lane
	waiting       []job
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
			l.offerEnd()
			idle.Reset(outboundIdle)
		case <-stop:
			stop = nil
			l.end()
		}
	}
	l.refuseInbox()
}

// offerEnd asks the client to stop a link without connections. A full mailbox does no harm, because the link asks again.
func (l *link) offerEnd() {
	if l.open == 0 {
		_ = l.client.inbox.Offer(linkIdle{link: l})
	}
}

func (l *link) handle(m any) {
	switch m := m.(type) {
	case job:
		l.assign(m)
	case laneIdle:
		l.returned(m)
	case laneExpired:
		l.expired(m.lane)
	case laneClosed:
		l.closed(m)
	}
}

func (l *link) assign(j job) {
	pool := &l.pools[j.class]
	switch {
	case l.stopping:
		j.fail(l.refusal())
	case len(pool.idle) > 0:
		lane := pool.idle[len(pool.idle)-1]
		pool.idle = pool.idle[:len(pool.idle)-1]
		lane.jobs <- j
	case pool.open == 0 && time.Now().Before(l.retryAt):
		j.fail(unavailable(nil, l.name, "it refused the last connection"))
	case len(pool.waiting) >= linkCapacity:
		j.fail(unavailable(nil, l.name, "too many calls wait for it"))
	default:
		pool.waiting = append(pool.waiting, j)
		l.extend(j.class)
	}
}

// extend opens a connection when more calls wait than connections are being opened.
func (l *link) extend(c class) {
	pool := &l.pools[c]
	if len(pool.waiting) <= pool.dialing || pool.open >= connectionLimit[c] || time.Now().Before(l.retryAt) {
		return
	}
	pool.open++
	pool.dialing++
	l.open++
	go newLane(l, c).run(l.ctx)
}

func (l *link) returned(m laneIdle) {
	pool := &l.pools[m.lane.class]
	if m.first {
		pool.dialing--
		l.failures = 0
	}
	for len(pool.waiting) > 0 {
		j := pool.waiting[0]
		pool.waiting = pool.waiting[1:]
		if j.ctx.Err() == nil {
			m.lane.jobs <- j
			return
		}
	}
	if l.stopping {
		close(m.lane.jobs)
		return
	}
	pool.idle = append(pool.idle, m.lane)
}

// expired closes a connection that is still idle.
func (l *link) expired(lane *lane) {
	if l.forget(lane) {
		close(lane.jobs)
	}
}

// forget removes a connection from the idle list and reports whether it was there.
func (l *link) forget(lane *lane) bool {
	pool := &l.pools[lane.class]
	i := slices.Index(pool.idle, lane)
	if i < 0 {
		return false
	}
	pool.idle = slices.Delete(pool.idle, i, i+1)
	return true
}

func (l *link) closed(m laneClosed) {
	pool := &l.pools[m.lane.class]
	pool.open--
	l.open--
	l.forget(m.lane)
	if m.dialError != nil {
		pool.dialing--
		l.backOff()
		l.refuseWaiting(m.lane.class, m.dialError)
		return
	}
	l.recover(m.lane)
	if !l.stopping {
		l.extend(m.lane.class)
	}
	if pool.open == 0 {
		l.refuseWaiting(m.lane.class, nil)
	}
}

// recover reassigns a call that was assigned to a connection while it closed and that was never sent.
func (l *link) recover(lane *lane) {
	select {
	case j, ok := <-lane.jobs:
		if ok {
			l.assign(j)
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

// refuseWaiting fails the waiting calls of a class that has no open connection.
func (l *link) refuseWaiting(c class, cause error) {
	pool := &l.pools[c]
	if pool.open > 0 {
		return
	}
	for _, j := range pool.waiting {
		j.fail(unavailable(cause, l.name, "no connection could be opened"))
	}
	pool.waiting = nil
}

func (l *link) refusal() error {
	return fault.New(fault.PeerUnavailable, "ask another instance", "peer %s has left or moved", l.name)
}

// end rejects the waiting calls and closes the idle connections.
func (l *link) end() {
	l.stopping = true
	for c := range l.pools {
		pool := &l.pools[c]
		for _, j := range pool.waiting {
			j.fail(l.refusal())
		}
		for _, lane := range pool.idle {
			close(lane.jobs)
		}
		pool.waiting, pool.idle = nil, nil
	}
}

// refuseInbox rejects the calls that arrived while the link was stopping.
func (l *link) refuseInbox() {
	for {
		select {
		case m := <-l.inbox.C():
			if j, ok := m.(job); ok {
				j.fail(l.refusal())
			}
		default:
			return
		}
	}
}
