package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/metric"
	"fuchsiahub.example/fuchsiahub/internal/objectapi"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
	"fuchsiahub.example/fuchsiahub/internal/tcp"
)

const (
	// graceReserve is the part of the grace period that is kept for the exit of the process.
	graceReserve = 300 * time.Millisecond
	// connectionIdle is the idle time after which a connection to a backend server is closed. It is shorter than the idle
	// timeout of most servers.
	connectionIdle = 8 * time.Second
	// readyLook is the interval at which a starting instance checks whether its snapshot is complete enough to serve.
	readyLook = 200 * time.Millisecond
	// callerFiles is the fraction of the file descriptors that caller connections may use. The rest is for connections to
	// backend servers, the store and peers.
	callerFiles = 0.6
	// eventCapacity is the inbox capacity of the gateway task.
	eventCapacity = 64
	// acceptPause is the delay after a failed accept, for example when no file descriptor is free.
	acceptPause = 20 * time.Millisecond
	// registerGap is the minimum time between two writes of this instance's entry.
	registerGap = 5 * time.Second
	// mostRegisterPause is the maximum backoff after a failed write of the entry.
	mostRegisterPause = 5 * time.Second
)

// Gateway is the task that starts and stops all other tasks. It is the context of charts/gateway.toml.
type Gateway struct {
	settings Settings
	schema   Schema
	store    Store
	dialect  Dialect
	log      *slog.Logger
	metrics  *metric.Set
	counters *counters
	beliefs  *Beliefs
	board    *board
	director *director
	callers  *callers
	machine  *chart.Machine[*Gateway]
	inbox    *task.Mailbox[any]
	self     fleet.Instance

	// leaving is closed when caller connections should end after their next answer, quitting when idle ones should end
	// at once.
	leaving, quitting chan struct{}
	listener          net.Listener
	// unregistered signals the registrar to write the entry of the instance.
	unregistered chan struct{}
	// ready is closed when the snapshot is complete enough to serve. The readiness check reads it together with leaving.
	ready chan struct{}
	// open is the number of open caller connections.
	open int
}

// Messages to the gateway task.
type (
	accepted struct{ conn net.Conn }
	closed   struct{}
	informed struct{}
	reloaded struct{ settings Settings }
)

// New returns a gateway.
func New(settings Settings, store Store, schema Schema, dialect Dialect, log *slog.Logger) (*Gateway, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	set := metric.NewSet()
	g := &Gateway{
		settings: settings, schema: schema, store: measuredStore{store: store, registry: set.Registry()}, dialect: dialect, log: log, metrics: set,
		counters: newCounters(set.Registry()), beliefs: &Beliefs{}, inbox: task.NewMailbox[any]("gateway", eventCapacity),
		leaving: make(chan struct{}), quitting: make(chan struct{}), ready: make(chan struct{}), unregistered: make(chan struct{}, 1),
		self: fleet.Instance{Name: settings.Name, Address: settings.PeerAddress, Place: settings.Place, Share: settings.Share, Incarnation: uint64(time.Now().UnixNano())},
	}
	return g, g.build()
}

func (g *Gateway) build() error {
	kind, err := backend.NewKind(tcp.Dial, g.dialect, charts.Params{"idle_limit": connectionIdle})
	if err != nil {
		return err
	}
	g.board = newBoard(g.schema, g.beliefs, g.log)
	crashes, err := newCrashes(g.log)
	if err != nil {
		return err
	}
	g.board.unregistered = g.wantEntry
	g.board.aged = func(age time.Duration) { g.counters.newsAge.Update(age.Milliseconds()) }
	g.director = newDirector(g.self, &g.settings, kind, crashes, g.log, g.counters)
	requests, err := newForwarding(g.beliefs, g.director.inbox, g.dialect, g.log, g.counters)
	if err != nil {
		return err
	}
	g.callers, err = newCallers(requests, g.dialect, g.beliefs, g.leaving, g.quitting)
	if err != nil {
		return err
	}
	return g.bind()
}

func (g *Gateway) bind() error {
	grace := g.settings.Bounds.Grace
	announce := min(g.settings.Timing.Announce, grace/2)
	ch, err := charts.Load("gateway", charts.Params{"announce_time": announce, "drain_time": max(grace-announce-graceReserve, graceReserve)})
	if err != nil {
		return err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*Gateway]{
		Actions: map[string]func(*Gateway){
			"report_ready":   func(g *Gateway) { close(g.ready); g.log.Info("instance is ready") },
			"report_leaving": (*Gateway).reportLeaving,
			"close_idle":     (*Gateway).closeIdle,
			"report_open":    func(g *Gateway) { g.log.Warn("drain time elapsed with open connections", "open_connections", g.open) },
		},
	})
	if err != nil {
		return err
	}
	g.machine = bound.New(time.Now(), g)
	return nil
}

func (g *Gateway) reportLeaving() {
	if !isClosed(g.leaving) {
		close(g.leaving)
		g.log.Info("instance is leaving", "open_connections", g.open)
	}
}

func (g *Gateway) closeIdle() {
	_ = g.listener.Close() // the error of a second close can be ignored
	close(g.quitting)
}

// Listeners are the listening sockets of an instance.
type Listeners struct {
	Callers, Readiness, Peers net.Listener
	// Metrics is nil when metrics are not served.
	Metrics net.Listener
}

// Listen opens the sockets named in the settings. It stores the bound addresses in the settings, because port zero
// selects any free port.
func Listen(ctx context.Context, s *Settings) (*Listeners, error) {
	l := &Listeners{}
	for _, socket := range []struct {
		listener *net.Listener
		address  *string
	}{
		{&l.Callers, &s.CallerAddress}, {&l.Readiness, &s.ReadinessAddress}, {&l.Peers, &s.PeerAddress}, {&l.Metrics, &s.MetricsAddress},
	} {
		if *socket.address == "" {
			continue
		}
		listener, err := tcp.Listen(ctx, *socket.address)
		if err != nil {
			l.close()
			return nil, fault.Wrap(err, fault.Invalid, "free the address or change it", "address %s cannot be used", *socket.address)
		}
		*socket.listener, *socket.address = listener, listener.Addr().String()
	}
	return l, nil
}

func (l *Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Readiness, l.Peers, l.Metrics} {
		if listener != nil {
			_ = listener.Close() // no connection has been accepted yet
		}
	}
}

// Run serves on the listeners until the stop context is done, then shuts down gracefully.
func (g *Gateway) Run(stop context.Context, listeners *Listeners) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.listener = listeners.Callers
	tasks := task.NewGroup(ctx)
	if err := g.start(tasks, listeners); err != nil {
		return err
	}
	g.log.Info("instance starts", "name", g.settings.Name, "zone", g.settings.Place.Zone, "callers", g.settings.CallerAddress,
		"readiness", g.settings.ReadinessAddress, "peers", g.settings.PeerAddress, "metrics", g.settings.MetricsAddress,
		"incarnation", g.self.Incarnation)
	go g.accept(ctx)
	g.loop(ctx, stop)
	tasks.Stop()
	g.log.Info("instance stops", "open_connections", g.open)
	return tasks.Wait()
}

// start starts the tasks that run for the lifetime of the instance.
func (g *Gateway) start(tasks *task.Group, listeners *Listeners) error {
	g.board.published = []func(*Belief){
		func(b *Belief) { _ = g.director.inbox.Send(tasks.Context(), believed{belief: b}) }, // fails only at shutdown
		func(b *Belief) {
			if b.Ready() && !isClosed(g.ready) {
				_ = g.inbox.Offer(informed{}) // if the inbox is full, the periodic check notices it
			}
		},
	}
	if err := g.startNews(tasks, listeners.Peers); err != nil {
		return err
	}
	g.board.struck = func(s quarantine.Strike) { _ = g.director.inbox.Send(tasks.Context(), struck{strike: s}) } // fails only at shutdown
	tasks.Go("strikes", g.writeStrikes)
	tasks.Go("board", g.board.run)
	tasks.Go("director", g.director.run)
	tasks.Go("registrar", g.register)
	tasks.Go("janitor", newJanitor(g.self.Name, g.board.inbox, g.store, g.log).run)
	serveOperations(tasks, listeners.Readiness, g.readiness())
	if listeners.Metrics != nil {
		serveOperations(tasks, listeners.Metrics, g.measurements())
	}
	return nil
}

// startNews starts the tasks that follow the content of the store, by reading it or by asking peers for store updates
// (news).
func (g *Gateway) startNews(tasks *task.Group, listener net.Listener) error {
	client, err := peer.NewClient(func() *member.View { return nil }, tcp.Dial, nil, g.metrics.Registry())
	if err != nil {
		return err
	}
	g.board.reader, err = newReader(g.board, g.self, &g.settings, client)
	if err != nil {
		return err
	}
	for _, kind := range followed {
		f, err := newFeed(kind, g.board.reader.pace.Period, g.self.Name, g.store, g.board.inbox, g.log)
		if err != nil {
			return err
		}
		g.board.reader.feeds[kind] = f
		tasks.Go("feed "+string(kind), f.run)
	}
	server, err := peer.NewServer(peer.Handlers{News: g.giveNews}, nil, g.metrics.Registry(), g.log)
	if err != nil {
		return err
	}
	tasks.Go("peer client", client.Run)
	tasks.Go("peer server", func(ctx context.Context) error { return server.Run(ctx, listener) })
	return nil
}

// giveNews answers a request of a peer for store updates.
func (g *Gateway) giveNews(ctx context.Context, request *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	return task.Ask(ctx, g.board.inbox, func(reply chan<- *peerpb.NewsReply) any { return newsWanted{request: request, reply: reply} })
}

// loop runs the gateway task until the instance has stopped.
func (g *Gateway) loop(ctx context.Context, stop context.Context) {
	stopped := stop.Done()
	for !g.machine.Final() {
		timer := time.NewTimer(g.untilTimeout())
		select {
		case m := <-g.inbox.C():
			g.handle(ctx, m)
		case <-stopped:
			stopped = nil
			g.fire("stop")
		case <-timer.C:
			g.machine.Tick(time.Now())
			if g.beliefs.Newest().Ready() {
				g.fire("informed")
			}
		}
		timer.Stop()
		if g.open == 0 {
			g.fire("finished")
		}
	}
}

func (g *Gateway) untilTimeout() time.Duration {
	if !isClosed(g.ready) {
		return readyLook
	}
	if due, ok := g.machine.Deadline(); ok {
		return max(time.Until(due), 0)
	}
	return idleWait
}

func (g *Gateway) fire(event string) {
	if err := g.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

func (g *Gateway) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case accepted:
		if most := int(callerFiles * float64(g.settings.MaxFiles)); most > 0 && g.open >= most {
			g.log.Warn("caller connection is refused: too many are open", "open_connections", g.open)
			_ = m.conn.Close() // the caller can connect to another instance
			return
		}
		g.open++
		g.counters.callers.Update(int64(g.open))
		go func() {
			g.callers.serve(ctx, m.conn)
			_ = g.inbox.Send(ctx, closed{}) // fails only at the end of the process
		}()
	case closed:
		g.open--
		g.counters.callers.Update(int64(g.open))
	case informed:
		g.fire("informed")
	case reloaded:
		g.reload(ctx, m.settings)
	}
}

// Reload applies changed settings. Addresses and the place of an instance change only with a restart.
func (g *Gateway) Reload(ctx context.Context, s Settings) {
	_ = g.inbox.Send(ctx, reloaded{settings: s}) // fails only at the end of the process
}

func (g *Gateway) reload(ctx context.Context, s Settings) {
	if err := s.Check(); err != nil {
		g.log.Error("settings are not valid; the settings in force are kept", "error", err)
		return
	}
	moved := s.CallerAddress != g.settings.CallerAddress || s.PeerAddress != g.settings.PeerAddress || s.StoreAddress != g.settings.StoreAddress
	g.log.Info("settings are reloaded", "bounds_changed", s.Bounds != g.settings.Bounds, "needs_restart", moved)
	g.settings.Bounds = s.Bounds
	_ = g.director.inbox.Send(ctx, rebound{bounds: s.Bounds}) // fails only at the end of the process
	_ = g.board.inbox.Send(ctx, rebound{bounds: s.Bounds})    // same
}

// accept passes connections to the gateway task until the listener is closed.
func (g *Gateway) accept(ctx context.Context) {
	for {
		conn, err := g.listener.Accept()
		switch {
		case err == nil:
			if g.inbox.Send(ctx, accepted{conn: conn}) != nil {
				_ = conn.Close() // the process is ending
			}
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		default:
			g.log.Warn("caller connection was not accepted", "error", err)
			task.Pause(ctx, acceptPause)
		}
	}
}

// register writes the entry of this instance to the store whenever the board finds it missing or different, so that
// other instances can find this one.
func (g *Gateway) register(ctx context.Context) error {
	value, err := g.schema.EncodeInstance(g.self)
	if err != nil {
		return err
	}
	pause := firstPause
	for {
		select {
		case <-g.unregistered:
		case <-ctx.Done():
			return nil
		}
		if err := g.store.Write(ctx, objectapi.Instances, g.self.Name, value); err == nil || ctx.Err() != nil {
			pause = firstPause
			task.Pause(ctx, registerGap) // it takes a while until the board has read the new entry
			continue
		}
		g.log.Warn("instance is not registered", "error", err)
		task.Pause(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, mostRegisterPause)
		g.wantEntry()
	}
}

// wantEntry signals that the entry has to be written. It never blocks.
func (g *Gateway) wantEntry() {
	select {
	case g.unregistered <- struct{}{}:
	default:
	}
}

func serveOperations(tasks *task.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdle}
	tasks.Go("operations", func(ctx context.Context) error {
		context.AfterFunc(ctx, func() { _ = server.Close() }) // the process is ending
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// readiness returns the handler for the readiness checks of the platform's balancer.
func (g *Gateway) readiness() http.Handler {
	router := chi.NewRouter()
	router.Get(g.settings.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !isClosed(g.ready) || isClosed(g.leaving) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// measurements returns the handler that serves counters and histograms as text.
func (g *Gateway) measurements() http.Handler {
	router := chi.NewRouter()
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		if err := g.metrics.WriteText(w); err != nil {
			g.log.Info("metrics were not read to the end", "error", err)
		}
	})
	return router
}
