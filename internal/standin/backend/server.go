package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	mailboxSize = 256
	// stopTimeout is the maximum time that a stopping server waits for running requests.
	stopTimeout = 10 * time.Second
	idleTimeout = 5 * time.Minute
)

// ListenFunc opens the socket of a server. It is called again after each crash and must listen on the same address.
type ListenFunc func() (net.Listener, error)

// Server is one stand-in backend server. Run is the body of its task.
type Server struct {
	inbox *task.Mailbox[any]
	ended chan struct{}
	state *state
	http  *http.Server
	// serveResult receives the result of Serve when the HTTP server of the current incarnation stops accepting.
	serveResult chan error
	// closeResults receives the result of each goroutine that closes sockets. runningClosers is the number of these
	// goroutines that have not ended.
	closeResults   chan error
	runningClosers int
}

// Messages to the server's task.
type (
	slotRequest struct {
		key         string
		body        []byte
		incarnation int
		reply       chan slotReply
	}
	endRequest struct {
		incarnation int
		reply       chan<- serverStatus
	}
	abandonRequest struct {
		incarnation int
		waiter      chan slotReply // the reply channel of the slotRequest
	}
	connOpenedRequest  struct{ reply chan<- bool }
	connClosedEvent    struct{}
	probeRequest       struct{ reply chan<- serverStatus }
	setSwitchesRequest struct {
		switches Switches
		reply    chan<- struct{}
	}
	reportRequest struct{ reply chan<- Report }
	crashRequest  struct{ reply chan<- struct{} }
)

// New returns a server. It handles requests and messages only while Run runs.
func New(options Options) (*Server, error) {
	options, err := options.validated()
	if err != nil {
		return nil, err
	}
	ch, err := charts.Load("standin", charts.Params{"down_time": options.DownTime})
	if err != nil {
		return nil, err
	}
	bound, err := chart.Bind(ch, bindings)
	if err != nil {
		return nil, err
	}
	st := &state{options: options, rnd: rand.New(rand.NewPCG(options.Seed, 0)), runs: map[string]int{}}
	st.machine = bound.New(time.Now(), st)
	return &Server{
		inbox: task.NewMailbox[any]("stand-in backend server", mailboxSize), ended: make(chan struct{}), state: st, closeResults: make(chan error),
	}, nil
}

// Run is the body of the server's task. It returns after the context has ended and the running requests have finished.
func (s *Server) Run(ctx context.Context, listen ListenFunc) error {
	defer close(s.ended)
	for ctx.Err() == nil {
		listener, err := listen()
		if err != nil {
			return err
		}
		s.startIncarnation(listener)
		if err := s.runIncarnation(ctx); err != nil {
			return err
		}
		s.waitWhileDown(ctx)
	}
	return nil
}

// startIncarnation begins a new incarnation and serves HTTP on the listener.
func (s *Server) startIncarnation(listener net.Listener) {
	s.state.newIncarnation()
	server := &http.Server{Handler: &handler{server: s, incarnation: s.state.incarnationNumber}, ConnState: s.connState, IdleTimeout: idleTimeout}
	s.http = server
	s.serveResult = make(chan error, 1)
	go func() { s.serveResult <- server.Serve(listener) }()
	s.state.fire("listening")
}

// runIncarnation handles messages until the server has crashed or stopped and its sockets are closed.
func (s *Server) runIncarnation(ctx context.Context) error {
	done := ctx.Done()
	var failed error
	for serving := true; serving || s.runningClosers > 0; {
		select {
		case m := <-s.inbox.C():
			s.handle(m)
		case <-done:
			done = nil
			s.closeSockets(shutDown)
		case err := <-s.serveResult:
			serving = false
			if !errors.Is(err, http.ErrServerClosed) {
				failed = err
			}
		case err := <-s.closeResults:
			s.runningClosers--
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// closeSockets closes the sockets on a separate goroutine, so that the task can handle the messages of running requests
// meanwhile.
func (s *Server) closeSockets(closeServer func(*http.Server) error) {
	server := s.http
	s.runningClosers++
	go func() { s.closeResults <- closeServer(server) }()
}

// shutDown closes the server after its running requests have finished.
func shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}

// crash closes all sockets at once, without waiting for requests.
func (s *Server) crash() {
	s.state.crash()
	s.closeSockets((*http.Server).Close)
}

// waitWhileDown handles messages while the server is down and refuses connections.
func (s *Server) waitWhileDown(ctx context.Context) {
	for s.state.machine.In("down") {
		due, _ := s.state.machine.Deadline()
		timer := time.NewTimer(time.Until(due))
		select {
		case m := <-s.inbox.C():
			s.handle(m)
		case <-timer.C:
			s.state.machine.Tick(time.Now())
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (s *Server) handle(m any) {
	switch m := m.(type) {
	case slotRequest:
		if s.state.crashesOn(m) {
			s.crash()
			return
		}
		s.state.admit(m)
	case endRequest:
		s.state.endRequest(m)
	case abandonRequest:
		s.state.abandonRequest(m)
	case connOpenedRequest:
		m.reply <- s.state.openConnection()
	case connClosedEvent:
		s.state.report.Connections--
	case probeRequest:
		s.state.report.Probes++
		m.reply <- s.state.status()
	case setSwitchesRequest:
		s.state.setSwitches(m.switches)
		m.reply <- struct{}{}
	case reportRequest:
		m.reply <- s.state.snapshot()
	case crashRequest:
		if s.state.machine.In("up") {
			s.crash()
		}
		m.reply <- struct{}{}
	}
}

// connState counts connections and closes those above the limit. net/http calls it for a new connection on the accepting
// goroutine, so that the cost of one connection delays the next.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if allowed, _ := task.AskUntil(context.Background(), s.ended, s.inbox, func(reply chan<- bool) any { return connOpenedRequest{reply: reply} }); !allowed {
			_ = c.Close() // above the limit; net/http finds the connection closed
		}
		task.Pause(context.Background(), s.state.options.ConnectCost)
	case http.StateClosed, http.StateHijacked:
		s.inbox.SendUntil(s.ended, connClosedEvent{})
	}
}

// Set changes the switches. It returns when they are in effect.
func (s *Server) Set(ctx context.Context, switches Switches) error {
	_, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- struct{}) any { return setSwitchesRequest{switches: switches, reply: reply} })
	return err
}

// Report returns the counters and the state of the server.
func (s *Server) Report(ctx context.Context) (Report, error) {
	return task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- Report) any { return reportRequest{reply: reply} })
}

// Crash closes all connections and refuses new ones for Options.DownTime. The next start has a new incarnation.
func (s *Server) Crash(ctx context.Context) error {
	_, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- struct{}) any { return crashRequest{reply: reply} })
	return err
}
