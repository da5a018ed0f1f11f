package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"

	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
)

// conn is the task that owns one connection to a peer. It is the context of charts/connection.toml.
type conn struct {
	link    *link
	class   class
	calls   chan peerCall
	machine *chart.Machine[*conn]
	conn    *drpcconn.Conn
	// answered is true when the peer answered the last call. After any other end the connection is unusable, which drpc
	// may detect only later.
	answered bool
	// reply and result belong to a call that has ended and whose caller is still waiting.
	reply  chan<- result
	result result
}

// Messages from a connection to its link.
type (
	connectionIdle struct {
		conn *conn
		// justOpened is true when the connection has just been opened.
		justOpened bool
	}
	connectionExpired struct{ conn *conn }
	connectionClosed  struct {
		conn *conn
		// dialError is set when the connection could not be opened.
		dialError error
	}
)

func bindConnection(ch *chart.Chart) (*chart.Bound[*conn], error) {
	return chart.Bind(ch, chart.Bindings[*conn]{
		Guards: map[string]func(*conn) bool{
			"reusable": func(c *conn) bool { return c.answered },
		},
		Actions: map[string]func(*conn){
			"close_socket":     (*conn).closeSocket,
			"offer_retirement": func(c *conn) { c.notifyLink(connectionExpired{conn: c}) },
		},
	})
}

func newConn(l *link, c class) *conn { return &conn{link: l, class: c, calls: make(chan peerCall, 1)} }

// run is the body of the connection's task. The link outlives its connections, so a send to it never blocks for long.
func (c *conn) run(ctx context.Context) {
	c.machine = c.link.client.bound.New(time.Now(), c)
	if err := c.open(ctx); err != nil {
		c.fire("dial_failed")
		c.notifyLink(connectionClosed{conn: c, dialError: err})
		return
	}
	c.fire("dialed")
	for justOpened := true; !c.machine.Final(); justOpened = false {
		c.notifyLink(connectionIdle{conn: c, justOpened: justOpened})
		c.replyToCaller()
		c.serveNext()
	}
	c.notifyLink(connectionClosed{conn: c})
	c.replyToCaller()
}

// replyToCaller sends the result of the last call to its caller. By then the link has been notified that the connection
// is idle or closed, so the caller's next call reuses an idle connection instead of opening another one.
func (c *conn) replyToCaller() {
	if c.reply != nil {
		c.reply <- c.result
		c.reply = nil
	}
}

func (c *conn) fire(event string) {
	if err := c.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; an unknown one is a programming error
	}
}

// notifyLink sends a message to the link. It blocks while the mailbox is full: a lost message would leak the connection.
func (c *conn) notifyLink(m any) {
	_ = c.link.inbox.Send(context.Background(), m) // a background context never ends
}

func (c *conn) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := c.link.client
	raw, err := client.dial(ctx, c.link.address)
	if err != nil {
		return err
	}
	if client.tls != nil {
		if raw, err = startTLS(ctx, raw, client.tls, c.link.address); err != nil {
			return err
		}
	}
	c.conn = drpcconn.NewWithOptions(&socket{Conn: raw, counters: client.counters}, drpcconn.Options{Manager: managerOptions(0)})
	return nil
}

// startTLS adds TLS to a connection. The certificate must be valid for the server name of the configuration or, without
// one, for the IP address.
func startTLS(ctx context.Context, raw net.Conn, config *tls.Config, address string) (net.Conn, error) {
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config = config.Clone()
		config.ServerName = host
	}
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // the error of the handshake is returned instead
		return nil, err
	}
	return conn, nil
}

func (c *conn) closeSocket() {
	if c.conn != nil {
		_ = c.conn.Close() // the connection is discarded, so an error has no consequence
	}
}

// serveNext waits for one call. When the idle limit passes it asks the link to retire the connection and keeps waiting,
// because the link may have assigned a call in the meantime.
func (c *conn) serveNext() {
	timer := time.NewTimer(outboundIdle)
	defer timer.Stop()
	for {
		select {
		case call, ok := <-c.calls:
			c.serve(call, ok)
			return
		case <-c.conn.Closed():
			c.fire("broken")
			return
		case <-timer.C:
			c.machine.Tick(time.Now())
		}
	}
}

func (c *conn) serve(call peerCall, ok bool) {
	if !ok {
		c.fire("retire")
		return
	}
	c.fire("exchange")
	out, err := call.invoke(peerpb.NewDRPCPeerClient(c.conn))
	c.answered = err == nil || drpcerr.Code(err) != 0
	c.reply, c.result = call.reply, result{out: out, err: err}
	c.fire("finished")
}
