package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// NetDialer opens TCP connections.
func NetDialer(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Client is the task that owns the links to peers, one per peer. It implements Caller.
type Client struct {
	view     func() *member.View
	dial     Dialer
	tls      *tls.Config
	counters counters
	bound    *chart.Bound[*conn]
	inbox    *task.Mailbox[any]
	ended    chan struct{}

	links map[string]*link
	// open counts the links whose task has not ended.
	open int
}

// NewClient returns a client that looks up addresses in the membership view. A name that is an IP address with a port,
// such as that of a seed, is used as the address. Without a TLS configuration the connections are unencrypted.
func NewClient(view func() *member.View, dial Dialer, config *tls.Config, registry metrics.Registry) (*Client, error) {
	ch, err := charts.Load("connection", charts.Params{"idle_limit": outboundIdle})
	if err != nil {
		return nil, err
	}
	bound, err := bindConnection(ch)
	if err != nil {
		return nil, err
	}
	return &Client{
		view: view, dial: dial, tls: config, counters: newCounters(registry), bound: bound,
		inbox: task.NewMailbox[any]("peer client", clientCapacity), ended: make(chan struct{}), links: map[string]*link{},
	}, nil
}

// Messages to the client task.
type (
	callRequest struct {
		to   string
		call peerCall
	}
	// linkIdle reports a link without connections that has taken up a number of calls.
	linkIdle struct {
		link  *link
		calls int
	}
	linkEnded struct{}
)

// Run is the body of the client's task. It ends after the context has ended and all connections are closed.
func (c *Client) Run(ctx context.Context) error {
	defer close(c.ended)
	done, running := ctx.Done(), true
	for running || c.open > 0 {
		select {
		case m := <-c.inbox.C():
			c.handle(ctx, m)
		case <-done:
			done, running = nil, false
			for name := range c.links {
				c.stopLink(name)
			}
		}
	}
	return nil
}

func (c *Client) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case callRequest:
		c.routeCall(ctx, m)
	case linkIdle:
		if c.links[m.link.name] == m.link && m.link.routed == m.calls {
			c.stopLink(m.link.name)
		}
	case linkEnded:
		c.open--
	}
}

// routeCall passes a call to the link of its peer and opens that link if necessary.
func (c *Client) routeCall(ctx context.Context, m callRequest) {
	address, ok := c.address(m.to)
	switch {
	case ctx.Err() != nil:
		m.call.fail(fault.New(fault.Stopping, "ask another instance", "this instance is stopping"))
		return
	case !ok:
		m.call.fail(unavailableError(nil, m.to, "its address is not known"))
		return
	}
	l := c.links[m.to]
	if l != nil && l.address != address {
		c.stopLink(m.to)
		l = nil
	}
	if l == nil {
		l = c.startLink(m.to, address)
	}
	if err := l.inbox.Offer(m.call); err != nil {
		m.call.fail(unavailableError(err, m.to, "too many calls wait for it"))
		return
	}
	l.routed++
}

func (c *Client) address(name string) (string, bool) {
	if _, err := netip.ParseAddrPort(name); err == nil {
		return name, true
	}
	view := c.view()
	if view == nil {
		return "", false
	}
	return view.Address(name)
}

func (c *Client) startLink(name, address string) *link {
	l := newLink(c, name, address)
	c.links[name] = l
	c.open++
	go func() {
		l.run()
		_ = c.inbox.Send(context.Background(), linkEnded{}) // the client outlives its links
	}()
	return l
}

func (c *Client) stopLink(name string) {
	close(c.links[name].stop)
	delete(c.links, name)
}

func unavailableError(cause error, peer, reason string) *fault.Error {
	return fault.Wrap(cause, fault.PeerUnavailable, "ask another instance, or check the peer with: fuchsiahub status",
		"peer %s does not answer: %s", peer, reason)
}

// invoke makes one call and waits for its reply, its timeout or the end of the client.
func invoke[In, Out proto.Message](ctx context.Context, c *Client, to string, class class, limit time.Duration, in In,
	method func(peerpb.DRPCPeerClient, context.Context, In) (Out, error)) (Out, error) {
	var zero Out
	if proto.Size(in) > MaxMessageBytes {
		return zero, fault.New(fault.TooLarge, "report this as a bug", "message %T to peer %s is larger than %d bytes", in, to, MaxMessageBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply := make(chan result, 1)
	call := peerCall{ctx: ctx, class: class, reply: reply, invoke: func(client peerpb.DRPCPeerClient) (proto.Message, error) {
		return method(client, ctx, in)
	}}
	if err := c.inbox.Offer(callRequest{to: to, call: call}); err != nil {
		return zero, err
	}
	r, err := c.wait(ctx, to, reply)
	if err == nil {
		err = c.typedError(to, r)
	}
	if err != nil {
		return zero, err
	}
	return r.out.(Out), nil
}

func (c *Client) wait(ctx context.Context, to string, reply <-chan result) (result, error) {
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		c.counters.failedCalls.Inc(1)
		return result{}, unavailableError(context.Cause(ctx), to, "the time for the call is over")
	case <-c.ended:
		return result{}, fault.New(fault.Stopping, "ask another instance", "this instance is stopping")
	}
}

// typedError converts the error of a call to a typed error and counts it.
func (c *Client) typedError(to string, r result) error {
	if r.err == nil {
		return nil
	}
	if e := decodeError(to, r.err); e != nil {
		return e
	}
	if isMalformed(r.err) {
		c.counters.badMessages.Inc(1)
		return fault.Wrap(r.err, fault.BadPeer, "bring all instances to versions that share a protocol",
			"peer %s sent data that is malformed or too large", to)
	}
	c.counters.failedCalls.Inc(1)
	var typed *fault.Error
	if errors.As(r.err, &typed) {
		return typed
	}
	return unavailableError(r.err, to, "the connection broke")
}
