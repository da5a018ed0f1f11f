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
	"fuchsiahub.example/fuchsiahub/internal/metric"
)

// exchange is the state of one request of a caller. It is the context of charts/request.toml and is owned by the
// caller's goroutine. The entry action of a state does the state's work and stores the event to fire next.
type exchange struct {
	// stopLimit returns when a planned stop cuts the request off, and zero if none has begun.
	stopLimit  func() time.Time
	ctx        context.Context
	service    *Service
	claims     *Claims
	quarantine *Quarantine
	metrics    *metric.Service
	req        *call.Request
	policy     route.Policy

	nextEvent  string
	assignment acquireResult
	// avoid holds the servers that were already granted to this request.
	avoid    []string
	resends  int
	nextCopy copyKind
	// mayHaveRun is true if an earlier copy may have run. A later refusal must then not say that nothing ran.
	mayHaveRun bool
	answer     *call.Answer
	err        error

	// claim is set while this request holds, or may hold, a once-only claim.
	claim *claim
	// cachedFingerprint is set at the first use of the fingerprint.
	cachedFingerprint *quarantine.Fingerprint
	// releaseTrial ends the trial of a request that must run alone. It is nil if there is none.
	releaseTrial func()
	// brokenCopies holds the copies of the last send whose connection broke.
	brokenCopies []sentCopy
}

// requestChart is the bound request chart, shared by all requests of a Server.
type requestChart = chart.Bound[*exchange]

func loadRequestChart() (*requestChart, error) {
	ch, err := charts.Load("request", nil)
	if err != nil {
		return nil, err
	}
	return chart.Bind(ch, chart.Bindings[*exchange]{
		Guards: map[string]func(*exchange) bool{
			"once_only":                 func(e *exchange) bool { return e.policy.NeedsClaim },
			"resend_allowed":            (*exchange).resendAllowed,
			"idempotent_resend_allowed": (*exchange).idempotentResendAllowed,
			"may_have_run":              func(e *exchange) bool { return e.mayHaveRun },
			"connection_broken":         func(e *exchange) bool { return e.ctx.Err() == nil },
			"quarantined":               func(e *exchange) bool { return e.treatment() == quarantine.Refuse },
			"quarantined_after_loss":    func(e *exchange) bool { return e.mayHaveRun && e.treatment() == quarantine.Refuse },
			"quarantined_without_loss":  func(e *exchange) bool { return !e.mayHaveRun && e.treatment() == quarantine.Refuse },
			"requires_isolation":        (*exchange).requiresIsolation,
		},
		Actions: map[string]func(*exchange){
			"record_claim":              (*exchange).recordClaim,
			"acquire_server":            (*exchange).acquireServer,
			"release_grant":             (*exchange).releaseGrant,
			"request_trial":             (*exchange).requestTrial,
			"end_trial":                 (*exchange).endTrial,
			"send":                      (*exchange).send,
			"report_broken_connections": (*exchange).reportBrokenConnections,
			"count_resend":              (*exchange).countResend,
			"mark_may_have_run":         (*exchange).markMayHaveRun,
			"refuse_quarantined":        (*exchange).refuseQuarantined,
			"refuse_no_trial":           (*exchange).refuseNoTrial,
			"settle_answered":           func(e *exchange) { e.settle(once.Answered) },
			"settle_refused":            func(e *exchange) { e.settle(once.Released) },
			"settle_unknown":            func(e *exchange) { e.settle(once.Unknown) },
			"report_unknown":            (*exchange).reportUnknown,
		},
	})
}

// runToCompletion runs a request until its chart is in a final state and returns the answer or a typed error.
func runToCompletion(bound *requestChart, e *exchange) (*call.Answer, error) {
	e.nextEvent = "start"
	machine := bound.New(time.Now(), e)
	for !machine.Final() {
		if err := machine.Fire(time.Now(), e.nextEvent); err != nil {
			return nil, err
		}
	}
	return e.answer, e.err
}

func (e *exchange) resendAllowed() bool {
	return e.resends < e.policy.Resends && e.ctx.Err() == nil
}

// idempotentResendAllowed excludes once-only requests explicitly, although a document cannot declare them idempotent:
// they must never run twice.
func (e *exchange) idempotentResendAllowed() bool {
	return e.policy.Route.Idempotent && !e.policy.NeedsClaim && e.resendAllowed()
}

// recordClaim is the entry action of "claiming".
func (e *exchange) recordClaim() {
	c := e.claims.requestClaim(e.ctx, e.req, e.policy)
	e.nextEvent, e.claim, e.answer, e.err = c.event, c.claim, c.answer, c.err
}

// settle sends the outcome of the request to the owner of its claim, if there is a claim.
func (e *exchange) settle(kind once.Settlement) {
	if e.claim != nil {
		e.claims.settle(e.claim, kind, e.answer)
	}
}

// countResend counts a resend and sets the kind of the next copy: the last one did not run.
func (e *exchange) countResend() {
	e.resends++
	e.nextCopy = resendNotRun
}

// markMayHaveRun follows countResend if the last copy may have run, and corrects the kind of the next copy.
func (e *exchange) markMayHaveRun() {
	e.nextCopy = resendLost
	e.mayHaveRun = true
}

// acquireServer is the entry action of "waiting".
func (e *exchange) acquireServer() {
	e.assignment = e.service.acquireServer(e.ctx, e.newAcquireRequest(e.nextCopy))
	if e.assignment.err != nil {
		e.err = e.assignment.err
		e.nextEvent = "refused"
		return
	}
	e.nextEvent = "granted"
}

// releaseGrant releases the grant of a server that the request was not sent to.
func (e *exchange) releaseGrant() {
	e.service.releaseGrant(e.assignment.grant, balance.Result{Fate: call.NotSent})
	e.avoid = append(e.avoid, e.assignment.grant.Server)
}

func (e *exchange) newAcquireRequest(kind copyKind) acquireRequest {
	return acquireRequest{
		stopLimit: e.stopLimit(), copy: kind, policy: e.policy, tenant: e.req.Tenant, deadline: e.policy.Deadline,
		requirements: balance.Requirements{Regions: e.policy.Regions, CrossRegion: e.policy.Route.CrossRegion, Avoid: e.avoid},
	}
}

// send is the entry action of "sent".
func (e *exchange) send() {
	req := *e.req
	req.Deadline = e.policy.Deadline
	req.RetriesLeft = max(0, e.policy.Resends-e.resends)
	e.brokenCopies = nil
	e.avoid = append(e.avoid, e.assignment.grant.Server)
	e.handleResult(e.sendCopies(&req))
}

// sendCopies sends one copy of the request, and a hedge if the first copy is late and the route allows hedges. A request
// that must run alone is not hedged.
func (e *exchange) sendCopies(req *call.Request) backend.Result {
	if e.assignment.hedgeAfter > 0 && e.releaseTrial == nil {
		return e.runHedged(req)
	}
	c := e.newCopy(e.assignment)
	result := c.send(e.ctx, req)
	e.recordBrokenCopy(c, result)
	return result
}

// handleResult stores the result that decides the request and the event that follows from it.
func (e *exchange) handleResult(result backend.Result) {
	e.answer, e.err = result.Answer, result.Err
	e.nextEvent = eventOf(result)
	switch e.nextEvent {
	case "not_run":
		e.answer, e.err = nil, notRunError(result)
	case "answered":
		e.clearMark()
	}
}

// eventOf returns the event of charts/request.toml for the fate of a copy.
func eventOf(result backend.Result) string {
	switch {
	case result.Fate == call.Answered:
		return "answered"
	case result.Fate.SurelyNotRun():
		return "not_run"
	}
	return "lost"
}

func notRunError(result backend.Result) error {
	if result.Fate == call.DeclaredNotRun {
		return fault.New(fault.Overloaded, "send the request again later", "the backend server declared that it did not run the request").MarkNotRun(retryAfter)
	}
	return fault.Wrap(result.Err, fault.NoServer, "send the request again later", "the request could not be sent to a backend server").MarkNotRun(retryAfter)
}

// balanceResult converts the result of a copy to what the service task needs to know about a granted request.
func balanceResult(ctx context.Context, result backend.Result) balance.Result {
	r := balance.Result{
		Fate: result.Fate, Latency: result.Elapsed, ConnectionRefused: result.ConnectionRefused, Draining: result.Draining,
		Incarnation: result.Incarnation, Shed: result.Fate == call.DeclaredNotRun, Failed: result.Err != nil,
		Running: result.Running, Slots: result.Slots, Cancelled: result.Err != nil && ctx.Err() != nil,
	}
	if result.Answer != nil && result.Answer.Status >= 500 && !r.Shed {
		r.Failed = true
	}
	return r
}

// reportUnknown is an entry action of "unknown".
func (e *exchange) reportUnknown() {
	e.answer = nil
	e.err = fault.Wrap(e.err, fault.OutcomeUnknown, "find out whether the request took effect before you send it again",
		"the request was sent and its answer was lost; it may have run")
}
