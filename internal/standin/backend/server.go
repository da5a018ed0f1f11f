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
	serverCapacity = 256
	// stopLimit is the maximum time that a stopping server waits for running requests.
	stopLimit = 10 * time.Second
	idleLimit = 5 * time.Minute
)

// Listener opens the socket of a server. It is called again after each crash and must listen on the same address.
type Listener func() (net.Listener, error)

// Server is one stand-in backend server. Run is the body of its task.
type Server struct {
	inbox *task.Mailbox[any]
	ended chan struct{}
	state *state
	http  *http.Server
	// served receives the result of Serve when the HTTP server of the current incarnation stops accepting.
	served chan error
	// closed receives the result of each goroutine that closes sockets; closers counts the running ones.
	closed  chan error
	closers int
}

// Messages to the server's task.
type (
	begin struct {
		key   string
		body  []byte
		life  int
		reply chan verdict
	}
	end struct {
		life  int
		reply chan<- self
	}
	abandon struct {
		life   int
		waiter chan verdict
	}
	connOpened  struct{ reply chan<- bool }
	connClosed  struct{}
	probed      struct{ reply chan<- self }
	setSwitches struct {
		switches Switches
		reply    chan<- struct{}
	}
	getReport struct{ reply chan<- Report }
	crash     struct{ reply chan<- struct{} }
)

// New returns a server. It handles requests and messages only while Run runs.
func New(options Options) (*Server, error) {
	options, err := options.checked()
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
		inbox: task.NewMailbox[any]("stand-in backend server", serverCapacity), ended: make(chan struct{}), state: st, closed: make(chan error),
	}, nil
}

// Run is the body of the server's task. It returns after the context has ended and the running requests have finished.
func (s *Server) Run(ctx context.Context, listen Listener) error {
	defer close(s.ended)
	for ctx.Err() == nil {
		listener, err := listen()
		if err != nil {
			return err
		}
		s.start(listener)
		if err := s.live(ctx); err != nil {
			return err
		}
		s.stayDown(ctx)
	}
	return nil
}

// start begins a new incarnation and serves HTTP on the listener.
func (s *Server) start(listener net.Listener) {
	s.state.begin()
	server := &http.Server{Handler: &handler{server: s, life: s.state.life}, ConnState: s.connState, IdleTimeout: idleLimit}
	s.http = server
	s.served = make(chan error, 1)
	go func() { s.served <- server.Serve(listener) }()
	s.state.fire("listening")
}

// live handles messages until the server has crashed or stopped and its sockets are closed.
func (s *Server) live(ctx context.Context) error {
	done := ctx.Done()
	var failed error
	for serving := true; serving || s.closers > 0; {
		select {
		case m := <-s.inbox.C():
			s.handle(m)
		case <-done:
			done = nil
			s.close(shutDown)
		case err := <-s.served:
			serving = false
			if !errors.Is(err, http.ErrServerClosed) {
				failed = err
			}
		case err := <-s.closed:
			s.closers--
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// close closes the sockets on a separate goroutine, because the goroutines of requests need the task to handle their
// messages meanwhile.
func (s *Server) close(how func(*http.Server) error) {
	server := s.http
	s.closers++
	go func() { s.closed <- how(server) }()
}

// shutDown closes the server after its running requests have finished.
func shutDown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	return server.Shutdown(ctx)
}

// crash closes all sockets at once, without waiting for requests.
func (s *Server) crash() {
	s.state.crash()
	s.close((*http.Server).Close)
}

// stayDown handles messages while the server is down and refuses connections.
func (s *Server) stayDown(ctx context.Context) {
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
	case begin:
		if s.state.crashesOn(m) {
			s.crash()
			return
		}
		s.state.admit(m)
	case end:
		s.state.end(m)
	case abandon:
		s.state.abandon(m)
	case connOpened:
		m.reply <- s.state.connOpened()
	case connClosed:
		s.state.report.Connections--
	case probed:
		s.state.report.Probes++
		m.reply <- s.state.self()
	case setSwitches:
		s.state.set(m.switches)
		m.reply <- struct{}{}
	case getReport:
		m.reply <- s.state.snapshot()
	case crash:
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
		if allowed, _ := task.AskUntil(context.Background(), s.ended, s.inbox, func(reply chan<- bool) any { return connOpened{reply: reply} }); !allowed {
			_ = c.Close() // above the limit; net/http finds the connection closed
		}
		task.Pause(context.Background(), s.state.options.ConnectCost)
	case http.StateClosed, http.StateHijacked:
		s.inbox.SendUntil(s.ended, connClosed{})
	}
}

// Set changes the switches. It returns when they are in effect.
func (s *Server) Set(ctx context.Context, switches Switches) error {
	_, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- struct{}) any { return setSwitches{switches: switches, reply: reply} })
	return err
}

// Report returns the counters and the state of the server.
func (s *Server) Report(ctx context.Context) (Report, error) {
	return task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- Report) any { return getReport{reply: reply} })
}

// Crash closes all connections and refuses new ones for Options.DownTime. The next start has a new incarnation.
func (s *Server) Crash(ctx context.Context) error {
	_, err := task.AskUntil(ctx, s.ended, s.inbox, func(reply chan<- struct{}) any { return crash{reply: reply} })
	return err
}
