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

// extras holds the budgets for copies of requests beyond the first, and the latencies that the hedge delay is taken
// from.
type extras struct {
	// lost pays for resends of requests that may have run, unsent for resends of those that did not run.
	lost, unsent, hedges *retry.Budget
	waits                retry.Waits
}

// acquired is the reply to an acquire: a grant with the pool of its server, or an error.
type acquired struct {
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
	// resendUnsent follows a copy that did not run.
	resendUnsent
	// resendLost follows a copy that may have run.
	resendLost
	// hedgeCopy is sent while the first copy is still in flight.
	hedgeCopy
)

func newExtras(doc *document.Service) extras {
	e := extras{lost: retry.NewBudget(0), unsent: retry.NewBudget(0), hedges: retry.NewBudget(0)}
	e.update(doc)
	return e
}

// update sets the shares of the budgets. Requests that did not run may be resent even if the document allows no other
// resends, but only within a budget, because resends would otherwise multiply an overload.
func (e *extras) update(doc *document.Service) {
	e.lost.SetShare(doc.Retry.Budget)
	e.unsent.SetShare(max(doc.Retry.Budget, document.DefaultRetryBudget))
	e.hedges.SetShare(doc.Hedge.Budget)
}

func (s *Service) pace(now time.Time) admit.Pace {
	return admit.Pace{Slot: s.fleet.Pace(now), Service: s.fleet.Typical()}
}

// acquire replies with a grant, queues the request or refuses it. Every copy beyond the first spends a token of its
// budget. A hedge is never queued, because it is useful only at once.
func (s *Service) acquire(now time.Time, m acquire) {
	s.ticket++
	m.ticket <- s.ticket
	budget := s.extra.budget(m.copy)
	if budget != nil && !budget.Spend() {
		m.reply <- acquired{err: fault.New(fault.Overloaded, "send the request again later",
			"service %q has used up its budget of resends", s.name).Refused(retryAfter)}
		return
	}
	if m.copy == firstCopy {
		s.extra.earn()
	}
	if s.queue.Len() > 0 {
		m.want.Wait = s.queue.Wait(s.waiter(now, m), s.pace(now))
	}
	if s.grant(now, m) {
		return
	}
	if m.copy == hedgeCopy {
		budget.Refund()
		m.reply <- acquired{err: fault.New(fault.Overloaded, "wait for the first copy", "no other backend server has room").Refused(0)}
		return
	}
	s.wait(now, m)
}

// wait queues a request or refuses it.
func (s *Service) wait(now time.Time, m acquire) {
	if !s.fleet.Possible(now, m.want) {
		m.want.Avoid = nil // retrying on a server that failed this request is better than refusing it
	}
	if !s.fleet.Possible(now, m.want) {
		m.reply <- acquired{err: fault.New(fault.NoServer, "check the backend servers with: fuchsiahub status",
			"no backend server of service %q may take the request now", s.name).Refused(retryAfter)}
		return
	}
	evicted, err := s.queue.Add(now, s.waiter(now, m), s.pace(now))
	for _, w := range evicted {
		w.Payload.reply <- acquired{err: fault.New(fault.Overloaded, "send the request again later",
			"requests of higher priority or of other tenants took the place").Refused(s.queue.Wait(w, s.pace(now)))}
	}
	if err != nil {
		m.reply <- acquired{err: err}
	}
}

func (s *Service) waiter(now time.Time, m acquire) admit.Waiter[acquire] {
	w := admit.Waiter[acquire]{Ticket: s.ticket, Tenant: m.tenant, Deadline: m.deadline, Since: now, Payload: m}
	w.Priority = m.policy.Route.Priority
	if len(m.want.Avoid) == 0 {
		w.Class = m.policy.Route.Name + "\x00" + strings.Join(m.want.Regions, " ")
	}
	return w
}

// budget returns the budget that pays for a copy; it is nil for the first copy.
func (e *extras) budget(kind copyKind) *retry.Budget {
	return [...]*retry.Budget{firstCopy: nil, resendUnsent: e.unsent, resendLost: e.lost, hedgeCopy: e.hedges}[kind]
}

func (e *extras) earn() {
	e.lost.Earn()
	e.unsent.Earn()
	e.hedges.Earn()
}

// grant replies to an acquire if a server has free capacity.
func (s *Service) grant(now time.Time, m acquire) bool {
	g, ok := s.fleet.Pick(now, s.rnd, m.want)
	if !ok {
		return false
	}
	m.reply <- acquired{grant: g, pool: s.pools[g.Server].Pool, hedgeAfter: s.hedgeAfter(m)}
	return true
}

// hedgeAfter returns the delay before a hedge of the request may be sent; zero means no hedge.
func (s *Service) hedgeAfter(m acquire) time.Duration {
	doc := s.view.Service.Hedge
	if m.copy != firstCopy || !m.policy.Route.Hedge || doc.Budget == 0 {
		return 0
	}
	wait, _ := s.extra.waits.Percentile(doc.Percentile)
	return wait
}

// withdraw refuses a waiting request whose caller has gone or whose deadline has passed. A request that no longer
// waits has already had its reply.
func (s *Service) withdraw(m withdraw) {
	if w, ok := s.queue.Remove(m.ticket); ok {
		s.refuseLate(w)
	}
}

func (s *Service) refuseLate(w admit.Waiter[acquire]) {
	w.Payload.reply <- acquired{err: fault.New(fault.DeadlineExceeded, "allow more time or send the request again later",
		"no backend server had room before the deadline").Refused(s.queue.Wait(w, s.pace(time.Now())))}
}

// serveWaiting grants waiting requests in queue order while servers have free capacity, and refuses those that cannot
// meet their deadline.
func (s *Service) serveWaiting() {
	if s.queue.Len() == 0 {
		return
	}
	now := time.Now()
	for _, w := range s.queue.Expire(now, s.pace(now)) {
		s.refuseLate(w)
	}
	for {
		if _, ok := s.queue.Next(func(w admit.Waiter[acquire]) bool { return s.grantWaiting(now, w) }); !ok {
			return
		}
	}
}

// grantWaiting uses the time that the request has already waited as the extra latency that a better server may cost.
func (s *Service) grantWaiting(now time.Time, w admit.Waiter[acquire]) bool {
	m := w.Payload
	m.want.Wait = now.Sub(w.Since) + s.fleet.Pace(now)
	return s.grant(now, m)
}
