package gateway

import (
	"context"
	"log/slog"
	"slices"
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
	// directorInboxCapacity is the inbox capacity of the director.
	directorInboxCapacity = 1024
)

// Messages to the director.
type (
	// placeRequest requests a backend server for one copy of a request.
	placeRequest struct {
		id      string
		route   *fleet.Route
		service string
		// fingerprint is the same for equal requests.
		fingerprint quarantine.Fingerprint
		// triedServers are the backend servers that already received a copy.
		triedServers []string
		// firstCopy is true for the first copy of a request; further copies are charged to the resend budget.
		firstCopy bool
		// onTrial is true for a request that runs although equal ones crashed servers.
		onTrial bool
		// stopping is true if the deadline is that of the stop of this instance.
		stopping bool
		// deadline is when the request expires, targetAt when the latency target of its route is missed.
		deadline, targetAt time.Time
		reply              func(any)
	}
	// grantRelease returns the grant of a copy that has ended, with its result, or a grant that was not used.
	grantRelease struct {
		grant  *grant
		result backend.Result
		// cancelled is true when this instance cancelled the copy or did not send it.
		cancelled bool
		// succeeded is true when the server gave an answer other than a server error (5xx).
		succeeded bool
	}
	// streamFailure reports that a server broke off a long answer after its copy was released, or did not end it in time.
	streamFailure struct{ server *server }
	// overdueEvent reports a copy that has taken longer than expected and is still in flight.
	overdueEvent struct{ grant *grant }
	// checkResult is the result of a health check.
	checkResult struct {
		server *server
		result backend.Result
	}
	// snapshotUpdate carries a new snapshot of the store.
	snapshotUpdate struct{ snapshot *Snapshot }
	// strikeUpdate carries a strike (a crash attributed to a request) that some instance recorded, or has withdrawn.
	strikeUpdate struct {
		strike    quarantine.Strike
		withdrawn bool
	}
	// trialUpdate carries a trial that some instance has claimed.
	trialUpdate struct{ trial quarantine.Trial }
	// boundsUpdate carries changed bounds of the fleet.
	boundsUpdate struct{ bounds Bounds }
)

// grant assigns a backend server to one copy of a request. It is the successful answer to a placeRequest.
type grant struct {
	server    *server
	entry     *fleet.Backend
	pool      *backend.Pool
	grantedAt time.Time
	route     *fleet.Route
	// fingerprint is that of the request.
	fingerprint quarantine.Fingerprint
	// onTrial is true for a request that runs although equal ones crashed servers.
	onTrial bool
	// expected is the predicted time to the answer.
	expected time.Duration
	// hedgeAfter is the time after which a second copy of an idempotent request is worthwhile.
	hedgeAfter time.Duration
	// unloaded is true when the server was warm, not slowed down and had a free slot, so that the time of the copy measures
	// the work of the request.
	unloaded bool
	// testsServiceTime is true for a request that would have been refused by the estimated service time of its route.
	testsServiceTime bool
	// reportAge is the age of the load report on which the choice was based.
	reportAge time.Duration
	// checkDelay is the delay of the health check of a server that does not report load.
	checkDelay time.Duration
	// consideredServers is the number of servers that were considered.
	consideredServers int
}

// placeRefusal is the answer to a placeRequest when no server can take the copy.
type placeRefusal struct {
	reason            reason
	retryAfter        time.Duration
	consideredServers int
}

// stopBegun reports that a planned stop has begun.
type stopBegun struct{}

// director is the task that places requests on backend servers. It owns the connection pools and the state of all
// backend servers.
type director struct {
	inbox       *task.Mailbox[any]
	self        fleet.Instance
	bounds      Bounds
	timing      Timing
	tuning      placement.Tuning
	poolFactory *backend.PoolFactory
	crashes     *crashDetector
	// claim claims a trial for this instance; nil claims none.
	claim func(context.Context, quarantine.Trial) error
	// claimedAt is when a trial was last claimed for a fingerprint.
	claimedAt map[quarantine.Fingerprint]time.Time

	log      *slog.Logger
	counters *counters

	// listedAt is when the entry of this instance was first among those that were read from the store; zero before.
	listedAt time.Time
	snapshot *Snapshot
	servers  map[string]*server
	pending  []*pendingPlacement
	// serviceTimes holds the estimated service times of the requests of each route, by its name.
	serviceTimes map[string]*placement.ServiceTime
	// budgets holds the resend budget of each service.
	budgets map[string]*resend.Budget
	// poolContext is the context in which the connection pools run. It ends with the task.
	poolContext context.Context
}

func newDirector(self fleet.Instance, settings *Settings, poolFactory *backend.PoolFactory, crashes *crashDetector, log *slog.Logger,
	counters *counters) *director {
	return &director{
		inbox: task.NewMailbox[any]("director", directorInboxCapacity), self: self, bounds: settings.Bounds,
		timing: settings.Timing, tuning: placement.DefaultTuning(),
		poolFactory: poolFactory, crashes: crashes, log: log, counters: counters,
		snapshot: &Snapshot{View: &fleet.View{}}, servers: map[string]*server{},
		claimedAt:    map[quarantine.Fingerprint]time.Time{},
		serviceTimes: map[string]*placement.ServiceTime{}, budgets: map[string]*resend.Budget{},
	}
}

// run is the body of the task. It returns when the context is done.
func (d *director) run(ctx context.Context) error {
	d.poolContext = ctx
	alarm := task.NewAlarm("director", d.log)
	defer alarm.Stop()
	for {
		alarm.Set(d.nextDecision())
		select {
		case m := <-d.inbox.C():
			d.handle(ctx, time.Now(), m)
		case <-alarm.C():
		case <-ctx.Done():
			return nil
		}
		d.handleArrived(ctx)
		d.decideDue(ctx, time.Now())
	}
}

// handleArrived handles the messages that have arrived. The task may run late, so the reports that a placement waits for may be
// among them although its wait is over.
func (d *director) handleArrived(ctx context.Context) {
	for range d.inbox.Len() {
		d.handle(ctx, time.Now(), <-d.inbox.C())
	}
}

// nextDecision returns when the next placement is decided at the latest; zero if none is pending.
func (d *director) nextDecision() time.Time {
	var next time.Time
	for _, p := range d.pending {
		if next.IsZero() || p.decideBy.Before(next) {
			next = p.decideBy
		}
	}
	return next
}

func (d *director) handle(ctx context.Context, now time.Time, m any) {
	switch m := m.(type) {
	case placeRequest:
		d.startPlacement(ctx, now, m)
	case grantRelease:
		d.releaseGrant(ctx, now, m)
	case streamFailure:
		m.server.score.Failure(now)
	case overdueEvent:
		m.grant.server.overdueAt = now
	case checkResult:
		d.applyCheck(ctx, now, m)
	case snapshotUpdate:
		d.applySnapshot(now, m.snapshot)
	case strikeUpdate:
		if m.withdrawn {
			d.crashes.quarantine.Withdraw(now, m.strike)
			return
		}
		d.crashes.strikeRead(now, m.strike)
	case trialUpdate:
		d.crashes.quarantine.StartTrial(now, m.trial)
	case trialClaim:
		d.handleTrialClaim(ctx, now, m)
	case stopBegun:
		d.recallWaiting()
	case boundsUpdate:
		d.bounds = m.bounds
		for _, budget := range d.budgets {
			budget.SetLimits(d.resendLimits())
		}
	}
}

// applySnapshot applies a new snapshot: it opens pools for new backend servers and closes those of removed ones.
func (d *director) applySnapshot(now time.Time, snapshot *Snapshot) {
	d.snapshot = snapshot
	if d.listedAt.IsZero() && slices.ContainsFunc(snapshot.Instances, d.isSelf) {
		d.listedAt = now
	}
	known := map[string]bool{}
	for _, entries := range snapshot.Backends {
		for _, entry := range entries {
			known[entry.Incarnation()] = true
			d.updateServer(now, entry)
		}
	}
	for key, s := range d.servers {
		if !known[key] {
			s.stop()
			delete(d.servers, key)
			continue
		}
		d.barIfLeaving(s)
	}
}

// barIfLeaving takes back the requests that wait for a connection to a server which may get no more, so that they are placed
// again.
func (d *director) barIfLeaving(s *server) {
	barred := s.entry.Draining || d.snapshot.EvacuatedZones[s.entry.Place.Zone]
	if barred != s.barred {
		s.barred = barred
		_ = s.pool.SetBarred(d.poolContext, barred) // fails only at shutdown
	}
}

// recallWaiting takes back all requests that wait for a connection: in a planned stop there may be no time left for them.
func (d *director) recallWaiting() {
	for _, s := range d.servers {
		_ = s.pool.Recall(d.poolContext) // fails only at shutdown
	}
}

// isSelf reports whether an entry of the store is that of this instance at its present address.
func (d *director) isSelf(i fleet.Instance) bool {
	return i.Name == d.self.Name && i.Address == d.self.Address
}

// updateServer creates or updates the state of a backend server from its entry. A server with a new address gets a new pool.
func (d *director) updateServer(now time.Time, entry *fleet.Backend) {
	s := d.servers[entry.Incarnation()]
	if s != nil && s.entry.Address == entry.Address {
		if until := now.Add(entry.ColdFor); isRewritten(entry, s.entry) && entry.ColdFor > 0 && until.After(s.report.coldUntil) {
			s.report.coldUntil = until // until the next health check
		}
		s.entry = entry
		return
	}
	if s != nil {
		s.stop()
	}
	d.crashes.serverStarted(now, entry)
	dist := distance(d.self.Place, entry.Place)
	s = &server{entry: entry, distance: dist, roundTrip: assumedRoundTrip(dist), score: outlier.NewScore()}
	s.report.healthy = true
	s.report.reportsLoad = true // until a health check shows that the server does not report load
	s.pool = d.poolFactory.NewPool(entry.Address, backend.PoolSize{MaxConnections: d.connectionLimit(entry.Service)})
	ctx, stop := context.WithCancel(d.poolContext)
	s.stop = stop
	d.servers[entry.Incarnation()] = s
	go func() { _ = s.pool.Run(ctx) }() // the pool ends with its context, without an error
}

// isRewritten reports whether an entry has been written again since an older one.
func isRewritten(entry, older *fleet.Backend) bool {
	return entry.Revision != older.Revision || entry.Era != older.Era
}

// minConnections is the number of connections that an instance may always open to a server, whatever its share. Two
// are needed, one for a request and one for health checks.
const minConnections = 4

// connectionLimit divides the connections that a server of the service accepts among the instances.
func (d *director) connectionLimit(service string) int {
	all := d.snapshot.Config
	if all == nil || all.Services[service].MaxConnections == 0 {
		return minConnections
	}
	return max(all.Services[service].MaxConnections/(len(d.snapshot.Instances)+1), minConnections)
}

// releaseGrant updates the state of a server after a copy has ended.
func (d *director) releaseGrant(ctx context.Context, now time.Time, m grantRelease) {
	s := m.grant.server
	s.inFlight--
	d.noteInvalidAnswer(s, m.result)
	if m.grant.onTrial && !m.succeeded {
		d.crashes.quarantine.EndTrial(now, m.grant.fingerprint)
	}
	if m.cancelled {
		return
	}
	switch {
	case mayHaveCrashed(ctx, m.result):
		s.score.Failure(now)
		d.crashes.copyLost(now, s.entry, m.grant.fingerprint)
		s.crashChecksLeft = maxCrashChecks
		d.startCheck(ctx, now, s)
	case m.succeeded:
		s.score.Success(now)
		d.crashes.requestAnswered(now, m.grant.fingerprint)
	case !m.result.Fate.SurelyNotRun() || m.result.ConnectionRefused:
		s.score.Failure(now)
	}
	if m.result.LoadKnown {
		s.updateLoad(now, m.result)
	}
	if m.succeeded {
		d.recordServiceTime(now, m.grant, m.result.Elapsed-s.roundTrip)
	}
}

// recordServiceTime updates the estimated service time of a route with the time of a copy.
func (d *director) recordServiceTime(now time.Time, g *grant, work time.Duration) {
	estimate := d.serviceTime(g.route)
	if g.testsServiceTime {
		estimate.RecordTrial(work)
	} else if g.unloaded {
		estimate.Record(now, work, g.server.report.reportsLoad)
	}
}

// serviceTime returns the estimated service time of a route.
func (d *director) serviceTime(r *fleet.Route) *placement.ServiceTime {
	s := d.serviceTimes[r.Name]
	if s == nil {
		s = &placement.ServiceTime{}
		d.serviceTimes[r.Name] = s
	}
	s.Assumed = time.Duration(assumedWorkFraction * float64(latencyTarget(r))) // a new configuration may have changed it
	return s
}

// latencyTarget returns the latency target of a route, or the assumed one if the operator sets none.
func latencyTarget(r *fleet.Route) time.Duration {
	if r.LatencyTarget == 0 {
		return assumedLatencyTarget
	}
	return r.LatencyTarget
}

// noteInvalidAnswer counts and logs an answer whose bytes were no answer.
func (d *director) noteInvalidAnswer(s *server, r backend.Result) {
	if backend.IsInvalidAnswer(r.Err) {
		d.counters.invalidAnswers.Inc(1)
		d.log.Warn("answer of a backend server is invalid", "backend", s.entry.ID, "service", s.entry.Service, "error", r.Err)
	}
}
