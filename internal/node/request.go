package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// exchange is one request of a caller on its way. It is the context of charts/request.toml and is owned by the
// caller's goroutine. Entry actions do the work of a state and leave the next event in next.
type exchange struct {
	ctx     context.Context
	service *Service
	req     *call.Request
	policy  route.Policy

	next    string
	taken   acquired
	avoid   []string
	resends int
	copy    copyKind
	// lost is true when an earlier copy may have run. A refusal after it must not say that nothing ran.
	lost   bool
	answer *call.Answer
	err    error
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
			"resend_allowed":            (*exchange).resendAllowed,
			"may_have_run":              func(e *exchange) bool { return e.lost },
			"idempotent_resend_allowed": func(e *exchange) bool { return e.policy.Route.Idempotent && e.resendAllowed() },
		},
		Actions: map[string]func(*exchange){
			"take_server":  (*exchange).takeServer,
			"send":         (*exchange).send,
			"spend_resend": (*exchange).spendResend,
			"tell_unknown": (*exchange).tellUnknown,
		},
	})
}

// drive runs a request to its end and returns the answer or a typed error.
func drive(bound *requestChart, e *exchange) (*call.Answer, error) {
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

// spendResend is the action of a resend. What pays for it depends on whether the last copy may have run.
func (e *exchange) spendResend() {
	e.resends++
	e.copy = resendUnsent
	if e.next == "lost" {
		e.copy = resendLost
		e.lost = true
	}
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
	e.avoid = append(e.avoid, e.taken.grant.Server)
	result := e.run(&req)
	e.answer, e.err = result.Answer, result.Err
	e.next = eventOf(result)
	if e.next == "not_run" {
		e.err = notRun(result)
	}
}

// run sends one copy, or two when the first is late and the route allows it.
func (e *exchange) run(req *call.Request) backend.Result {
	if e.taken.hedgeAfter > 0 {
		return e.runHedged(req)
	}
	result := e.taken.pool.Do(e.ctx, req)
	e.service.giveBack(e.taken.grant, outcome(e.ctx, result))
	return result
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

// tellUnknown is the entry action of "unknown".
func (e *exchange) tellUnknown() {
	e.answer = nil
	e.err = fault.Wrap(e.err, fault.OutcomeUnknown, "find out whether the request took effect before you send it again",
		"the request was sent and its answer was lost; it may have run")
}
