package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// exchange is one request of a caller on its way. It is the context of charts/request.toml and is owned by the
// caller's goroutine. Entry actions do the work of a state and leave the next event in next.
type exchange struct {
	ctx        context.Context
	service    *Service
	claims     *Claims
	quarantine *Quarantine
	req        *call.Request
	policy     route.Policy

	next    string
	taken   acquired
	avoid   []string
	resends int
	copy    copyKind
	// lost is true when an earlier copy may have run. A refusal after it must not say that nothing ran.
	lost   bool
	answer *call.Answer
	err    error

	// claim is set while this request holds, or may hold, a once-only claim.
	claim *claim
	// print is the fingerprint once it was needed.
	print      *quarantine.Fingerprint
	endOfTrial func()
	// losses holds the copies of the last send whose connection broke.
	losses []sentCopy
}

// requestChart is the bound chart of requests, shared by all instances of a process.
type requestChart = chart.Bound[*exchange]

func loadRequestChart() (*requestChart, error) {
	ch, err := charts.Load("request", nil)
	if err != nil {
		return nil, err
	}
	return chart.Bind(ch, chart.Bindings[*exchange]{
		Guards: map[string]func(*exchange) bool{
			"once_only":                 func(e *exchange) bool { return e.policy.Once },
			"resend_allowed":            (*exchange).resendAllowed,
			"idempotent_resend_allowed": (*exchange).idempotentResendAllowed,
			"may_have_run":              func(e *exchange) bool { return e.lost },
			"connection_broken":         func(e *exchange) bool { return e.ctx.Err() == nil },
			"quarantined":               func(e *exchange) bool { return e.treatment() == quarantine.Refuse },
			"quarantined_after_loss":    func(e *exchange) bool { return e.lost && e.treatment() == quarantine.Refuse },
			"quarantined_without_loss":  func(e *exchange) bool { return !e.lost && e.treatment() == quarantine.Refuse },
			"requires_isolation":        func(e *exchange) bool { return e.treatment() == quarantine.Alone },
		},
		Actions: map[string]func(*exchange){
			"record_claim":       (*exchange).recordClaim,
			"acquire_server":     (*exchange).takeServer,
			"release_grant":      (*exchange).giveBack,
			"request_trial":      (*exchange).takeTrial,
			"end_trial":          (*exchange).endTrial,
			"send":               (*exchange).send,
			"report_loss":        (*exchange).reportLoss,
			"spend_resend":       (*exchange).spendResend,
			"mark_may_have_run":  (*exchange).rememberLoss,
			"refuse_quarantined": (*exchange).refuseQuarantined,
			"refuse_no_trial":    (*exchange).refuseCrowded,
			"settle_answered":    func(e *exchange) { e.settle(once.Answered) },
			"settle_refused":     func(e *exchange) { e.settle(once.Released) },
			"settle_unknown":     func(e *exchange) { e.settle(once.Unknown) },
			"report_unknown":     (*exchange).tellUnknown,
		},
	})
}

// drive runs a request to its end and returns the answer or a typed error.
func drive(bound *requestChart, e *exchange) (*call.Answer, error) {
	e.next = "start"
	m := bound.New(time.Now(), e)
	for !m.Final() {
		if err := m.Fire(time.Now(), e.next); err != nil {
			return nil, err
		}
	}
	return e.answer, e.err
}

func (e *exchange) resendAllowed() bool {
	return e.resends < e.policy.Resends && e.ctx.Err() == nil
}

// idempotentResendAllowed names once-only requests although a document cannot make them idempotent: a second run is the
// one thing that must not happen to them.
func (e *exchange) idempotentResendAllowed() bool {
	return e.policy.Route.Idempotent && !e.policy.Once && e.resendAllowed()
}

// recordClaim is the entry action of "claiming".
func (e *exchange) recordClaim() {
	c := e.claims.record(e.ctx, e.req, e.policy)
	e.next, e.claim, e.answer, e.err = c.event, c.claim, c.answer, c.err
}

// settle tells the owner of the claim how the request ended, if there is a claim.
func (e *exchange) settle(how once.Settlement) {
	if e.claim != nil {
		e.claims.settle(e.claim, how, e.answer)
	}
}

// spendResend is the action of a resend. Nothing is known to have run when the last copy was not sent.
func (e *exchange) spendResend() {
	e.resends++
	e.copy = resendUnsent
}

// rememberLoss follows spendResend when the last copy may have run.
func (e *exchange) rememberLoss() {
	e.copy = resendLost
	e.lost = true
}

// takeServer is the entry action of "waiting".
func (e *exchange) takeServer() {
	e.taken = e.service.take(e.ctx, e.acquire(e.copy))
	if e.taken.err != nil {
		e.err = e.taken.err
		e.next = "refused"
		return
	}
	e.next = "granted"
}

// giveBack returns a server that the request was not sent to.
func (e *exchange) giveBack() {
	e.service.giveBack(e.taken.grant, balance.Result{Fate: call.NotSent})
	e.avoid = append(e.avoid, e.taken.grant.Server)
}

func (e *exchange) acquire(kind copyKind) acquire {
	return acquire{
		copy: kind, policy: e.policy, tenant: e.req.Tenant, deadline: e.policy.Deadline,
		want: balance.Want{Regions: e.policy.Regions, CrossRegion: e.policy.Route.CrossRegion, Avoid: e.avoid},
	}
}

// send is the entry action of "sent".
func (e *exchange) send() {
	req := *e.req
	req.Deadline = e.policy.Deadline
	req.RetriesLeft = max(0, e.policy.Resends-e.resends)
	e.losses = nil
	e.avoid = append(e.avoid, e.taken.grant.Server)
	e.received(e.run(&req))
}

// run sends one copy, or two when the first is late and the route allows it. A request that must run alone is not
// hedged.
func (e *exchange) run(req *call.Request) backend.Result {
	if e.taken.hedgeAfter > 0 && e.endOfTrial == nil {
		return e.runHedged(req)
	}
	c := e.newCopy(e.taken)
	result := c.exchange(e.ctx, req)
	e.ended(c, result)
	return result
}

// received takes the result that decides the request.
func (e *exchange) received(result backend.Result) {
	e.answer, e.err = result.Answer, result.Err
	e.next = eventOf(result)
	switch e.next {
	case "not_run":
		e.answer, e.err = nil, notRun(result)
	case "answered":
		e.clearMark()
	}
}

// eventOf names the event of charts/request.toml for the fate of an exchange.
func eventOf(result backend.Result) string {
	switch {
	case result.Fate == call.Answered:
		return "answered"
	case result.Fate.SurelyNotRun():
		return "not_run"
	}
	return "lost"
}

func notRun(result backend.Result) error {
	if result.Fate == call.DeclaredNotRun {
		return fault.New(fault.Overloaded, "send the request again later", "the backend server declared that it did not run the request").Refused(retryAfter)
	}
	return fault.Wrap(result.Err, fault.NoServer, "send the request again later", "the request could not be sent to a backend server").Refused(retryAfter)
}

// outcome tells the service task how a granted request ended.
func outcome(ctx context.Context, result backend.Result) balance.Result {
	r := balance.Result{
		Fate: result.Fate, Latency: result.Elapsed, Refused: result.Refused, Draining: result.Draining,
		Incarnation: result.Incarnation, Shed: result.Fate == call.DeclaredNotRun, Failed: result.Err != nil,
		Running: result.Running, Slots: result.Slots, Cancelled: result.Err != nil && ctx.Err() != nil,
	}
	if result.Answer != nil && result.Answer.Status >= 500 && !r.Shed {
		r.Failed = true
	}
	return r
}

// tellUnknown is an entry action of "unknown".
func (e *exchange) tellUnknown() {
	e.answer = nil
	e.err = fault.Wrap(e.err, fault.OutcomeUnknown, "find out whether the request took effect before you send it again",
		"the request was sent and its answer was lost; it may have run")
}
