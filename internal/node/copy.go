package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
)

// sentCopy is one copy of a request at one server.
type sentCopy struct {
	service    *Service
	quarantine *Quarantine
	taken      acquired
	server     quarantine.Server
	// incarnation is what the server reported before the copy was sent.
	incarnation string
}

func (e *exchange) newCopy(taken acquired) sentCopy {
	server := quarantine.Server{Service: e.req.Service, Name: taken.grant.Server}
	return sentCopy{
		service: e.service, quarantine: e.quarantine, taken: taken, server: server, incarnation: e.quarantine.incarnation(server),
	}
}

// exchange sends the copy and gives the server back. The deadline is checked by the clock, because after a pause of
// the process the timer of the context may be late, and a once-only request must not be sent after its claim has
// expired.
func (c sentCopy) exchange(ctx context.Context, req *call.Request) backend.Result {
	result := backend.Result{Fate: call.NotSent, Err: context.DeadlineExceeded}
	if time.Now().Before(req.Deadline) {
		result = c.taken.pool.Do(ctx, req)
	}
	c.service.giveBack(c.taken.grant, outcome(ctx, result))
	c.quarantine.observeResult(c.server, result)
	return result
}

// ended remembers a copy whose connection broke while its caller still waited.
func (e *exchange) ended(c sentCopy, result backend.Result) {
	if result.Fate == call.MaybeRun && e.ctx.Err() == nil {
		e.losses = append(e.losses, c)
	}
}
