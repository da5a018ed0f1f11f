package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/quarantine"
	"fuchsiahub.example/fuchsiahub/internal/metric"
)

// sentCopy is one copy of a request sent to one server.
type sentCopy struct {
	service    *Service
	quarantine *Quarantine
	metrics    *metric.Service
	assignment acquireResult
	server     quarantine.Server
	// incarnation is the incarnation that the server reported before the copy was sent.
	incarnation string
}

func (e *exchange) newCopy(assignment acquireResult) sentCopy {
	server := quarantine.Server{Service: e.req.Service, Name: assignment.grant.Server}
	return sentCopy{
		service: e.service, quarantine: e.quarantine, metrics: e.metrics, assignment: assignment, server: server,
		incarnation: e.quarantine.incarnation(server),
	}
}

// send sends the copy and releases the grant. It compares the deadline with the clock, because the context's
// timer may fire late after a pause of the process, and a once-only request must not be sent after its claim has
// expired.
func (c sentCopy) send(ctx context.Context, req *call.Request) backend.Result {
	result := backend.Result{Fate: call.NotSent, Err: context.DeadlineExceeded}
	if time.Now().Before(req.Deadline) {
		result = c.assignment.pool.Do(ctx, req)
	}
	c.service.releaseGrant(c.assignment.grant, balanceResult(ctx, result))
	c.quarantine.observeResult(c.server, result)
	if backend.IsInvalidAnswer(result.Err) {
		c.metrics.InvalidAnswer()
		c.service.log.Warn("answer of a backend server is invalid", "request_id", req.ID, "service", req.Service, "server", c.server.Name, "error", result.Err)
	}
	return result
}

// recordBrokenCopy records a copy whose connection broke while its caller was still waiting. The connection of an invalid
// answer did not break, so it says nothing about a crash.
func (e *exchange) recordBrokenCopy(c sentCopy, result backend.Result) {
	if result.Fate == call.MaybeRun && e.ctx.Err() == nil && !backend.IsInvalidAnswer(result.Err) {
		e.brokenCopies = append(e.brokenCopies, c)
	}
}
