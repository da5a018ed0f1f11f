package gateway

import (
	"context"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/outlier"
	"fuchsiahub.example/fuchsiahub/internal/decide/placement"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/decide/resend"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// directorCapacity is the inbox capacity of the director.
	directorCapacity = 1024
	// workWeight is the weight of a new sample in the moving average of a route's service time.
	workWeight = 0.05
	// noLoadQuantile is the quantile of the service times that counts as typical where servers do not report load. It lies
	// below the share of requests that meet a machine at its normal speed.
	noLoadQuantile = 0.4
)

// Messages to the director.
type (
	// place requests a backend server for one copy of a request.
	place struct {
		id      string
		route   *fleet.Route
		service string
		// fingerprint is the same for equal requests.
		fingerprint quarantine.Fingerprint
		// tried are the backend servers that already received a copy.
		tried []string
		// first is true for the first copy of a request; further copies are charged to the resend budget.
		first bool
		// until is the deadline of the request, objective the earlier time at which the latency target of its route is
		// missed.
		until, objective time.Time
		reply            func(any)
	}
	// released returns the grant of a copy that has ended, with its result.
	released struct {
		grant  *grant
		result backend.Result
		// cancelled is true when this instance cancelled the copy.
		cancelled bool
		// worked is true when the server answered without a server error.
		worked bool
	}
	// overdue reports a copy that has taken longer than expected and is still in flight.
	overdue struct{ grant *grant }
	// checked is the result of a health check.
	checked struct {
		server *server
		result backend.Result
	}
	// believed carries a new snapshot of the store.
	believed struct{ belief *Belief }
	// struck carries a strike (a crash attributed to a request) that some instance recorded.
	struck struct{ strike quarantine.Strike }
	// rebound carries changed bounds of the fleet.
	rebound struct{ bounds Bounds }
)

// grant assigns a backend server to one copy of a request. It is the successful answer to a place message.
type grant struct {
	server  *server
	entry   *fleet.Backend
	pool    *backend.Pool
	sentAt  time.Time
	routeID string
	// fingerprint is that of the request.
	fingerprint quarantine.Fingerprint
	// expected is the predicted time to the answer.
	expected time.Duration
	// hedgeAfter is the time after which a second copy of an idempotent request is worthwhile.
	hedgeAfter time.Duration
	// plain is true when the server was warm, not slowed down and had a free slot, so that the time of the copy measures
	// the work of the request.
	plain bool
	// reportAge is the age of the load report on which the choice was based.
	reportAge time.Duration
	// delay is the delay of the health check of a server that does not report load.
	delay time.Duration
	// asked is the number of servers that were considered.
	asked int
}

// unplaced is the answer to a place message when no server can take the copy.
type unplaced struct {
	reason     reason
	retryAfter time.Duration
	asked      int
}

// director is the task that places requests on backend servers. It owns the connection pools and the state of all
// backend servers.
type director struct {
	inbox    *task.Mailbox[any]
	self     fleet.Instance
	bounds   Bounds
	timing   Timing
	tuning   placement.Tuning
	kind     *backend.Kind
	crashes  *crashes
	log      *slog.Logger
	counters *counters

	started time.Time
	belief  *Belief
	servers map[string]*server
	pending []*pending
	// work is the typical service time of the requests of each route, by its name.
	work map[string]time.Duration
	// budgets holds the resend budget of each service.
	budgets map[string]*resend.Budget
	// pools is the context in which the connection pools run. It ends with the task.
	pools context.Context
}

func newDirector(self fleet.Instance, settings *Settings, kind *backend.Kind, crashes *crashes, log *slog.Logger, counters *counters) *director {
	return &director{
		inbox: task.NewMailbox[any]("director", directorCapacity), self: self, bounds: settings.Bounds, timing: settings.Timing, tuning: placement.DefaultTuning(),
		kind: kind, crashes: crashes, log: log, counters: counters, started: time.Now(), belief: &Belief{View: &fleet.View{}}, servers: map[string]*server{},
		work: map[string]time.Duration{}, budgets: map[string]*resend.Budget{},
	}
}

// run is the body of the task. It returns when the context is done.
func (d *director) run(ctx context.Context) error {
	d.pools = ctx
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(d.untilDecision())
		select {
		case m := <-d.inbox.C():
			d.handle(ctx, time.Now(), m)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		d.decideDue(ctx, time.Now())
	}
}

func (d *director) untilDecision() time.Duration {
	wait := idleWait
	for _, p := range d.pending {
		wait = min(wait, time.Until(p.decideBy))
	}
	return max(wait, 0)
}

func (d *director) handle(ctx context.Context, now time.Time, m any) {
	switch m := m.(type) {
	case place:
		d.begin(ctx, now, m)
	case released:
		d.release(ctx, now, m)
	case overdue:
		m.grant.server.overdueAt = now
	case checked:
		d.takeCheck(ctx, now, m)
	case believed:
		d.believe(now, m.belief)
	case struck:
		d.crashes.quarantine.Strike(now, m.strike)
	case rebound:
		d.bounds = m.bounds
		d.budgets = map[string]*resend.Budget{}
	}
}

// believe applies a new snapshot: it opens pools for new backend servers and closes those of removed ones.
func (d *director) believe(now time.Time, belief *Belief) {
	d.belief = belief
	known := map[string]bool{}
	for _, list := range belief.Backends {
		for _, entry := range list {
			known[entry.Incarnation()] = true
			d.meet(now, entry)
		}
	}
	for key, s := range d.servers {
		if !known[key] {
			s.stop()
			delete(d.servers, key)
		}
	}
}

// meet creates or updates the state of a backend server from its entry. A server with a new address gets a new pool.
func (d *director) meet(now time.Time, entry *fleet.Backend) {
	s := d.servers[entry.Incarnation()]
	if s != nil && s.entry.Address == entry.Address {
		s.entry = entry
		return
	}
	if s != nil {
		s.stop()
	}
	d.crashes.started(now, entry)
	far := distance(d.self.Place, entry.Place)
	s = &server{entry: entry, distance: far, roundTrip: assumedRoundTrip(far), score: outlier.NewScore()}
	s.report.well = true
	s.report.load = true // until a health check shows that the server does not report load
	s.pool = d.kind.NewPool(entry.Address, backend.Resize{Limit: d.connectionLimit(entry.Service)})
	ctx, stop := context.WithCancel(d.pools)
	s.stop = stop
	d.servers[entry.Incarnation()] = s
	go func() { _ = s.pool.Run(ctx) }() // the pool ends with its context, without an error
}

// leastConnections is the number of connections that an instance may always open to a server, whatever its share. Two
// are needed, one for a request and one for health checks.
const leastConnections = 4

// connectionLimit divides the connections that a server of the service accepts among the instances.
func (d *director) connectionLimit(service string) int {
	all := d.belief.Config
	if all == nil || all.Services[service].MaxConnections == 0 {
		return leastConnections
	}
	return max(all.Services[service].MaxConnections/(len(d.belief.Instances)+1), leastConnections)
}

// release updates the state of a server after a copy has ended.
func (d *director) release(ctx context.Context, now time.Time, m released) {
	s := m.grant.server
	s.inFlight--
	if m.cancelled {
		return
	}
	switch {
	case broke(ctx, m.result):
		s.score.Failure(now)
		d.crashes.lost(now, s.entry, m.grant.fingerprint)
		s.examined = mostExamined
		d.check(ctx, now, s)
	case m.worked:
		s.score.Success(now)
		d.crashes.quarantine.Clear(now, m.grant.fingerprint)
	case !m.result.Fate.SurelyNotRun() || m.result.Refused:
		s.score.Failure(now)
	}
	if m.result.LoadKnown {
		s.observe(now, m.result)
	}
	if m.worked && m.grant.plain {
		d.learnWork(m.grant.routeID, m.result.Elapsed-s.roundTrip, s.report.load)
	}
}

// learnWork updates the typical service time of a route with the time of a copy on an unloaded server. known is true for a
// server that reports load. A server that does not may have been slow unnoticed, so for it the typical time is
// a quantile that slow answers hardly move.
func (d *director) learnWork(route string, work time.Duration, known bool) {
	old := d.work[route]
	switch {
	case old == 0:
		d.work[route] = work
	case known:
		d.work[route] = old + time.Duration(workWeight*float64(work-old))
	case work < old:
		d.work[route] = old - time.Duration(workWeight*(1-noLoadQuantile)*float64(old))
	default:
		d.work[route] = old + time.Duration(workWeight*noLoadQuantile*float64(old))
	}
}
