package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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
	// endReportTime bounds the wait for the reports of connections that are open when the process ends. It is a part of
	// graceReserve.
	endReportTime = 20 * time.Millisecond
	// idleConnectionTimeout is the idle time after which a connection to a backend server is closed. It is shorter than the
	// idle timeout of most servers.
	idleConnectionTimeout = 8 * time.Second
	// readyCheckInterval is the interval at which a starting instance checks whether its snapshot is complete enough to
	// serve.
	readyCheckInterval = 200 * time.Millisecond
	// callerFileFraction is the fraction of the file descriptors that caller connections may use. The rest is for
	// connections to backend servers, the store and peers.
	callerFileFraction = 0.6
	// gatewayInboxCapacity is the inbox capacity of the gateway task.
	gatewayInboxCapacity = 64
	// acceptRetryDelay is the delay after a failed accept, for example when no file descriptor is free.
	acceptRetryDelay = 20 * time.Millisecond
	// registerInterval is the minimum time between two writes of this instance's entry.
	registerInterval = 5 * time.Second
	// maxRegisterBackoff is the maximum backoff after a failed write of the entry.
	maxRegisterBackoff = 5 * time.Second
)

// Gateway is the task that starts and stops all other tasks. It is the context of charts/gateway.toml.
type Gateway struct {
	settings  Settings
	schema    Schema
	store     Store
	dialect   Dialect
	log       *slog.Logger
	metrics   *metric.Set
	counters  *counters
	snapshots *SnapshotPublisher
	board     *board
	director  *director
	callers   *callerServer
	machine   *chart.Machine[*Gateway]
	inbox     *task.Mailbox[any]
	self      fleet.Instance

	// stop is announced when caller connections should end after their next answer. closingIdle is closed when idle ones
	// should end at once, and processEnding when all should because the drain time has elapsed.
	stop                       *plannedStop
	closingIdle, processEnding chan struct{}
	// announceTime and drainTime are the delays of the chart.
	announceTime, drainTime time.Duration
	listener                net.Listener
	// registrationDue signals the registrar to write the entry of the instance.
	registrationDue chan struct{}
	// ready is closed when the snapshot is complete enough to serve. The readiness check reads it together with the stop.
	ready chan struct{}
	// openConnections is the number of open caller connections.
	openConnections int
	// acceptingEnded is true when all accepted connections have reached this task.
	acceptingEnded bool
}

// Messages to the gateway task.
type (
	acceptEvent    struct{ conn net.Conn }
	acceptEnd      struct{}
	closeEvent     struct{}
	readyEvent     struct{}
	settingsUpdate struct{ settings Settings }
)

// New returns a gateway.
func New(settings Settings, store Store, schema Schema, dialect Dialect, log *slog.Logger) (*Gateway, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	set := metric.NewSet()
	set.AddProcess()
	g := &Gateway{
		settings: settings, schema: schema, store: measuredStore{store: store, registry: set.Registry()},
		dialect: dialect, log: log, metrics: set, counters: newCounters(set.Registry()), snapshots: &SnapshotPublisher{},
		inbox: task.NewMailbox[any]("gateway", gatewayInboxCapacity),
		stop:  &plannedStop{leaving: make(chan struct{})}, closingIdle: make(chan struct{}), processEnding: make(chan struct{}), ready: make(chan struct{}),
		registrationDue: make(chan struct{}, 1),
		self: fleet.Instance{Name: settings.Name, Address: settings.PeerAddress, Place: settings.Place,
			CPUShare: settings.CPUShare, Incarnation: uint64(time.Now().UnixNano())},
	}
	return g, g.build()
}

// build creates the tasks that depend on the settings.
func (g *Gateway) build() error {
	poolFactory, err := backend.NewPoolFactory(tcp.Dial, g.dialect, charts.Params{"idle_limit": idleConnectionTimeout})
	if err != nil {
		return err
	}
	if g.board, err = newBoard(g.schema, g.snapshots, g.log); err != nil {
		return err
	}
	g.store.ObserveEras(g.board.reportEra)
	g.board.restoration.onReturn = func() { g.counters.storeReturns.Inc(1) }
	g.board.restoration.onUnreadable = func() { g.counters.unreadableEras.Inc(1) }
	g.board.restoration.onEra = func(era uint64) { g.counters.storeEra.Update(int64(era) - 1) }
	crashes, err := newCrashDetector(g.log)
	if err != nil {
		return err
	}
	g.board.onUnregistered = g.requestRegistration
	g.board.onDataAge, g.board.onStale = g.counters.recordAge, func() { g.counters.configOverdue.Inc(1) }
	g.board.onInvalid = func() { g.counters.invalidObjects.Inc(1) }
	g.director = newDirector(g.self, &g.settings, poolFactory, crashes, g.log, g.counters)
	requests, err := newForwarder(g.snapshots, g.director.inbox, g.dialect, g.stop, g.settings.Memory, g.log, g.counters)
	if err != nil {
		return err
	}
	g.callers, err = newCallerServer(requests, g.dialect, g.snapshots, g.stop.leaving, g.closingIdle, g.processEnding)
	if err != nil {
		return err
	}
	return g.bind()
}

// bind creates the state machine of the gateway, with the delays from the settings.
func (g *Gateway) bind() error {
	grace := g.settings.Bounds.Grace
	g.announceTime = min(g.settings.Timing.Announce, grace/2)
	g.drainTime = max(grace-g.announceTime-graceReserve, graceReserve)
	ch, err := charts.Load("gateway", charts.Params{"announce_time": g.announceTime, "drain_time": g.drainTime})
	if err != nil {
		return err
	}
	bound, err := chart.Bind(ch, chart.Bindings[*Gateway]{
		Actions: map[string]func(*Gateway){
			"mark_ready":           func(g *Gateway) { close(g.ready); g.log.Info("instance is ready") },
			"mark_leaving":         (*Gateway).markLeaving,
			"close_idle":           (*Gateway).closeIdle,
			"log_open_connections": func(g *Gateway) { g.log.Warn("drain time elapsed", "open_connections", g.openConnections) },
		},
	})
	if err != nil {
		return err
	}
	g.machine = bound.New(time.Now(), g)
	return nil
}

func (g *Gateway) markLeaving() {
	if !isClosed(g.stop.leaving) {
		left := g.drainTime
		if g.machine.In("leaving") {
			left += g.announceTime
		}
		g.stop.begin(time.Now().Add(left))
		_ = g.director.inbox.Offer(stopBegun{}) // with a full inbox, requests wait for connections as before
		g.log.Info("instance is leaving", "open_connections", g.openConnections)
	}
}

// closeIdle ends the wait for connections; those that have been opened are still accepted.
func (g *Gateway) closeIdle() {
	if limited, ok := g.listener.(interface{ SetDeadline(time.Time) error }); !ok || limited.SetDeadline(time.Unix(1, 0)) != nil {
		_ = g.listener.Close() // the accepting goroutine notices
	}
	close(g.closingIdle)
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
		{&l.Callers, &s.CallerAddress}, {&l.Readiness, &s.ReadinessAddress}, {&l.Peers, &s.PeerAddress},
		{&l.Metrics, &s.MetricsAddress},
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
	g.endConnections()
	tasks.Stop()
	g.log.Info("instance stops", "open_connections", g.openConnections)
	return tasks.Wait()
}

// endConnections makes the tasks of the remaining connections report the requests that they cut off, and waits for them
// for a short time.
func (g *Gateway) endConnections() {
	close(g.processEnding)
	limit := time.NewTimer(endReportTime)
	defer limit.Stop()
	for open := g.openConnections; open > 0; {
		select {
		case m := <-g.inbox.C():
			if _, closed := m.(closeEvent); closed {
				open--
			}
		case <-limit.C:
			return
		}
	}
}

// start starts the tasks that run for the lifetime of the instance.
func (g *Gateway) start(tasks *task.Group, listeners *Listeners) error {
	g.board.subscribers = []func(*Snapshot){
		func(s *Snapshot) { _ = g.director.inbox.Send(tasks.Context(), snapshotUpdate{snapshot: s}) }, // fails only at shutdown
		func(s *Snapshot) {
			if s.Ready() && !isClosed(g.ready) {
				_ = g.inbox.Offer(readyEvent{}) // if the inbox is full, the periodic check notices it
			}
		},
	}
	if err := g.startNews(tasks, listeners.Peers); err != nil {
		return err
	}
	// Sending fails only at shutdown.
	g.board.onStrike = func(s quarantine.Strike, withdrawn bool) {
		_ = g.director.inbox.Send(tasks.Context(), strikeUpdate{strike: s, withdrawn: withdrawn})
	}
	g.board.onTrial = func(t quarantine.Trial) { _ = g.director.inbox.Send(tasks.Context(), trialUpdate{trial: t}) }
	// A lost rewrite leaves the strike to the instances that know it.
	g.board.restoration.onRewrite = func(r rewrite) { _ = g.director.crashes.toStore.Offer(r) }
	g.director.claim = g.createClaim
	tasks.Go("strikes", g.storeStrikes)
	tasks.Go("board", g.board.run)
	tasks.Go("configuration decoder", g.board.decoder.run)
	tasks.Go("director", g.director.run)
	tasks.Go("registrar", g.register)
	tasks.Go("janitor", newJanitor(g.self.Name, g.board.inbox, g.store, g.log).run)
	serveOperations(tasks, listeners.Readiness, g.readinessHandler())
	if listeners.Metrics != nil {
		serveOperations(tasks, listeners.Metrics, g.metricsHandler())
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
	g.board.source, err = newNewsSource(g.board, g.self, &g.settings, client)
	if err != nil {
		return err
	}
	if g.board.staleness, err = newStaleness(g.board, g.settings.Bounds.ConfigApply); err != nil {
		return err
	}
	for _, kind := range followedKinds {
		f, err := newFeed(kind, g.board.source.limits.Period, g.self.Name, g.store, g.board.inbox, g.log)
		if err != nil {
			return err
		}
		g.board.source.feeds[kind] = f
		tasks.Go("feed "+string(kind), f.run)
	}
	server, err := peer.NewServer(peer.Handlers{News: g.serveNews}, nil, g.metrics.Registry(), g.log)
	if err != nil {
		return err
	}
	tasks.Go("peer client", client.Run)
	tasks.Go("peer server", func(ctx context.Context) error { return server.Run(ctx, listener) })
	return nil
}

// serveNews answers a request of a peer for store updates.
func (g *Gateway) serveNews(ctx context.Context, request *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	return task.Ask(ctx, g.board.inbox,
		func(reply chan<- *peerpb.NewsReply) any { return newsRequest{request: request, reply: reply} })
}

// loop runs the gateway task until the instance has stopped.
func (g *Gateway) loop(ctx context.Context, stop context.Context) {
	stopped := stop.Done()
	alarm := task.NewAlarm("gateway", g.log)
	defer alarm.Stop()
	for !g.machine.Final() {
		alarm.Set(g.nextWake())
		select {
		case m := <-g.inbox.C():
			g.handle(ctx, m)
		case <-stopped:
			stopped = nil
			g.fire("stop")
		case <-alarm.C():
			g.machine.Tick(time.Now())
			if g.snapshots.Newest().Ready() {
				g.fire("snapshot_ready")
			}
		}
		if g.acceptingEnded && g.openConnections == 0 {
			g.fire("connections_closed")
		}
	}
}

// nextWake returns when the task has to look whether it is ready, or when the next timeout of the chart is due; zero if there
// is none.
func (g *Gateway) nextWake() time.Time {
	if !isClosed(g.ready) {
		return time.Now().Add(readyCheckInterval)
	}
	due, _ := g.machine.Deadline()
	return due
}

func (g *Gateway) fire(event string) {
	if err := g.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; a missing one is a programming error
	}
}

func (g *Gateway) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case acceptEvent:
		if limit := int(callerFileFraction * float64(g.settings.MaxFiles)); limit > 0 && g.openConnections >= limit {
			g.log.Warn("caller connection is refused: too many are open", "open_connections", g.openConnections)
			g.counters.closeConnection(endTooMany, 0)
			_ = m.conn.Close() // the caller can connect to another instance
			return
		}
		g.openConnections++
		g.counters.callers.Update(int64(g.openConnections))
		go func() {
			g.callers.serve(ctx, m.conn)
			_ = g.inbox.Send(ctx, closeEvent{}) // fails only at the end of the process
		}()
	case acceptEnd:
		g.acceptingEnded = true
	case closeEvent:
		g.openConnections--
		g.counters.callers.Update(int64(g.openConnections))
	case readyEvent:
		g.fire("snapshot_ready")
	case settingsUpdate:
		g.reload(ctx, m.settings)
	}
}

// Reload applies changed settings. Addresses and the place of an instance change only with a restart.
func (g *Gateway) Reload(ctx context.Context, s Settings) {
	_ = g.inbox.Send(ctx, settingsUpdate{settings: s}) // fails only at the end of the process
}

func (g *Gateway) reload(ctx context.Context, s Settings) {
	if err := s.Check(); err != nil {
		g.log.Error("settings are not valid; the settings in force are kept", "error", err)
		return
	}
	addressChanged := s.CallerAddress != g.settings.CallerAddress || s.PeerAddress != g.settings.PeerAddress ||
		s.StoreAddress != g.settings.StoreAddress
	g.log.Info("settings are reloaded", "bounds_changed", s.Bounds != g.settings.Bounds, "needs_restart", addressChanged)
	g.settings.Bounds = s.Bounds
	_ = g.director.inbox.Send(ctx, boundsUpdate{bounds: s.Bounds}) // fails only at the end of the process
	_ = g.board.inbox.Send(ctx, boundsUpdate{bounds: s.Bounds})    // same
}

// accept passes connections to the gateway task until the listener is closed or idle connections are.
func (g *Gateway) accept(ctx context.Context) {
	defer func() { _ = g.inbox.Send(ctx, acceptEnd{}) }() // fails only at the end of the process
	pass := func(conn net.Conn) {
		if g.inbox.Send(ctx, acceptEvent{conn: conn}) != nil {
			_ = conn.Close() // the process is ending
		}
	}
	for {
		conn, err := g.listener.Accept()
		switch {
		case err == nil:
			pass(conn)
		case errors.Is(err, os.ErrDeadlineExceeded):
			tcp.AcceptRest(g.listener, pass)
			_ = g.listener.Close() // nobody else uses it
			return
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		default:
			g.log.Warn("caller connection was not accepted", "error", err)
			task.Pause(ctx, acceptRetryDelay)
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
	backoff := minBackoff
	for {
		select {
		case <-g.registrationDue:
		case <-ctx.Done():
			return nil
		}
		if err := g.store.Write(ctx, objectapi.Instances, g.self.Name, value); err == nil || ctx.Err() != nil {
			backoff = minBackoff
			task.Pause(ctx, registerInterval) // it takes a while until the board has read the new entry
			continue
		}
		g.log.Warn("instance is not registered", "error", err)
		task.Pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxRegisterBackoff)
		g.requestRegistration()
	}
}

// requestRegistration signals that the entry has to be written. It never blocks.
func (g *Gateway) requestRegistration() {
	select {
	case g.registrationDue <- struct{}{}:
	default:
	}
}

func serveOperations(tasks *task.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	tasks.Go("operations", func(ctx context.Context) error {
		context.AfterFunc(ctx, func() { _ = server.Close() }) // the process is ending
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// readinessHandler returns the handler for the readiness checks of the platform's balancer.
func (g *Gateway) readinessHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(g.settings.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !isClosed(g.ready) || isClosed(g.stop.leaving) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// metricsHandler returns the handler that serves counters and histograms as text.
func (g *Gateway) metricsHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		if err := g.metrics.WriteText(w); err != nil {
			g.log.Info("metrics were not read to the end", "error", err)
		}
	})
	return router
}
