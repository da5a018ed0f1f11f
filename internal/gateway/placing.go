package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/coldstart"
	"fuchsiahub.example/fuchsiahub/internal/decide/placement"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/decide/resend"
)

const (
	// maxServersNear is the maximum number of servers of the own region that are considered for one placement.
	maxServersNear = 6
	// maxServersFar is the same for servers of other regions.
	maxServersFar = 3
	// assumedWorkFraction is the fraction of a route's latency target that its requests are assumed to take before any was
	// measured.
	assumedWorkFraction = 0.35
	// assumedLatencyTarget is the latency target of a route for which the operator sets none.
	assumedLatencyTarget = time.Second
)

// pendingPlacement is a placement that waits for load reports.
type pendingPlacement struct {
	placeRequest
	startedAt time.Time
	// checksSentAt is when health checks were last sent for this placement.
	checksSentAt time.Time
	// reportWait is the maximum wait for reports.
	reportWait time.Duration
	// decideBy is when the placement is decided even if reports are missing.
	decideBy time.Time
	// otherRegions is true when servers of other regions are considered as well.
	otherRegions bool
	// testsServiceTime is true for a request that would be refused by the estimated service time of its route.
	testsServiceTime bool
	servers          []*server
}

// checkRound returns the state of the health checks of the placement.
func (p *pendingPlacement) checkRound(now time.Time, mayHaveBecomeCold func(time.Time, *server) bool) placement.CheckRound {
	round := placement.CheckRound{Waited: now.Sub(p.checksSentAt)}
	for _, s := range p.servers {
		if s.checkInFlight {
			round.Outstanding++
		}
		if s.isFresh(now) && !s.isFull(now) && !mayHaveBecomeCold(now, s) {
			round.FreshReports++
		}
		round.NoLoad = round.NoLoad || !s.report.reportsLoad
	}
	return round
}

// startPlacement starts a placement: it charges the resend budget, refuses quarantined requests and places the others.
func (d *director) startPlacement(ctx context.Context, now time.Time, m placeRequest) {
	budget := d.budget(m.service)
	if m.firstCopy {
		budget.CountRequest(now)
	} else if !d.takeResend(now, budget, m.service) {
		d.counters.resendRefused.Inc(1)
		m.reply(placeRefusal{reason: reasonBudget, retryAfter: d.retryAfter(now, &m, 0)})
		return
	}
	switch d.crashes.treatmentOf(now, m.fingerprint) {
	case quarantine.RunTrial:
		if !d.claimTrial(ctx, now, m) {
			d.refuseCondemned(now, &m)
		}
	case quarantine.Refuse:
		d.refuseCondemned(now, &m)
	default:
		d.place(ctx, now, m)
	}
}

// place selects servers for a request and checks those whose reports are old.
func (d *director) place(ctx context.Context, now time.Time, m placeRequest) {
	if d.snapshot.Config == nil { // the request was routed by a snapshot that has not arrived here yet
		m.reply(placeRefusal{reason: reasonUninformed, retryAfter: d.retryAfter(now, &m, 0)})
		return
	}
	p := &pendingPlacement{placeRequest: m, startedAt: now, checksSentAt: now, reportWait: d.timing.ReportWait}
	p.servers = d.selectServers(now, &m, false, maxServersNear)
	if len(p.servers) == 0 {
		d.addOtherRegions(now, p)
	}
	d.checkServers(ctx, now, p.servers)
	d.pending = append(d.pending, p)
}

// takeResend charges one resend to the budget of a service. It returns false when the budget is used up.
func (d *director) takeResend(now time.Time, budget *resend.Budget, service string) bool {
	taken := budget.Take(now, len(d.snapshot.Instances))
	d.counters.resendsLeft(service, budget.Remaining(len(d.snapshot.Instances)))
	return taken
}

func (d *director) resendLimits() resend.Limits {
	return resend.Limits{Ratio: d.bounds.ResendRatio, Slack: d.bounds.ResendSlack, Window: d.bounds.ResendWindow}
}

func (d *director) budget(service string) *resend.Budget {
	b := d.budgets[service]
	if b == nil {
		b = resend.NewBudget(d.resendLimits())
		d.budgets[service] = b
	}
	return b
}

// addOtherRegions adds servers of other regions to the placement.
func (d *director) addOtherRegions(now time.Time, p *pendingPlacement) {
	p.otherRegions = true
	p.checksSentAt, p.reportWait = now, d.timing.ReportWaitOtherRegion
	maxServers := maxServersFar
	if len(p.servers) == 0 {
		maxServers = maxServersNear // there are no other servers to choose from
	}
	p.servers = append(p.servers, d.selectServers(now, &p.placeRequest, true, maxServers)...)
}

// selectServers returns at most the given number of servers that the request may be sent to, either of the own region or
// of other regions. Servers that answer come first, and then servers of the own zone.
func (d *director) selectServers(now time.Time, m *placeRequest, otherRegions bool, limit int) []*server {
	var list []*server
	for _, entry := range d.snapshot.Backends[m.service] {
		s := d.servers[entry.Incarnation()]
		if s == nil || (s.distance == placement.OtherRegion) != otherRegions || !d.isEligible(now, s, m) {
			continue
		}
		list = append(list, s)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *server) int {
		if a.isDoubtful() != b.isDoubtful() {
			return compareFlag(a.isDoubtful()) // doubtful servers are checked again only if not enough others are left
		}
		return int(a.distance) - int(b.distance)
	})
	return list[:min(len(list), limit)]
}

// compareFlag returns the comparison result for two elements of which one must sort later: 1 if it is the first element,
// otherwise -1.
func compareFlag(later bool) int {
	if later {
		return 1
	}
	return -1
}

// isEligible reports whether the server may be considered for the request, by the snapshot of the store and the server's last
// health check. A doubtful server is considered again when it is due for another check.
func (d *director) isEligible(now time.Time, s *server, m *placeRequest) bool {
	switch {
	case s.entry.Draining, d.snapshot.EvacuatedZones[s.entry.Place.Zone],
		!m.route.AllowsRegion(s.entry.Place.Region), slices.Contains(m.triedServers, s.entry.ID):
		return false
	case s.isDoubtful():
		return now.Sub(s.checkSentAt) >= recheckInterval
	}
	return true
}

// checkServers sends health checks to the servers whose reports are old.
func (d *director) checkServers(ctx context.Context, now time.Time, servers []*server) {
	for _, s := range servers {
		if !s.isFresh(now) || d.mayHaveBecomeCold(now, s) {
			d.startCheck(ctx, now, s)
		}
	}
}

// startCheck sends a health check unless one is in flight.
func (d *director) startCheck(ctx context.Context, now time.Time, s *server) {
	if s.checkInFlight {
		return
	}
	s.checkInFlight, s.checkSentAt, s.sentDuringCheck = true, now, 0
	d.counters.checks.Inc(1)
	s.sendCheck(ctx, s.checkTimeout(d.timing.CheckTimeout), d.snapshot.Config.Services[s.entry.Service], func(r backend.Result) {
		_ = d.inbox.Send(ctx, checkResult{server: s, result: r}) // fails only when the context is done
	})
}

// applyCheck applies the result of a health check.
func (d *director) applyCheck(ctx context.Context, now time.Time, m checkResult) {
	reportForeignAnswers(d.log, d.counters, m.server.entry.ID, "", m.result)
	wasUnresponsive := m.server.unresponsive
	d.noteInvalidAnswer(m.server, m.result)
	m.server.applyCheck(now, m.result)
	if m.server.crashChecksLeft > 0 {
		d.checkForCrash(ctx, now, m)
	}
	if m.server.unresponsive != wasUnresponsive {
		d.log.Info("reachability of a backend server changed", "backend", m.server.entry.ID, "service", m.server.entry.Service,
			"reachable", !m.server.unresponsive, "error", m.result.Err)
	}
}

// checkForCrash determines whether a server whose connection broke has crashed. A pooled connection that was closed proves
// nothing, so the check is repeated on the next one.
func (d *director) checkForCrash(ctx context.Context, now time.Time, m checkResult) {
	d.crashes.serverChecked(now, m.server.entry, m.result)
	m.server.crashChecksLeft--
	if m.result.ConnectionRefused || m.result.Answer != nil || backend.IsTimeout(m.result.Err) || backend.IsInvalidAnswer(m.result.Err) {
		m.server.crashChecksLeft = 0
	}
	if m.server.crashChecksLeft > 0 {
		d.startCheck(ctx, now, m.server)
	}
}

// decideDue decides the placements whose reports are complete or whose wait is over.
func (d *director) decideDue(ctx context.Context, now time.Time) {
	stillPending := d.pending[:0]
	for _, p := range d.pending {
		if !d.decide(ctx, now, p) {
			stillPending = append(stillPending, p)
		}
	}
	clear(d.pending[len(stillPending):])
	d.pending = stillPending
	d.counters.placing.Update(int64(len(stillPending)))
}

// decide answers a placement and returns true, or returns false while the placement has to wait. Servers of other regions
// are considered only if no server of the own region is expected to meet the latency target.
func (d *director) decide(ctx context.Context, now time.Time, p *pendingPlacement) bool {
	request := d.placementRequest(now, &p.placeRequest)
	round := p.checkRound(now, d.mayHaveBecomeCold)
	if remaining := round.Remaining(p.reportWait, request); remaining > 0 {
		p.decideBy = now.Add(remaining)
		return false
	}
	servers, candidates := d.candidates(now, p)
	choice := d.tuning.Choose(request, candidates)
	if choice.Index >= 0 && (p.otherRegions || choice.Expected <= request.TimeToTarget) {
		d.grant(now, p, servers[choice.Index], candidates[choice.Index], choice.Expected)
		return true
	}
	if !p.otherRegions {
		d.addOtherRegions(now, p)
		d.checkServers(ctx, now, p.servers)
		return d.decide(ctx, now, p)
	}
	if round.Outstanding > 0 && len(servers) == 0 && now.Sub(p.startedAt) < d.timing.MaxReportWait {
		p.decideBy = p.startedAt.Add(d.timing.MaxReportWait)
		return false
	}
	if d.testServiceTime(now, p, request, servers, candidates) {
		return true
	}
	return d.refuse(now, p, request, choice)
}

// testServiceTime grants a server to a request that would be refused because of the estimated service time of its route, if
// that estimate is due for a test. It returns false if the request is to be refused.
func (d *director) testServiceTime(now time.Time, p *pendingPlacement, request placement.Request, servers []*server,
	candidates []placement.Candidate) bool {
	estimate := d.serviceTime(p.route)
	if p.stopping || !estimate.TrialDue(now) {
		return false
	}
	choice := d.tuning.ChooseTrial(request, estimate, candidates)
	if choice.Index < 0 {
		return false
	}
	estimate.StartTrial(now)
	d.log.Info("request tests the estimated service time of its route", "request", p.id, "route", p.route.Name,
		"estimate_ms", estimate.Value().Milliseconds(), "assumed_ms", estimate.Assumed.Milliseconds())
	p.testsServiceTime = true
	d.grant(now, p, servers[choice.Index], candidates[choice.Index], choice.Expected)
	return true
}

// placementRequest returns the expected service time and the time limits of the request.
func (d *director) placementRequest(now time.Time, m *placeRequest) placement.Request {
	return placement.Request{
		ServiceTime: d.serviceTime(m.route).Value(), TimeToDeadline: m.deadline.Sub(now), TimeToTarget: m.targetAt.Sub(now),
		LowPriority: d.snapshot.Routes != nil && d.snapshot.Routes.HasMoreUrgent(m.route, m.service),
	}
}

// candidates returns the servers that have reported and may take the request now, with their states for the decision.
func (d *director) candidates(now time.Time, p *pendingPlacement) ([]*server, []placement.Candidate) {
	var servers []*server
	var candidates []placement.Candidate
	for _, s := range p.servers {
		if s.isDoubtful() || s.report.at.IsZero() || !d.isEligible(now, s, &p.placeRequest) ||
			d.servers[s.entry.Incarnation()] != s {
			continue
		}
		if s.isFull(now) {
			continue
		}
		if s.isCold(now) && !s.coldMeter.HasCapacity(now, d.coldShare(now, s)) || d.mayHaveBecomeCold(now, s) {
			continue
		}
		servers = append(servers, s)
		candidates = append(candidates, s.candidate(now))
	}
	return servers, candidates
}

// mayHaveBecomeCold reports whether a server has been sent as many requests since its last health check as it may get from this
// instance while it is cold. An answer to a request does not show whether the server is cold.
func (d *director) mayHaveBecomeCold(now time.Time, s *server) bool {
	if s.sentSinceCheck == 0 || d.snapshot.Config == nil || d.snapshot.Config.Services[s.entry.Service].ColdPerSecond <= 0 {
		return false
	}
	return s.sentSinceCheck >= max(d.coldShare(now, s), 1)
}

// coldShare returns the number of requests per second that this instance may send to a cold server.
func (d *director) coldShare(now time.Time, s *server) int {
	service := d.snapshot.Config.Services[s.entry.Service]
	bound := coldstart.Bound(service.ColdPerSecond, d.bounds.ColdOvershoot, d.bounds.ColdSlack)
	if s.share.snapshot != d.snapshot || s.share.bound != bound {
		s.share = coldShare{snapshot: d.snapshot, bound: bound, value: d.computeColdShare(s, bound)}
	}
	if d.listedAt.IsZero() || now.Sub(d.listedAt) < coldstart.DiscoveryTime {
		return coldstart.StartupShare(bound, s.share.value)
	}
	return s.share.value
}

// computeColdShare divides the bound among the instances of the server's region.
func (d *director) computeColdShare(s *server, bound float64) int {
	names := []string{d.self.Name}
	for _, i := range d.snapshot.Instances {
		if i.Place.Region == s.entry.Place.Region && i.Name != d.self.Name {
			names = append(names, i.Name)
		}
	}
	if s.distance == placement.OtherRegion {
		names = names[1:]
	}
	return coldstart.Share(bound, s.entry.ID, d.self.Name, names)
}

// grant assigns the chosen server to the copy and answers the placement.
func (d *director) grant(now time.Time, p *pendingPlacement, s *server, c placement.Candidate, expected time.Duration) {
	s.noteSent(now)
	p.reply(&grant{
		fingerprint: p.fingerprint, onTrial: p.onTrial, testsServiceTime: p.testsServiceTime,
		server: s, entry: s.entry, pool: s.pool, grantedAt: now, route: p.route, expected: expected,
		hedgeAfter: d.tuning.HedgeAfter(d.placementRequest(now, &p.placeRequest), expected, s.report.reportsLoad),
		unloaded:   c.Slowdown <= maxUnloadedSlowdown && !c.Cold && c.Running+1 <= c.Slots && c.CheckDelay <= maxUnloadedDelay,
		reportAge:  now.Sub(s.report.at), checkDelay: c.CheckDelay, consideredServers: len(p.servers),
	})
}

// maxUnloadedSlowdown is the maximum reported slowdown of a server whose answer times count as service times of the route.
const maxUnloadedSlowdown = 1.05

// maxUnloadedDelay is the same for the delay of a health check; it is below the typical time of a check, one millisecond.
const maxUnloadedDelay = 500 * time.Microsecond

// refuse answers that no server can take the request in time, with the reason. It always returns true.
func (d *director) refuse(now time.Time, p *pendingPlacement, request placement.Request, choice placement.Choice) bool {
	reason := reasonUnreachable
	switch {
	case len(p.servers) == 0:
		reason = reasonNoServer
	case slices.ContainsFunc(p.servers, func(s *server) bool { return s.isFull(now) }):
		reason = reasonNoRoom
	case choice.Expected > request.TimeToDeadline && p.stopping:
		p.reply(placeRefusal{reason: reasonStopping, retryAfter: shortRetryAfter, consideredServers: len(p.servers)})
		return true
	case choice.Expected > request.TimeToDeadline:
		reason = reasonLate
	case choice.Expected > 0:
		reason = reasonYields
	}
	p.reply(placeRefusal{reason: reason, retryAfter: d.retryAfter(now, &p.placeRequest, choice.Expected),
		consideredServers: len(p.servers)})
	return true
}

func (d *director) retryAfter(now time.Time, m *placeRequest, shortest time.Duration) time.Duration {
	return placement.RetryAfter(d.placementRequest(now, m), shortest, m.route.Priority, rand.Float64())
}
