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
	"fuchsiahub.example/fuchsiahub/internal/memory"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// serverCapacity bounds the messages in the mailbox of the server task; senders block when it is full.
	serverCapacity = 256
	// acceptRetryDelay is the delay after a failed accept, for example without a free file descriptor.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server is the task that accepts the connections and calls of peers. It owns the listener and counts open connections
// and calls in flight.
type Server struct {
	drpc     *drpcserver.Server
	tls      *tls.Config
	counters counters
	log      *slog.Logger
	inbox    *task.Mailbox[any]
	// requests bounds the memory of long requests of all connections.
	requests *memory.Budget

	listener net.Listener
	// open counts the open connections, active the calls in flight.
	open, active int
	draining     bool
	drainReplies []chan<- struct{}
}

// Messages to the server task.
type (
	acceptEvent      struct{ conn net.Conn }
	disconnectEvent  struct{ err error }
	callStartRequest struct{ reply chan<- bool }
	callEndEvent     struct{}
	drainRequest     struct{ reply chan<- struct{} }
)

// NewServer returns a server. Without a TLS configuration its connections are unencrypted.
func NewServer(handlers Handlers, config *tls.Config, registry metrics.Registry, log *slog.Logger) (*Server, error) {
	s := &Server{tls: config, counters: newCounters(registry), log: log, inbox: task.NewMailbox[any]("peer server", serverCapacity),
		requests: memory.NewBudget(longRequestBytes)}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{handlers: handlers, counters: s.counters}); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "peer service cannot be registered")
	}
	s.drpc = drpcserver.NewWithOptions(&dispatcher{next: mux, server: s}, drpcserver.Options{Manager: managerOptions(inboundIdle)})
	return s, nil
}

// Run is the body of the server's task. It returns after the context has ended and all connections are closed. The end of
// the context cancels the calls in flight; call Drain before it to let them finish.
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
	s.handleRemaining()
	return nil
}

// handleRemaining handles the messages that arrived while the task was stopping.
func (s *Server) handleRemaining() {
	for {
		select {
		case m := <-s.inbox.C():
			if m, ok := m.(acceptEvent); ok {
				_ = m.conn.Close() // the peer can connect to another instance
				continue
			}
			s.handle(context.Background(), m)
		default:
			return
		}
	}
}

// Drain stops accepting connections and calls, and returns when the calls in flight have ended.
func (s *Server) Drain(ctx context.Context) error {
	_, err := task.Ask(ctx, s.inbox, func(reply chan<- struct{}) any { return drainRequest{reply: reply} })
	return err
}

func (s *Server) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case acceptEvent:
		s.serve(ctx, m.conn)
	case disconnectEvent:
		s.open--
		s.countMalformed(m.err)
	case callStartRequest:
		if !s.draining {
			s.active++
		}
		m.reply <- !s.draining
	case callEndEvent:
		s.active--
	case drainRequest:
		s.draining = true
		s.closeListener()
		s.drainReplies = append(s.drainReplies, m.reply)
	}
	s.replyDrained()
}

func (s *Server) replyDrained() {
	if s.active > 0 {
		return
	}
	for _, reply := range s.drainReplies {
		reply <- struct{}{}
	}
	s.drainReplies = nil
}

func (s *Server) closeListener() {
	_ = s.listener.Close() // the error of a second close does no harm
}

// accept passes connections to the server task until the listener is closed.
func (s *Server) accept(ctx context.Context, stopped chan<- struct{}) {
	defer close(stopped)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			_ = s.inbox.Send(context.Background(), acceptEvent{conn: conn}) // a background context never ends
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		default:
			s.log.Warn("cannot accept a peer connection", "error", err)
			task.Pause(ctx, acceptRetryDelay)
		}
	}
}

// serve starts the task of one connection.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	if s.draining || s.open >= maxInbound || ctx.Err() != nil {
		_ = conn.Close() // the peer reconnects later
		return
	}
	s.open++
	if s.tls != nil {
		conn = tls.Server(conn, s.tls)
	}
	go func() {
		err := s.drpc.ServeOne(ctx, &inboundSocket{socket: &socket{Conn: conn, counters: s.counters}, budget: s.requests})
		_ = s.inbox.Send(context.Background(), disconnectEvent{err: err}) // the server outlives its connections
	}()
}

// countMalformed counts and logs a connection that ended because the peer sent malformed or oversized data.
func (s *Server) countMalformed(err error) {
	if isMalformed(err) {
		s.counters.badMessages.Inc(1)
		s.log.Warn("peer connection closed", "error", fault.Wrap(err, fault.BadPeer,
			"check that only instances of the fleet reach the peer address", "peer sent data that is malformed or too large"))
	}
}

// dispatcher counts the calls in flight and rejects messages that cannot be decoded.
type dispatcher struct {
	next   drpc.Handler
	server *Server
}

// HandleRPC handles one call.
func (d *dispatcher) HandleRPC(stream drpc.Stream, rpc string) error {
	// The server task lives until all connections are closed, so the answer always comes.
	admitted, err := task.Ask(context.Background(), d.server.inbox, func(reply chan<- bool) any { return callStartRequest{reply: reply} })
	if err != nil || !admitted {
		return encodeError(fault.New(fault.Stopping, "ask another instance", "this instance is stopping"))
	}
	err = d.next.HandleRPC(stream, rpc)
	_ = d.server.inbox.Send(context.Background(), callEndEvent{})
	return d.encodeMalformed(err)
}

// encodeMalformed converts the error of an unknown or undecodable message to kind fault.BadPeer. Other errors without a
// code are connection errors: the peer has disconnected.
func (d *dispatcher) encodeMalformed(err error) error {
	if drpcerr.Code(err) != 0 || !isMalformed(err) {
		return err
	}
	d.server.counters.badMessages.Inc(1)
	return encodeError(fault.Wrap(err, fault.BadPeer, "bring all instances to versions that share a protocol", "message was not understood"))
}

// isMalformed reports whether an error means that a peer sent data that is not drpc, too large, unknown or undecodable.
func isMalformed(err error) bool {
	return drpc.ProtocolError.Has(err) || errors.Is(err, proto.Error) || errors.Is(err, errTooManyBytes)
}
