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

// extras are the budgets for copies of requests beyond the first.
type extras struct {
	// lost pays for resends of requests that may have run, unsent for those that surely did not.
	lost, unsent, hedges *retry.Budget
	waits                retry.Waits
}

// acquired is the answer to acquire: a grant with the pool of its server, or a refusal.
type acquired struct {
	grant balance.Grant
	pool  *backend.Pool
	// hedgeAfter is the wait before a second copy may be sent; zero means that none may.
	hedgeAfter time.Duration
	err        error
}

// copyKind says which copy of a request asks for a server.
type copyKind int

const (
	firstCopy copyKind = iota
	// resendUnsent follows a copy that surely did not run.
	resendUnsent
	// resendLost follows a copy that may have run.
	resendLost
	// hedgeCopy is a second copy of a request that still runs.
	hedgeCopy
)

func newExtras(doc *document.Service) extras {
	e := extras{lost: retry.NewBudget(0), unsent: retry.NewBudget(0), hedges: retry.NewBudget(0)}
	e.update(doc)
	return e
}

// update sets the shares. Resends of requests that did not run are possible even when the document forbids others,
// but they stay within a share, so that they cannot multiply an overload.
func (e *extras) update(doc *document.Service) {
	e.lost.SetShare(doc.Retry.Budget)
	e.unsent.SetShare(max(doc.Retry.Budget, document.DefaultRetryBudget))
	e.hedges.SetShare(doc.Hedge.Budget)
}

func (s *Service) pace(now time.Time) admit.Pace {
	return admit.Pace{Slot: s.fleet.Pace(now), Service: s.fleet.Typical()}
}

// acquire answers with a grant, queues the request or refuses it. A copy beyond the first needs a token of its
// budget. A hedge never waits: it is of use only at once.
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
		m.want.Avoid = nil // a server that failed this request before is better than none
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

// budget returns what pays for a copy, and nil for the first.
func (e *extras) budget(kind copyKind) *retry.Budget {
	return [...]*retry.Budget{firstCopy: nil, resendUnsent: e.unsent, resendLost: e.lost, hedgeCopy: e.hedges}[kind]
}

func (e *extras) earn() {
	e.lost.Earn()
	e.unsent.Earn()
	e.hedges.Earn()
}

// grant answers an acquire when a server has room.
func (s *Service) grant(now time.Time, m acquire) bool {
	g, ok := s.fleet.Pick(now, s.rnd, m.want)
	if !ok {
		return false
	}
	m.reply <- acquired{grant: g, pool: s.pools[g.Server].Pool, hedgeAfter: s.hedgeAfter(m)}
	return true
}

// hedgeAfter returns the wait before a second copy of the request may be sent, or zero.
func (s *Service) hedgeAfter(m acquire) time.Duration {
	doc := s.view.Service.Hedge
	if m.copy != firstCopy || !m.policy.Route.Hedge || doc.Budget == 0 {
		return 0
	}
	wait, _ := s.extra.waits.Percentile(doc.Percentile)
	return wait
}

// withdraw refuses a request whose caller has gone or whose time is over, if it still waits. Otherwise its answer is
// on the way already.
func (s *Service) withdraw(m withdraw) {
	if w, ok := s.queue.Remove(m.ticket); ok {
		s.refuseLate(w)
	}
}

func (s *Service) refuseLate(w admit.Waiter[acquire]) {
	w.Payload.reply <- acquired{err: fault.New(fault.DeadlineExceeded, "allow more time or send the request again later",
		"no backend server had room before the deadline").Refused(s.queue.Wait(w, s.pace(time.Now())))}
}

// serveWaiting grants waiting requests in order while servers have room, and refuses those that are too late.
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

// grantWaiting counts the time that the request has waited as what a better server may cost.
func (s *Service) grantWaiting(now time.Time, w admit.Waiter[acquire]) bool {
	m := w.Payload
	m.want.Wait = now.Sub(w.Since) + s.fleet.Pace(now)
	return s.grant(now, m)
}
