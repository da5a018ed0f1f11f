package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/coldstart"
	"fuchsiahub.example/fuchsiahub/internal/decide/placement"
	"fuchsiahub.example/fuchsiahub/internal/decide/resend"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

const (
	// nearAsked is the maximum number of servers of the own region that are considered for one placement.
	nearAsked = 6
	// farAsked is the same for servers of other regions.
	farAsked = 3
	// firstWork is the fraction of a route's latency target that its requests are assumed to take before any was measured.
	firstWork = 0.35
	// assumedObjective is the latency target of a route for which the operator sets none.
	assumedObjective = time.Second
)

// pending is a placement that waits for load reports.
type pending struct {
	place
	began time.Time
	// asked is when health checks were last sent for this placement.
	asked time.Time
	// limit is the maximum wait for reports.
	limit time.Duration
	// decideBy is when the placement is decided even if reports are missing.
	decideBy time.Time
	// far is true when servers of other regions are considered as well.
	far     bool
	servers []*server
}

// poll returns how many reports are fresh and how many health checks are still in flight.
func (p *pending) poll(now time.Time) placement.Poll {
	state := placement.Poll{Waited: now.Sub(p.asked)}
	for _, s := range p.servers {
		if s.probing {
			state.Outstanding++
		}
		if s.isFresh(now) && !s.isFull(now) {
			state.Fresh++
		}
		state.NoLoad = state.NoLoad || !s.report.load
	}
	return state
}

// begin starts a placement: it charges the resend budget, refuses quarantined requests, selects servers and checks those
// whose reports are old.
func (d *director) begin(ctx context.Context, now time.Time, m place) {
	budget := d.budget(m.service)
	if m.first {
		budget.Request(now)
	} else if !d.takeResend(now, budget, m.service) {
		d.counters.resendRefused.Inc(1)
		m.reply(unplaced{reason: reasonBudget, retryAfter: d.retryAfter(now, &m, 0)})
		return
	}
	if d.crashes.refuses(now, m.fingerprint) {
		m.reply(unplaced{reason: reasonCrashes, retryAfter: d.retryAfter(now, &m, m.until.Sub(now))})
		return
	}
	p := &pending{place: m, began: now, asked: now, limit: d.timing.Near}
	p.servers = d.usable(now, &m, false, nearAsked)
	if len(p.servers) == 0 {
		d.extend(now, p)
	}
	d.ask(ctx, now, p.servers)
	d.pending = append(d.pending, p)
}

// takeResend charges one resend to the budget of a service. It returns false when the budget is used up.
func (d *director) takeResend(now time.Time, budget *resend.Budget, service string) bool {
	taken := budget.Take(now, len(d.belief.Instances))
	d.counters.resendsLeft(service, budget.Left(len(d.belief.Instances)))
	return taken
}

func (d *director) budget(service string) *resend.Budget {
	b := d.budgets[service]
	if b == nil {
		b = resend.NewBudget(resend.Terms{Ratio: d.bounds.ResendRatio, Slack: d.bounds.ResendSlack, Window: d.bounds.ResendWindow})
		d.budgets[service] = b
	}
	return b
}

// extend adds servers of other regions to the placement.
func (d *director) extend(now time.Time, p *pending) {
	p.far = true
	p.asked, p.limit = now, d.timing.Far
	most := farAsked
	if len(p.servers) == 0 {
		most = nearAsked // there are no other servers to choose from
	}
	p.servers = append(p.servers, d.usable(now, &p.place, true, most)...)
}

// usable returns at most the given number of servers that the request may be sent to, either of the own region or of other
// regions. Servers that answer come first, and then servers of the own zone.
func (d *director) usable(now time.Time, m *place, far bool, most int) []*server {
	var list []*server
	for _, entry := range d.belief.Backends[m.service] {
		s := d.servers[entry.Incarnation()]
		if s == nil || (s.distance == placement.OtherRegion) != far || !d.isUsable(now, s, m) {
			continue
		}
		list = append(list, s)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *server) int {
		if a.silent != b.silent {
			return order(a.silent) // unresponsive servers are checked again only if not enough others are left
		}
		return int(a.distance) - int(b.distance)
	})
	return list[:min(len(list), most)]
}

// order returns the comparison result for two different flags: 1 if the first element sorts later, otherwise -1.
func order(later bool) int {
	if later {
		return 1
	}
	return -1
}

// isUsable reports whether the request may be sent to the server, by the snapshot of the store and the server's last
// health check.
func (d *director) isUsable(now time.Time, s *server, m *place) bool {
	switch {
	case s.entry.Draining, s.misplaced, d.belief.Evacuated[s.entry.Place.Zone], !m.route.AllowsRegion(s.entry.Place.Region),
		slices.Contains(m.tried, s.entry.ID):
		return false
	case s.silent:
		return now.Sub(s.asked) >= silencePause // due for another check
	}
	return true
}

// ask sends health checks to the servers whose reports are old.
func (d *director) ask(ctx context.Context, now time.Time, servers []*server) {
	for _, s := range servers {
		if !s.isFresh(now) {
			d.check(ctx, now, s)
		}
	}
}

// check sends a health check unless one is in flight.
func (d *director) check(ctx context.Context, now time.Time, s *server) {
	if s.probing {
		return
	}
	s.probing, s.asked = true, now
	d.counters.checks.Inc(1)
	s.check(ctx, s.checkLimit(d.timing.Check), d.belief.Config.Services[s.entry.Service], func(r backend.Result) {
		_ = d.inbox.Send(ctx, checked{server: s, result: r}) // fails only when the context is done
	})
}

// takeCheck applies the result of a health check.
func (d *director) takeCheck(ctx context.Context, now time.Time, m checked) {
	was := m.server.silent
	m.server.checked(now, m.result)
	if m.server.examined > 0 {
		d.examine(ctx, now, m)
	}
	if m.server.silent != was {
		d.log.Info("reachability of a backend server changed", "backend", m.server.entry.ID, "service", m.server.entry.Service,
			"reachable", !m.server.silent, "error", m.result.Err)
	}
}

// examine determines whether a server whose connection broke has crashed. A pooled connection that was closed proves
// nothing, so the check is repeated on the next one.
func (d *director) examine(ctx context.Context, now time.Time, m checked) {
	d.crashes.checked(now, m.server.entry, m.result)
	m.server.examined--
	if m.result.Refused || m.result.Answer != nil || backend.IsTimeout(m.result.Err) {
		m.server.examined = 0
	}
	if m.server.examined > 0 {
		d.check(ctx, now, m.server)
	}
}

// decideDue decides the placements whose reports are complete or whose wait is over.
func (d *director) decideDue(ctx context.Context, now time.Time) {
	waiting := d.pending[:0]
	for _, p := range d.pending {
		if !d.decide(ctx, now, p) {
			waiting = append(waiting, p)
		}
	}
	clear(d.pending[len(waiting):])
	d.pending = waiting
	d.counters.placing.Update(int64(len(waiting)))
}

// decide answers a placement and returns true, or returns false while the placement has to wait. Servers of other regions
// are considered only if no server of the own region is expected to meet the latency target.
func (d *director) decide(ctx context.Context, now time.Time, p *pending) bool {
	demand := d.demand(now, &p.place)
	poll := p.poll(now)
	if remaining := poll.Remaining(p.limit, demand); remaining > 0 {
		p.decideBy = now.Add(remaining)
		return false
	}
	servers, candidates := d.candidates(now, p)
	choice := d.tuning.Choose(demand, candidates)
	if choice.Index >= 0 && (p.far || choice.Expected <= demand.Objective) {
		d.grant(now, p, servers[choice.Index], candidates[choice.Index], choice.Expected)
		return true
	}
	if !p.far {
		d.extend(now, p)
		d.ask(ctx, now, p.servers)
		return d.decide(ctx, now, p)
	}
	if poll.Outstanding > 0 && len(servers) == 0 && now.Sub(p.began) < d.timing.Most {
		p.decideBy = p.began.Add(d.timing.Most)
		return false
	}
	return d.refuse(now, p, demand, choice)
}

// demand returns what the request requires of a server.
func (d *director) demand(now time.Time, m *place) placement.Demand {
	return placement.Demand{
		Work: d.workOf(m.route), Left: m.until.Sub(now), Objective: m.objective.Sub(now),
		Yields: d.belief.Routes != nil && d.belief.Routes.Yields(m.route, m.service),
	}
}

// workOf returns the expected service time of a request of the route on an unloaded server.
func (d *director) workOf(r *fleet.Route) time.Duration {
	if work, ok := d.work[r.Name]; ok {
		return work
	}
	objective := r.Objective
	if objective == 0 {
		objective = assumedObjective
	}
	return time.Duration(firstWork * float64(objective))
}

// candidates returns the servers that have reported and may take the request now, with their states for the decision.
func (d *director) candidates(now time.Time, p *pending) ([]*server, []placement.Candidate) {
	var servers []*server
	var candidates []placement.Candidate
	for _, s := range p.servers {
		if s.silent || s.report.at.IsZero() || !d.isUsable(now, s, &p.place) || d.servers[s.entry.Incarnation()] != s {
			continue
		}
		if s.isFull(now) {
			continue
		}
		if s.isCold(now) && !s.cold.Room(now, d.coldShare(now, s)) {
			continue
		}
		servers = append(servers, s)
		candidates = append(candidates, s.candidate(now))
	}
	return servers, candidates
}

// coldShare returns the number of requests per second that this instance may send to a cold server.
func (d *director) coldShare(now time.Time, s *server) int {
	service := d.belief.Config.Services[s.entry.Service]
	names := []string{d.self.Name}
	for _, i := range d.belief.Instances {
		if i.Place.Region == s.entry.Place.Region && i.Name != d.self.Name {
			names = append(names, i.Name)
		}
	}
	if s.distance == placement.OtherRegion {
		names = names[1:]
	}
	bound := coldstart.Bound(service.ColdPerSecond, d.bounds.ColdOvershoot, d.bounds.ColdSlack)
	share := coldstart.Share(bound, s.entry.ID, d.self.Name, names)
	if now.Sub(d.started) < coldstart.SettleTime {
		return coldstart.FirstShare(bound, share)
	}
	return share
}

// grant assigns the chosen server to the copy and answers the placement.
func (d *director) grant(now time.Time, p *pending, s *server, c placement.Candidate, expected time.Duration) {
	s.inFlight++
	s.report.sent++
	s.cold.Count(now)
	p.reply(&grant{
		fingerprint: p.fingerprint,
		server:      s, entry: s.entry, pool: s.pool, sentAt: now, routeID: p.route.Name, expected: expected,
		hedgeAfter: d.tuning.HedgeAfter(d.demand(now, &p.place), expected, s.report.load),
		plain:      c.Slowdown <= usualSlowdown && !c.Cold && c.Running+1 <= c.Slots && c.Delay <= usualDelay, reportAge: now.Sub(s.report.at), delay: c.Delay, asked: len(p.servers),
	})
}

// usualSlowdown is the maximum reported slowdown of a server whose answer times count as service times of the route.
const usualSlowdown = 1.05

// usualDelay is the same for the delay of a health check; it is below the typical time of a check, one millisecond.
const usualDelay = 500 * time.Microsecond

// refuse answers that no server can take the request in time, with the reason. It always returns true.
func (d *director) refuse(now time.Time, p *pending, demand placement.Demand, choice placement.Choice) bool {
	reason := reasonUnreachable
	switch {
	case len(p.servers) == 0:
		reason = reasonNoServer
	case slices.ContainsFunc(p.servers, func(s *server) bool { return s.isFull(now) }):
		reason = reasonNoRoom
	case choice.Expected > demand.Left:
		reason = reasonLate
	case choice.Expected > 0:
		reason = reasonYields
	}
	p.reply(unplaced{reason: reason, retryAfter: d.retryAfter(now, &p.place, choice.Expected), asked: len(p.servers)})
	return true
}

func (d *director) retryAfter(now time.Time, m *place, shortest time.Duration) time.Duration {
	return placement.RetryAfter(d.demand(now, m), shortest, m.route.Priority, rand.Float64())
}
