package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
)

// copyEnded is the result of one copy of a hedged request.
type copyEnded struct {
	hedge  bool
	copy   sentCopy
	result backend.Result
}

// hedged is one request with up to two copies in flight.
type hedged struct {
	e     *exchange
	ended chan copyEnded
	open  int
	// cancel holds the cancel functions of the first copy and of the hedge.
	cancel [2]context.CancelFunc
}

// runHedged sends a request and, if no answer comes within the hedge delay, a second copy to another server. The
// first answer wins and the other copy is cancelled.
func (e *exchange) runHedged(req *call.Request) backend.Result {
	h := &hedged{e: e, ended: make(chan copyEnded, 2)}
	h.start(e.taken, req, false)
	timer := time.NewTimer(e.taken.hedgeAfter)
	defer timer.Stop()
	var earlier *backend.Result
	for {
		select {
		case <-timer.C:
			h.second(req)
		case c := <-h.ended:
			h.open--
			e.ended(c.copy, c.result)
			if c.result.Fate == call.Answered {
				h.stopOther(c.hedge)
				return c.result
			}
			if h.open == 0 {
				return worse(earlier, c.result)
			}
			earlier = &c.result
		}
	}
}

// worse returns the result that counts if no copy was answered: a copy that may have run outweighs one that did not.
func worse(earlier *backend.Result, last backend.Result) backend.Result {
	if earlier != nil && !earlier.Fate.SurelyNotRun() {
		return *earlier
	}
	return last
}

// second sends the hedge if the budget and a free server of the region allow it.
func (h *hedged) second(req *call.Request) {
	ask := h.e.acquire(hedgeCopy)
	ask.want.CrossRegion = false
	ask.want.Wait = time.Until(h.e.policy.Deadline) // accept any other server: the first one may never answer
	taken := h.e.service.take(h.e.ctx, ask)
	if taken.err != nil {
		return
	}
	h.e.avoid = append(h.e.avoid, taken.grant.Server)
	h.start(taken, req, true)
}

func (h *hedged) start(taken acquired, req *call.Request, hedge bool) {
	ctx, cancel := context.WithCancel(h.e.ctx)
	h.cancel[index(hedge)] = cancel
	h.open++
	c := h.e.newCopy(taken)
	go func() {
		h.ended <- copyEnded{hedge: hedge, copy: c, result: c.exchange(ctx, req)}
	}()
}

func index(hedge bool) int {
	if hedge {
		return 1
	}
	return 0
}

// stopOther cancels the copy that lost. The winner's context is not cancelled, because its answer may still be
// streaming; it ends with the context of the request.
func (h *hedged) stopOther(winnerIsHedge bool) {
	if cancel := h.cancel[index(!winnerIsHedge)]; cancel != nil {
		cancel()
	}
	if h.open > 0 {
		go h.discard()
	}
}

// discard closes the answer of the cancelled copy if there is one.
func (h *hedged) discard() {
	c := <-h.ended
	if c.result.Answer != nil && c.result.Answer.Stream != nil {
		_ = c.result.Answer.Stream.Close() // the answer is discarded
	}
}
