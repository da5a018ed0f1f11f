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
	// nearAsked and farAsked bound the servers that are asked for one placement.
	nearAsked = 6
	farAsked  = 3
	// firstWork is the part of a route's objective that its requests are assumed to take before one was measured.
	firstWork = 0.35
	// assumedObjective stands in for an objective that the operator does not name.
	assumedObjective = time.Second
)

// pending is a placement that waits for reports.
type pending struct {
	place
	began time.Time
	// asked is when servers were asked last, limit how long their reports may take.
	asked    time.Time
	limit    time.Duration
	decideBy time.Time
	far      bool
	servers  []*server
}

// poll returns the state of the health checks.
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

// begin takes a placement and asks servers whose reports are old.
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

// takeResend takes one resend from the budget of a service and reports false when it is used up.
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

// extend adds servers of other regions to a placement.
func (d *director) extend(now time.Time, p *pending) {
	p.far = true
	p.asked, p.limit = now, d.timing.Far
	most := farAsked
	if len(p.servers) == 0 {
		most = nearAsked // all that there is to choose from
	}
	p.servers = append(p.servers, d.usable(now, &p.place, true, most)...)
}

// usable returns servers that a request may be sent to, near ones or far ones, those that answer and those of the own zone
// first.
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
			return order(a.silent) // servers that do not answer are asked again only when there is room for them
		}
		return int(a.distance) - int(b.distance)
	})
	return list[:min(len(list), most)]
}

// order returns 1 for what comes later.
func order(later bool) int {
	if later {
		return 1
	}
	return -1
}

func (d *director) isUsable(now time.Time, s *server, m *place) bool {
	switch {
	case s.entry.Draining, s.misplaced, d.belief.Evacuated[s.entry.Place.Zone], !m.route.AllowsRegion(s.entry.Place.Region),
		slices.Contains(m.tried, s.entry.ID):
		return false
	case s.silent:
		return now.Sub(s.asked) >= silencePause // worth another check
	}
	return true
}

// ask sends health checks to servers whose reports are old.
func (d *director) ask(ctx context.Context, now time.Time, servers []*server) {
	for _, s := range servers {
		if !s.isFresh(now) {
			d.check(ctx, now, s)
		}
	}
}

// check sends a health check unless one is on its way.
func (d *director) check(ctx context.Context, now time.Time, s *server) {
	if s.probing {
		return
	}
	s.probing, s.asked = true, now
	d.counters.checks.Inc(1)
	s.check(ctx, s.checkLimit(d.timing.Check), d.belief.Config.Services[s.entry.Service], func(r backend.Result) {
		_ = d.inbox.Send(ctx, checked{server: s, result: r}) // only the end of the context stops it
	})
}

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

// examine finds out whether a server whose connection broke has crashed. A kept connection that was closed shows nothing,
// so the next one is tried.
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

// decideDue decides placements whose reports are complete or whose wait is over.
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

// decide answers a placement and reports true, or reports false when it still waits.
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

func (d *director) demand(now time.Time, m *place) placement.Demand {
	return placement.Demand{
		Work: d.workOf(m.route), Left: m.until.Sub(now), Objective: m.objective.Sub(now),
		Yields: d.belief.Routes != nil && d.belief.Routes.Yields(m.route, m.service),
	}
}

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

// candidates returns the servers that answered and may take the request now.
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

// coldShare returns the requests a second that this instance may send to a cold server.
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

// usualSlowdown is the most slowdown at which the time of a copy is taken as its work.
const usualSlowdown = 1.05

// usualDelay is the same for the delay of a health check: less than its usual time of a millisecond.
const usualDelay = 500 * time.Microsecond

// refuse answers that no server can take the request in time. It reports true.
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
