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

// lane is the task that owns one connection to a peer. It is the context of charts/connection.toml.
type lane struct {
	link    *link
	class   class
	jobs    chan job
	machine *chart.Machine[*lane]
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
	laneIdle struct {
		lane *lane
		// first is true when the connection has just been opened.
		first bool
	}
	laneExpired struct{ lane *lane }
	laneClosed  struct {
		lane *lane
		// dialError is set when the connection could not be opened.
		dialError error
	}
)

func bindLane(ch *chart.Chart) (*chart.Bound[*lane], error) {
	return chart.Bind(ch, chart.Bindings[*lane]{
		Guards: map[string]func(*lane) bool{
			"reusable": func(l *lane) bool { return l.answered },
		},
		Actions: map[string]func(*lane){
			"close_socket":     (*lane).closeSocket,
			"offer_retirement": func(l *lane) { l.tell(laneExpired{lane: l}) },
		},
	})
}

func newLane(l *link, c class) *lane { return &lane{link: l, class: c, jobs: make(chan job, 1)} }

// run is the body of the connection's task. The link outlives its connections, so a send to it never blocks for long.
func (l *lane) run(ctx context.Context) {
	l.machine = l.link.client.bound.New(time.Now(), l)
	if err := l.open(ctx); err != nil {
		l.fire("dial_failed")
		l.tell(laneClosed{lane: l, dialError: err})
		return
	}
	l.fire("dialed")
	for first := true; !l.machine.Final(); first = false {
		l.tell(laneIdle{lane: l, first: first})
		l.answer()
		l.serveNext()
	}
	l.tell(laneClosed{lane: l})
	l.answer()
}

// answer sends the result of the last call to its caller. The link has been notified before that the connection is idle,
// so the caller's next call does not open another one.
func (l *lane) answer() {
	if l.reply != nil {
		l.reply <- l.result
		l.reply = nil
	}
}

func (l *lane) fire(event string) {
	if err := l.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; an unknown one is a programming error
	}
}

// tell sends a message to the link. It blocks while the mailbox is full: a lost message would leak the connection.
func (l *lane) tell(m any) {
	_ = l.link.inbox.Send(context.Background(), m) // a background context never ends
}

func (l *lane) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := l.link.client
	raw, err := client.dial(ctx, l.link.address)
	if err != nil {
		return err
	}
	if client.tls != nil {
		if raw, err = secure(ctx, raw, client.tls, l.link.address); err != nil {
			return err
		}
	}
	l.conn = drpcconn.NewWithOptions(&socket{Conn: raw, count: client.count}, drpcconn.Options{Manager: managerOptions(0)})
	return nil
}

// secure adds TLS to a connection. The certificate must be valid for the server name of the configuration or, without
// one, for the IP address.
func secure(ctx context.Context, raw net.Conn, config *tls.Config, address string) (net.Conn, error) {
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

func (l *lane) closeSocket() {
	if l.conn != nil {
		_ = l.conn.Close() // the connection is discarded, so an error has no consequence
	}
}

// serveNext waits for one call. When the idle limit passes it asks the link to retire the connection and keeps waiting,
// because the link may have assigned a call in the meantime.
func (l *lane) serveNext() {
	timer := time.NewTimer(outboundIdle)
	defer timer.Stop()
	for {
		select {
		case j, ok := <-l.jobs:
			l.serve(j, ok)
			return
		case <-l.conn.Closed():
			l.fire("broken")
			return
		case <-timer.C:
			l.machine.Tick(time.Now())
		}
	}
}

func (l *lane) serve(j job, ok bool) {
	if !ok {
		l.fire("retire")
		return
	}
	l.fire("exchange")
	out, err := j.invoke(peerpb.NewDRPCPeerClient(l.conn))
	l.answered = err == nil || drpcerr.Code(err) != 0
	l.reply, l.result = j.reply, result{out: out, err: err}
	l.fire("finished")
}
