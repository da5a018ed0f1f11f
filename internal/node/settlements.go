package node

import (
	"context"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// settlementsCapacity is the mailbox size of the task; senders block while it is full.
	settlementsCapacity = 1024
	// maxOpenSettlements bounds the settlements that no owner has confirmed. Above it the oldest is dropped: its claim
	// then stays claimed until its window ends, which refuses resends but never runs a request twice.
	maxOpenSettlements = 65536
	// maxSettleCalls bounds the calls to owners in flight.
	maxSettleCalls = 64
	// settleRetryDelay is the delay before unconfirmed settlements are sent again.
	settleRetryDelay = 500 * time.Millisecond
	// secondReleaseDelay is the delay before the second release of a claim whose answer was lost. A paused owner can
	// process the claim after another owner has confirmed the release; the second release then frees the key.
	secondReleaseDelay = 15 * time.Second
)

// settlements is the task that sends the outcomes of claims to their owners and repeats them until they are
// confirmed.
type settlements struct {
	send func(ctx context.Context, s *settlement) bool
	log  *slog.Logger

	inbox    *task.Mailbox[*settlement]
	results  chan settleResult
	ended    chan struct{}
	ready    []*settlement
	delayed  []*settlement // to be sent again later
	inFlight int
	dropped  int
}

// settlement is one outcome that is still to be confirmed.
type settlement struct {
	partition once.PartitionID
	settle    once.SettleRequest
	// windowEnd is when the claim's window has certainly ended.
	windowEnd time.Time
	// sendTwice is true if the settlement is to be sent a second time after it was confirmed.
	sendTwice bool
	// dueAt is the earliest time of the next attempt.
	dueAt time.Time
}

type settleResult struct {
	settlement *settlement
	confirmed  bool
}

func newSettlements(send func(context.Context, *settlement) bool, log *slog.Logger) *settlements {
	return &settlements{
		send: send, log: log, inbox: task.NewMailbox[*settlement]("settlements", settlementsCapacity),
		results: make(chan settleResult), ended: make(chan struct{}),
	}
}

// add hands a settlement to the task. It blocks while the mailbox is full, because a lost release would block the key
// until its window ends.
func (t *settlements) add(s *settlement) { t.inbox.SendUntil(t.ended, s) }

// run is the task's main loop. After the context has ended it continues until all settlements are confirmed, at most
// for claimsStopLimit.
func (t *settlements) run(ctx context.Context) error {
	defer close(t.ended)
	retry := time.NewTicker(settleRetryDelay)
	defer retry.Stop()
	callsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var limit <-chan time.Time
	done, running := ctx.Done(), true
	for running || t.inFlight+len(t.ready)+len(t.delayed)+t.inbox.Len() > 0 {
		t.start(callsCtx)
		select {
		case s := <-t.inbox.C():
			t.ready = append(t.ready, s)
			t.enforceLimit()
		case r := <-t.results:
			t.handleResult(r)
		case <-retry.C:
			t.retry(time.Now())
		case <-done:
			done, running = nil, false
			limit = time.After(claimsStopLimit)
		case <-limit:
			t.log.Warn("settlements of once-only claims were not confirmed", "open", t.inFlight+len(t.ready)+len(t.delayed))
			return nil
		}
	}
	return nil
}

// enforceLimit drops the oldest settlement if too many are unconfirmed.
func (t *settlements) enforceLimit() {
	if len(t.ready)+len(t.delayed) <= maxOpenSettlements {
		return
	}
	t.dropped++
	if len(t.delayed) > 0 {
		t.delayed = t.delayed[1:]
		return
	}
	t.ready = t.ready[1:]
}

// start sends the ready settlements within the limit of calls in flight.
func (t *settlements) start(ctx context.Context) {
	for t.inFlight < maxSettleCalls && len(t.ready) > 0 {
		s := t.ready[0]
		t.ready = t.ready[1:]
		t.inFlight++
		go func() {
			r := settleResult{settlement: s, confirmed: t.send(ctx, s)}
			select {
			case t.results <- r:
			case <-t.ended:
			}
		}()
	}
}

// handleResult keeps a settlement that was not confirmed or is to be sent a second time. Its answer is dropped to save
// memory while an owner is unavailable.
func (t *settlements) handleResult(r settleResult) {
	t.inFlight--
	s := r.settlement
	if r.confirmed && !s.sendTwice {
		return
	}
	if r.confirmed {
		s.sendTwice = false
		s.dueAt = time.Now().Add(secondReleaseDelay)
	}
	s.settle.Answer = nil
	t.delayed = append(t.delayed, s)
}

// retry makes the due settlements ready and drops those whose window has ended.
func (t *settlements) retry(now time.Time) {
	waiting := t.delayed[:0]
	for _, s := range t.delayed {
		switch {
		case now.Before(s.dueAt):
			waiting = append(waiting, s)
		case now.Before(s.windowEnd):
			t.ready = append(t.ready, s)
		}
	}
	clear(t.delayed[len(waiting):])
	t.delayed = waiting
}
