package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
)

// copyResult is the result of one copy of a hedged request.
type copyResult struct {
	hedge  bool
	copy   sentCopy
	result backend.Result
}

// hedgedRequest is one request with up to two copies in flight.
type hedgedRequest struct {
	e        *exchange
	results  chan copyResult
	inFlight int
	// cancel holds the cancel functions of the first copy and of the hedge.
	cancel [2]context.CancelFunc
}

// maxHedgeRetryDelay is the maximum delay between two attempts to get a server for a hedge.
const maxHedgeRetryDelay = 100 * time.Millisecond

// runHedged sends a request and, if no answer comes within the hedge delay, a second copy to another server. The
// first answer wins and the other copy is cancelled. A hedge that got no server is tried again while the first copy is in
// flight, because cancelled copies hold their slots for a moment and the first server may never answer.
func (e *exchange) runHedged(req *call.Request) backend.Result {
	h := &hedgedRequest{e: e, results: make(chan copyResult, 2)}
	h.startCopy(e.assignment, req, false)
	timer := time.NewTimer(e.assignment.hedgeAfter)
	defer timer.Stop()
	retry := backoff{first: e.assignment.hedgeAfter, limit: maxHedgeRetryDelay}
	return h.await(req, timer.C, func() { timer.Reset(retry.next()) })
}

// await returns the result that decides the request. It starts the hedge when that is due, and calls tryLater if no server
// could take it.
func (h *hedgedRequest) await(req *call.Request, due <-chan time.Time, tryLater func()) backend.Result {
	e := h.e
	var failed *backend.Result
	for {
		select {
		case <-due:
			if len(h.results) > 0 { // this goroutine may run late
				continue
			}
			if !h.startHedge(req) {
				tryLater()
			}
		case c := <-h.results:
			h.inFlight--
			e.recordBrokenCopy(c.copy, c.result)
			if c.result.Fate == call.Answered {
				h.cancelOther(c.hedge)
				return c.result
			}
			if h.inFlight == 0 {
				return decisiveFailure(failed, c.result)
			}
			failed = &c.result
		}
	}
}

// decisiveFailure returns the result that counts if no copy was answered: a copy that may have run outweighs one that
// did not.
func decisiveFailure(first *backend.Result, last backend.Result) backend.Result {
	if first != nil && !first.Fate.SurelyNotRun() {
		return *first
	}
	return last
}

// startHedge sends the hedge if the budget and a free server of the region allow it, and reports whether it did.
func (h *hedgedRequest) startHedge(req *call.Request) bool {
	acquisition := h.e.newAcquireRequest(hedgeCopy)
	acquisition.requirements.CrossRegion = false
	acquisition.requirements.ExpectedWait = time.Until(h.e.policy.Deadline) // accept any other server: the first one may never answer
	assignment := h.e.service.acquireServer(h.e.ctx, acquisition)
	if assignment.err != nil {
		return false
	}
	h.e.avoid = append(h.e.avoid, assignment.grant.Server)
	h.startCopy(assignment, req, true)
	return true
}

func (h *hedgedRequest) startCopy(assignment acquireResult, req *call.Request, hedge bool) {
	ctx, cancel := context.WithCancel(h.e.ctx)
	h.cancel[copyIndex(hedge)] = cancel
	h.inFlight++
	c := h.e.newCopy(assignment)
	go func() {
		h.results <- copyResult{hedge: hedge, copy: c, result: c.send(ctx, req)}
	}()
}

func copyIndex(hedge bool) int {
	if hedge {
		return 1
	}
	return 0
}

// cancelOther cancels the copy that did not win. The winner's context is not cancelled, because its answer may still be
// streaming; it ends with the context of the request.
func (h *hedgedRequest) cancelOther(winnerIsHedge bool) {
	if cancel := h.cancel[copyIndex(!winnerIsHedge)]; cancel != nil {
		cancel()
	}
	if h.inFlight > 0 {
		go h.discard()
	}
}

// discard closes the answer of the cancelled copy if there is one.
func (h *hedgedRequest) discard() {
	c := <-h.results
	if c.result.Answer != nil && c.result.Answer.Stream != nil {
		_ = c.result.Answer.Stream.Close() // the answer is discarded
	}
}
