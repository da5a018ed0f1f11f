package backend

import (
	"context"
	"errors"
	"net"
	"slices"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// poolCapacity bounds the messages in a pool's mailbox. The server's slots keep the number of requests well below it.
const poolCapacity = 256

// Pool is the task that owns the connections to one backend server.
type Pool struct {
	address string
	dial    Dialer
	inbox   *task.Mailbox[any]
	bound   *chart.Bound[*connection]
	codec   Codec

	maxConnections   int
	spareConnections int
	open             int // connections that are open or being opened
	dialing          int
	idle             []*connection
	waiting          []Exchange
	// barred is true while requests must not wait for a connection. Health checks may.
	barred bool
	// stopping is true once the pool's context has ended; the pool then only waits for its connections to close.
	stopping bool
	// stopped is closed after the last exchange has been answered.
	stopped chan struct{}
}

// PoolSize is the maximum number of connections and the number of spare idle connections.
type PoolSize struct{ MaxConnections, SpareConnections int }

// NewPool returns a pool for one server that uses fuchsiahub's native header fields. Run starts it.
func NewPool(address string, dial Dialer, size PoolSize) (*Pool, error) {
	factory, err := NewPoolFactory(dial, nativeCodec{}, nil)
	if err != nil {
		return nil, err
	}
	return factory.NewPool(address, size), nil
}

// PoolFactory makes the pools of one kind of backend servers. It holds the dialer, codec and state chart that they share
// and is immutable.
type PoolFactory struct {
	dial  Dialer
	codec Codec
	bound *chart.Bound[*connection]
}

// NewPoolFactory returns a factory for one kind of backend servers. Params set the delays of charts/connection.toml; nil
// selects the defaults.
func NewPoolFactory(dial Dialer, codec Codec, params charts.Params) (*PoolFactory, error) {
	ch, err := charts.Load("connection", params)
	if err != nil {
		return nil, err
	}
	bound, err := bindConnection(ch)
	if err != nil {
		return nil, err
	}
	return &PoolFactory{dial: dial, codec: codec, bound: bound}, nil
}

// NewPool returns a pool for one server. Run starts it.
func (f *PoolFactory) NewPool(address string, size PoolSize) *Pool {
	return &Pool{
		address: address, dial: f.dial, bound: f.bound, codec: f.codec, maxConnections: size.MaxConnections, spareConnections: size.SpareConnections,
		inbox: task.NewMailbox[any]("backend "+address, poolCapacity), stopped: make(chan struct{}),
	}
}

// NetDialer opens TCP connections.
func NetDialer(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Do sends one request and waits for its result. If the mailbox is full, the request fails as not sent.
func (p *Pool) Do(ctx context.Context, req *call.Request) Result {
	return p.do(Exchange{Ctx: ctx, Request: req, Reply: make(chan Result, 1)})
}

// Check sends a health check as Do sends a request. The body of its answer must be short and is never streamed.
func (p *Pool) Check(ctx context.Context, req *call.Request) Result {
	return p.do(Exchange{Ctx: ctx, Request: req, Reply: make(chan Result, 1), MaxBodyBytes: maxCheckBodyBytes})
}

func (p *Pool) do(exchange Exchange) Result {
	if err := p.inbox.Offer(exchange); err != nil {
		return Result{Fate: call.NotSent, Err: err}
	}
	select {
	case r := <-exchange.Reply:
		return r
	case <-p.stopped:
		return p.resultAfterEnd(exchange.Reply)
	}
}

// resultAfterEnd returns the answer of an exchange that was answered before the pool ended; any other was not sent.
func (p *Pool) resultAfterEnd(reply <-chan Result) Result {
	select {
	case r := <-reply:
		return r
	default:
		return p.stoppedResult()
	}
}

func (p *Pool) stoppedResult() Result {
	return Result{Fate: call.NotSent, Err: fault.New(fault.Stopping, "send the request again", "backend server %s was removed", p.address)}
}

// Resize changes the limits of the pool.
func (p *Pool) Resize(ctx context.Context, size PoolSize) error { return p.inbox.Send(ctx, size) }

// barring and recall are messages to the pool.
type (
	barring struct{ barred bool }
	recall  struct{}
)

// errRecalled is the error of a request that was taken back while it waited for a connection.
var errRecalled = fault.New(fault.NoServer, "choose a server again", "request was taken back while it waited for a connection")

// IsRecalled reports whether a request was taken back before it was sent.
func IsRecalled(err error) bool { return errors.Is(err, errRecalled) }

// SetBarred decides whether requests may wait for a connection. If not, those that wait are taken back, with an error that
// IsRecalled recognizes.
func (p *Pool) SetBarred(ctx context.Context, barred bool) error {
	return p.inbox.Send(ctx, barring{barred: barred})
}

// Recall takes back the requests that wait for a connection now.
func (p *Pool) Recall(ctx context.Context) error { return p.inbox.Send(ctx, recall{}) }

// Run is the body of the pool's task. After the context has ended it rejects new exchanges and waits for the busy
// connections, which end with the contexts of their requests.
func (p *Pool) Run(ctx context.Context) error {
	defer close(p.stopped)
	p.openSpares(ctx)
	done := ctx.Done()
	for !p.stopping || p.open > 0 {
		select {
		case m := <-p.inbox.C():
			p.handle(ctx, m)
		case <-done:
			done = nil
			p.beginStop()
		}
	}
	p.rejectInbox()
	return nil
}

func (p *Pool) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case Exchange:
		p.assign(ctx, m)
	case connectionIdle:
		p.handleIdle(m)
	case connectionExpired:
		p.retireIfIdle(m.c)
	case connectionClosed:
		p.handleClosed(ctx, m)
	case barring:
		if p.barred = m.barred; p.barred {
			p.recallWaiting()
		}
	case recall:
		p.recallWaiting()
	case PoolSize:
		p.maxConnections, p.spareConnections = m.MaxConnections, m.SpareConnections
		p.openSpares(ctx)
	}
}

func (p *Pool) assign(ctx context.Context, exchange Exchange) {
	if p.stopping {
		exchange.Reply <- p.stoppedResult()
		return
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		c.exchanges <- exchange
		p.openSpares(ctx)
		return
	}
	if p.barred && !exchange.isCheck() {
		exchange.Reply <- Result{Fate: call.NotSent, Err: errRecalled}
		return
	}
	p.waiting = append(p.waiting, exchange)
	if p.dialing < len(p.waiting) && p.open < p.maxConnections {
		p.openConnection(ctx)
	}
}

// recallWaiting takes back the waiting requests. Health checks go on waiting.
func (p *Pool) recallWaiting() {
	checks := p.waiting[:0]
	for _, exchange := range p.waiting {
		if exchange.isCheck() {
			checks = append(checks, exchange)
			continue
		}
		exchange.Reply <- Result{Fate: call.NotSent, Err: errRecalled}
	}
	clear(p.waiting[len(checks):])
	p.waiting = checks
}

// openSpares opens connections until the configured number is spare.
func (p *Pool) openSpares(ctx context.Context) {
	for !p.stopping && len(p.idle)+p.dialing < p.spareConnections && p.open < p.maxConnections {
		p.openConnection(ctx)
	}
}

func (p *Pool) openConnection(ctx context.Context) {
	c := &connection{address: p.address, dial: p.dial, codec: p.codec, pool: p.inbox, exchanges: make(chan Exchange, 1)}
	p.open++
	p.dialing++
	go c.run(ctx, p.bound)
}

func (p *Pool) handleIdle(m connectionIdle) {
	if m.justOpened {
		p.dialing--
	}
	if exchange, ok := p.nextWaiting(); ok {
		m.c.exchanges <- exchange
		return
	}
	if p.stopping {
		close(m.c.exchanges)
		return
	}
	p.idle = append(p.idle, m.c)
}

// nextWaiting returns the first waiting exchange whose context has not ended, and answers those before it.
func (p *Pool) nextWaiting() (Exchange, bool) {
	for len(p.waiting) > 0 {
		exchange := p.waiting[0]
		p.waiting = p.waiting[1:]
		if exchange.Ctx.Err() == nil {
			return exchange, true
		}
		exchange.Reply <- Result{Fate: call.NotSent, Err: context.Cause(exchange.Ctx)}
	}
	return Exchange{}, false
}

// retireIfIdle retires a connection that is still idle.
func (p *Pool) retireIfIdle(c *connection) {
	if p.removeIdle(c) {
		close(c.exchanges)
	}
}

// removeIdle removes a connection from the idle list and reports whether it was there.
func (p *Pool) removeIdle(c *connection) bool {
	i := slices.Index(p.idle, c)
	if i < 0 {
		return false
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	return true
}

func (p *Pool) handleClosed(ctx context.Context, m connectionClosed) {
	p.open--
	p.removeIdle(m.c)
	if m.dialError != nil {
		p.dialing--
		p.failWaiting(m.dialError)
	}
	if !p.stopping && len(p.waiting) > p.dialing && p.open < p.maxConnections {
		p.openConnection(ctx)
		return
	}
	if m.dialError == nil {
		p.openSpares(ctx)
	}
}

// failWaiting fails one waiting exchange because no connection could be opened.
func (p *Pool) failWaiting(err error) {
	if exchange, ok := p.nextWaiting(); ok {
		exchange.Reply <- Result{Fate: call.NotSent, ConnectionRefused: true, Err: fault.Wrap(err, fault.NoServer,
			"check that the backend server runs and that its address in the document is right", "backend server %s refused the connection", p.address)}
	}
}

// beginStop rejects the waiting exchanges and retires the idle connections.
func (p *Pool) beginStop() {
	p.stopping = true
	for _, exchange := range p.waiting {
		exchange.Reply <- p.stoppedResult()
	}
	p.waiting = nil
	for _, c := range p.idle {
		close(c.exchanges)
	}
	p.idle = nil
}

// rejectInbox rejects the exchanges that arrived while the pool was stopping.
func (p *Pool) rejectInbox() {
	for {
		select {
		case m := <-p.inbox.C():
			if exchange, ok := m.(Exchange); ok {
				exchange.Reply <- p.stoppedResult()
			}
		default:
			return
		}
	}
}
