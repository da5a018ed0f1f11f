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
	// directorCapacity bounds the messages that wait at the director.
	directorCapacity = 1024
	// workWeight is the weight of a new measurement of a route's work.
	workWeight = 0.05
	// noLoadQuantile is the quantile of the times that counts as usual where servers tell no load: below the share of
	// requests that meet a machine at its usual speed.
	noLoadQuantile = 0.4
)

// Messages to the director.
type (
	// place asks for a backend server for one copy of a request.
	place struct {
		id      string
		route   *fleet.Route
		service string
		// fingerprint is what the request has in common with others that are equal.
		fingerprint quarantine.Fingerprint
		// tried are the backend servers that had a copy.
		tried []string
		// first is true for the first copy of a request; others are taken from the budget.
		first bool
		// until is when the request is given up, objective when its answer loses most of its worth.
		until, objective time.Time
		reply            func(any)
	}
	// released tells how a copy ended.
	released struct {
		grant  *grant
		result backend.Result
		// cancelled is true when this instance ended the copy.
		cancelled bool
		// worked is true when the server gave an answer that is not a failure of its own.
		worked bool
	}
	// overdue tells that a copy has taken longer than expected and is still on its way.
	overdue struct{ grant *grant }
	// checked tells the outcome of a health check.
	checked struct {
		server *server
		result backend.Result
	}
	// believed tells of a new belief.
	believed struct{ belief *Belief }
	// struck tells of a crash that an instance has found.
	struck struct{ strike quarantine.Strike }
	// rebound tells of changed bounds.
	rebound struct{ bounds Bounds }
)

// grant names the backend server for one copy. It is the answer to place.
type grant struct {
	server  *server
	entry   *fleet.Backend
	pool    *backend.Pool
	sentAt  time.Time
	routeID string
	// fingerprint is that of the request.
	fingerprint quarantine.Fingerprint
	// expected is the time in which the answer is expected.
	expected time.Duration
	// hedgeAfter is the time after which a second copy of an idempotent request is worth its price.
	hedgeAfter time.Duration
	// plain is true when the server was warm, unhurried and had room, so that the time of the copy shows the work.
	plain bool
	// reportAge is the age of the report behind the choice.
	reportAge time.Duration
	// delay is that of the health check of a server that tells no load.
	delay time.Duration
	asked int
}

// unplaced is the answer to place when no server is chosen.
type unplaced struct {
	reason     reason
	retryAfter time.Duration
	asked      int
}

// director is the task that places requests. It owns the pools of backend servers and what is known of them.
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
	// work is the usual time of the requests of a route.
	work    map[string]time.Duration
	budgets map[string]*resend.Budget
	// pools ends with the task and ends all pools.
	pools context.Context
}

func newDirector(self fleet.Instance, settings *Settings, kind *backend.Kind, crashes *crashes, log *slog.Logger, counters *counters) *director {
	return &director{
		inbox: task.NewMailbox[any]("director", directorCapacity), self: self, bounds: settings.Bounds, timing: settings.Timing, tuning: placement.DefaultTuning(),
		kind: kind, crashes: crashes, log: log, counters: counters, started: time.Now(), belief: &Belief{View: &fleet.View{}}, servers: map[string]*server{},
		work: map[string]time.Duration{}, budgets: map[string]*resend.Budget{},
	}
}

// run is the body of the task. It ends after the context has ended.
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

// believe takes a new belief and brings the pools in line with it.
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
	s.report.load = true // until a health check shows that the server does not tell its load
	s.pool = d.kind.NewPool(entry.Address, backend.Resize{Limit: d.connectionLimit(entry.Service)})
	ctx, stop := context.WithCancel(d.pools)
	s.stop = stop
	d.servers[entry.Incarnation()] = s
	go func() { _ = s.pool.Run(ctx) }() // a pool ends without an error
}

// leastConnections is the number of connections to a server that an instance may open in any case: one for a request
// and one for health checks.
const leastConnections = 4

// connectionLimit divides the connections that a server accepts among the instances.
func (d *director) connectionLimit(service string) int {
	all := d.belief.Config
	if all == nil || all.Services[service].MaxConnections == 0 {
		return leastConnections
	}
	return max(all.Services[service].MaxConnections/(len(d.belief.Instances)+1), leastConnections)
}

// release takes the end of a copy.
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

// learnWork takes the time of a copy on a server that was taken as unhurried. Servers that tell no load may have been
// slow all the same, so for them the usual time is a quantile that slow answers hardly move.
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
