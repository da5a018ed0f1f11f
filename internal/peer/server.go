package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// serverCapacity bounds the messages that wait at the server task; senders block.
	serverCapacity = 256
	// acceptPause is the wait after a failed accept, such as one without a free file descriptor.
	acceptPause = 50 * time.Millisecond
)

// Server is the task that answers the calls of peers. It owns the listener and counts connections and calls.
type Server struct {
	drpc  *drpcserver.Server
	tls   *tls.Config
	count counters
	log   *slog.Logger
	inbox *task.Mailbox[any]

	listener net.Listener
	// open counts connections, active counts calls.
	open, active int
	draining     bool
	drained      []chan<- struct{}
}

// Messages to the server task.
type (
	accepted    struct{ conn net.Conn }
	disconnect  struct{ err error }
	callBegun   struct{ reply chan<- bool }
	callEnded   struct{}
	drainServer struct{ reply chan<- struct{} }
)

// NewServer returns a server. The TLS configuration may be nil: connections are then plain.
func NewServer(handlers Handlers, config *tls.Config, registry metrics.Registry, log *slog.Logger) (*Server, error) {
	s := &Server{tls: config, count: newCounters(registry), log: log, inbox: task.NewMailbox[any]("peer server", serverCapacity)}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{handlers: handlers, count: s.count}); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "peer service cannot be registered")
	}
	s.drpc = drpcserver.NewWithOptions(&dispatcher{next: mux, server: s}, drpcserver.Options{Manager: managerOptions(inboundIdle)})
	return s, nil
}

// Run is the body of the server's task. It ends after the context has ended and all connections are closed; calls in
// progress are then cancelled. Drain first lets them finish.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	s.listener = listener
	stopped := make(chan struct{})
	go s.accept(ctx, stopped)
	done, running := ctx.Done(), true
	for running || s.open > 0 || stopped != nil {
		select {
		case m := <-s.inbox.C():
			s.handle(ctx, m)
		case <-stopped:
			stopped = nil
		case <-done:
			done, running = nil, false
			s.closeListener()
		}
	}
	s.finish()
	return nil
}

// finish handles the messages that arrived while the task ended.
func (s *Server) finish() {
	for {
		select {
		case m := <-s.inbox.C():
			if m, ok := m.(accepted); ok {
				_ = m.conn.Close() // the peer connects to another instance
				continue
			}
			s.handle(context.Background(), m)
		default:
			return
		}
	}
}

// Drain takes no new connections and calls and returns when the calls in progress have ended.
func (s *Server) Drain(ctx context.Context) error {
	_, err := task.Ask(ctx, s.inbox, func(reply chan<- struct{}) any { return drainServer{reply: reply} })
	return err
}

func (s *Server) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case accepted:
		s.serve(ctx, m.conn)
	case disconnect:
		s.open--
		s.judge(m.err)
	case callBegun:
		if !s.draining {
			s.active++
		}
		m.reply <- !s.draining
	case callEnded:
		s.active--
	case drainServer:
		s.draining = true
		s.closeListener()
		s.drained = append(s.drained, m.reply)
	}
	s.tellDrained()
}

func (s *Server) tellDrained() {
	if s.active > 0 {
		return
	}
	for _, reply := range s.drained {
		reply <- struct{}{}
	}
	s.drained = nil
}

func (s *Server) closeListener() {
	_ = s.listener.Close() // closing twice gives an error that says nothing
}

// accept passes connections to the server task until the listener is closed.
func (s *Server) accept(ctx context.Context, stopped chan<- struct{}) {
	defer close(stopped)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			_ = s.inbox.Send(context.Background(), accepted{conn: conn}) // a background context never ends
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		default:
			s.log.Warn("connection of a peer was not accepted", "error", err)
			task.Pause(ctx, acceptPause)
		}
	}
}

// serve starts the task of one connection.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	if s.draining || s.open >= maxInbound || ctx.Err() != nil {
		_ = conn.Close() // the peer connects again later
		return
	}
	s.open++
	if s.tls != nil {
		conn = tls.Server(conn, s.tls)
	}
	go func() {
		err := s.drpc.ServeOne(ctx, &socket{Conn: conn, count: s.count})
		_ = s.inbox.Send(context.Background(), disconnect{err: err}) // the server outlives its connections
	}()
}

// judge counts a connection that ended because the peer sent something that is not drpc or too large.
func (s *Server) judge(err error) {
	if malformed(err) {
		s.count.bad.Inc(1)
		s.log.Warn("connection of a peer was closed", "error", fault.Wrap(err, fault.BadPeer,
			"check that only instances of the fleet reach the peer address", "peer sent data that is malformed or too large"))
	}
}

// dispatcher counts the calls in progress and refuses messages that cannot be decoded.
type dispatcher struct {
	next   drpc.Handler
	server *Server
}

// HandleRPC answers one call.
func (d *dispatcher) HandleRPC(stream drpc.Stream, rpc string) error {
	// The server task lives until all connections are closed, so the answer always comes.
	admitted, err := task.Ask(context.Background(), d.server.inbox, func(reply chan<- bool) any { return callBegun{reply: reply} })
	if err != nil || !admitted {
		return encodeError(fault.New(fault.Stopping, "ask another instance", "this instance is stopping"))
	}
	err = d.next.HandleRPC(stream, rpc)
	_ = d.server.inbox.Send(context.Background(), callEnded{})
	return d.refuse(err)
}

// refuse gives the error of a message that is unknown or cannot be decoded its kind. Other errors without a code are
// those of the connection: the peer has gone.
func (d *dispatcher) refuse(err error) error {
	if drpcerr.Code(err) != 0 || !malformed(err) {
		return err
	}
	d.server.count.bad.Inc(1)
	return encodeError(fault.Wrap(err, fault.BadPeer, "bring all instances to versions that share a protocol", "message was not understood"))
}

// malformed reports whether a peer sent something that is not drpc, too large, unknown or not decodable.
func malformed(err error) bool { return drpc.ProtocolError.Has(err) || errors.Is(err, proto.Error) }
