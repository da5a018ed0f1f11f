package node

import (
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/retry"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// copyBudgets holds the budgets for copies of requests beyond the first, and the latencies that the hedge delay is
// taken from.
type copyBudgets struct {
	// lost pays for resends of requests that may have run, notRun for resends of those that did not run.
	lost, notRun, hedges *retry.Budget
	latencies            retry.LatencyHistogram
}

// acquireResult is the reply to an acquireRequest: a grant with the pool of its server, or an error.
type acquireResult struct {
	grant balance.Grant
	pool  *backend.Pool
	// hedgeAfter is the delay before a hedge may be sent; zero means that the request is not hedged.
	hedgeAfter time.Duration
	err        error
}

// copyKind says why a copy of a request needs a server.
type copyKind int

const (
	firstCopy copyKind = iota
	// resendNotRun follows a copy that did not run.
	resendNotRun
	// resendLost follows a copy whose answer was lost, so that it may have run.
	resendLost
	// hedgeCopy is sent while the first copy is still in flight.
	hedgeCopy
)

func newCopyBudgets(doc *document.Service) copyBudgets {
	e := copyBudgets{lost: retry.NewBudget(0), notRun: retry.NewBudget(0), hedges: retry.NewBudget(0)}
	e.update(doc)
	return e
}

// update sets the shares of the budgets. Requests that did not run may be resent even if the document allows no other
// resends, but only within a budget, because resends would otherwise multiply an overload.
func (e *copyBudgets) update(doc *document.Service) {
	e.lost.SetShare(doc.Retry.Budget)
	e.notRun.SetShare(max(doc.Retry.Budget, document.DefaultRetryBudget))
	e.hedges.SetShare(doc.Hedge.Budget)
}

func (s *Service) pace(now time.Time) admit.Pace {
	return admit.Pace{SlotInterval: s.fleet.SlotInterval(now), ServiceTime: s.fleet.TypicalLatency()}
}

// acquire replies with a grant, queues the request or refuses it. Every copy beyond the first spends a token of its
// budget. A hedge is never queued, because it is useful only at once.
func (s *Service) acquire(now time.Time, m acquireRequest) {
	s.lastTicket++
	m.ticket <- s.lastTicket
	if err := s.checkTimeToStop(now, m); err != nil {
		m.reply <- acquireResult{err: err}
		return
	}
	budget := s.budgets.budget(m.copy)
	if budget != nil && !budget.Spend() {
		m.reply <- acquireResult{err: fault.New(fault.Overloaded, "send the request again later",
			"service %q has used up its budget of resends", s.name).MarkNotRun(retryAfter)}
		return
	}
	if m.copy == firstCopy {
		s.budgets.earn()
	}
	if s.queue.Len() > 0 {
		m.requirements.ExpectedWait = s.queue.EstimatedWait(s.newWaiter(now, m), s.pace(now))
	}
	if s.tryGrant(now, m) {
		return
	}
	if m.copy == hedgeCopy {
		budget.Refund()
		m.reply <- acquireResult{err: fault.New(fault.Overloaded, "wait for the first copy", "no other backend server has room").MarkNotRun(0)}
		return
	}
	s.enqueue(now, m)
}

// enqueue queues a request or refuses it.
func (s *Service) enqueue(now time.Time, m acquireRequest) {
	if !s.fleet.CanServe(now, m.requirements) {
		m.requirements.Avoid = nil // retrying on a server that failed this request is better than refusing it
	}
	if !s.fleet.CanServe(now, m.requirements) {
		m.reply <- acquireResult{err: fault.New(fault.NoServer, "check the backend servers with: fuchsiahub status",
			"no backend server of service %q may take the request now", s.name).MarkNotRun(retryAfter)}
		return
	}
	evicted, err := s.queue.Add(now, s.newWaiter(now, m), s.pace(now))
	for _, w := range evicted {
		w.Payload.reply <- acquireResult{err: fault.New(fault.Overloaded, "send the request again later",
			"requests of higher priority or of other tenants took the place").MarkNotRun(s.queue.EstimatedWait(w, s.pace(now)))}
	}
	if err != nil {
		m.reply <- acquireResult{err: err}
	}
}

func (s *Service) newWaiter(now time.Time, m acquireRequest) admit.Waiter[acquireRequest] {
	w := admit.Waiter[acquireRequest]{Ticket: s.lastTicket, Tenant: m.tenant, Deadline: m.deadline, EnqueuedAt: now, Payload: m}
	w.Priority = m.policy.Route.Priority
	if len(m.requirements.Avoid) == 0 {
		w.Class = m.policy.Route.Name + "\x00" + strings.Join(m.requirements.Regions, " ")
	}
	return w
}

// budget returns the budget that pays for a copy; it is nil for the first copy.
func (e *copyBudgets) budget(kind copyKind) *retry.Budget {
	return [...]*retry.Budget{firstCopy: nil, resendNotRun: e.notRun, resendLost: e.lost, hedgeCopy: e.hedges}[kind]
}

func (e *copyBudgets) earn() {
	e.lost.AddRequest()
	e.notRun.AddRequest()
	e.hedges.AddRequest()
}

// tryGrant replies to an acquireRequest if a server has free capacity.
func (s *Service) tryGrant(now time.Time, m acquireRequest) bool {
	g, ok := s.fleet.Pick(now, s.rnd, m.requirements)
	if !ok {
		return false
	}
	m.reply <- acquireResult{grant: g, pool: s.pools[g.Server].Pool, hedgeAfter: s.hedgeAfter(m)}
	return true
}

// hedgeAfter returns the delay before a hedge of the request may be sent; zero means no hedge.
func (s *Service) hedgeAfter(m acquireRequest) time.Duration {
	doc := s.config.Service.Hedge
	if m.copy != firstCopy || !m.policy.Route.Hedge || doc.Budget == 0 {
		return 0
	}
	wait, _ := s.budgets.latencies.Percentile(doc.Percentile)
	return wait
}

// withdraw refuses a waiting request whose caller has gone or whose deadline has passed. A request that no longer
// waits has already had its reply.
func (s *Service) withdraw(m withdrawRequest) {
	if w, ok := s.queue.Remove(m.ticket); ok {
		s.refuseExpired(w)
	}
}

func (s *Service) refuseExpired(w admit.Waiter[acquireRequest]) {
	w.Payload.reply <- acquireResult{err: fault.New(fault.DeadlineExceeded, "allow more time or send the request again later",
		"no backend server had room before the deadline").MarkNotRun(s.queue.EstimatedWait(w, s.pace(time.Now())))}
}

// serveWaiting grants waiting requests in queue order while servers have free capacity, and refuses those that cannot
// meet their deadline.
func (s *Service) serveWaiting() {
	if s.queue.Len() == 0 {
		return
	}
	now := time.Now()
	for _, w := range s.queue.Expire(now, s.pace(now)) {
		s.refuseExpired(w)
	}
	for {
		if _, ok := s.queue.Next(func(w admit.Waiter[acquireRequest]) bool { return s.grantWaiting(now, w) }); !ok {
			return
		}
	}
}

// grantWaiting adds the time that the request has already waited to its expected wait. The longer it has waited, the
// slower the server that it accepts.
func (s *Service) grantWaiting(now time.Time, w admit.Waiter[acquireRequest]) bool {
	m := w.Payload
	m.requirements.ExpectedWait = now.Sub(w.EnqueuedAt) + s.fleet.SlotInterval(now)
	return s.tryGrant(now, m)
}
