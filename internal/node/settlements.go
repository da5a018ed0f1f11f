package node

import (
	"context"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/once"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// settlementsCapacity bounds the settlements that wait at the task; senders block when it is full.
	settlementsCapacity = 1024
	// openSettlements bounds the settlements that no owner has confirmed. Above it the oldest is dropped: its claim then
	// stays claimed until its window ends, which refuses resends but never runs a request twice.
	openSettlements = 65536
	// settleCalls bounds the calls to owners in flight.
	settleCalls = 64
	// settleRetry is the wait before settlements that were not confirmed are sent again.
	settleRetry = 500 * time.Millisecond
	// releaseAgain is the wait before the release of a claim whose answer was lost is sent a second time. A paused owner
	// can handle the claim after another owner has confirmed the release; the second release then frees the key.
	releaseAgain = 15 * time.Second
)

// settlements is the task that tells owners how claims ended, again and again until they confirm.
type settlements struct {
	send func(ctx context.Context, s *settlement) bool
	log  *slog.Logger

	inbox   *task.Mailbox[*settlement]
	results chan settleResult
	ended   chan struct{}
	ready   []*settlement
	failed  []*settlement // sent again later
	calls   int
	dropped int
}

// settlement is one settlement on its way.
type settlement struct {
	place  once.Place
	settle once.Settle
	// until is when the claim's window has surely ended.
	until time.Time
	// again asks for a second copy after the first was confirmed.
	again bool
	// due is when a copy that waits is sent.
	due time.Time
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

// add hands over a settlement. It blocks while the mailbox is full: a lost release would block the key for its window.
func (t *settlements) add(s *settlement) { t.inbox.SendUntil(t.ended, s) }

// run is the body of the task. After the context has ended it goes on until all is confirmed, for claimsStopLimit.
func (t *settlements) run(ctx context.Context) error {
	defer close(t.ended)
	retry := time.NewTicker(settleRetry)
	defer retry.Stop()
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var limit <-chan time.Time
	done, running := ctx.Done(), true
	for running || t.calls+len(t.ready)+len(t.failed)+t.inbox.Len() > 0 {
		t.start(calls)
		select {
		case s := <-t.inbox.C():
			t.ready = append(t.ready, s)
			t.bound()
		case r := <-t.results:
			t.finished(r)
		case <-retry.C:
			t.retry(time.Now())
		case <-done:
			done, running = nil, false
			limit = time.After(claimsStopLimit)
		case <-limit:
			t.log.Warn("settlements of once-only claims were not confirmed", "open", t.calls+len(t.ready)+len(t.failed))
			return nil
		}
	}
	return nil
}

// bound drops the oldest settlement when too many are open.
func (t *settlements) bound() {
	if len(t.ready)+len(t.failed) <= openSettlements {
		return
	}
	t.dropped++
	if len(t.failed) > 0 {
		t.failed = t.failed[1:]
		return
	}
	t.ready = t.ready[1:]
}

// start sends what is ready, up to the limit of calls.
func (t *settlements) start(ctx context.Context) {
	for t.calls < settleCalls && len(t.ready) > 0 {
		s := t.ready[0]
		t.ready = t.ready[1:]
		t.calls++
		go func() {
			r := settleResult{settlement: s, confirmed: t.send(ctx, s)}
			select {
			case t.results <- r:
			case <-t.ended:
			}
		}()
	}
}

// finished keeps a settlement that was not confirmed, or that is to be sent again. Its answer is not kept, so that an owner that is away costs
// little memory here.
func (t *settlements) finished(r settleResult) {
	t.calls--
	s := r.settlement
	if r.confirmed && !s.again {
		return
	}
	if r.confirmed {
		s.again = false
		s.due = time.Now().Add(releaseAgain)
	}
	s.settle.Answer = nil
	t.failed = append(t.failed, s)
}

// retry sends again what is due and drops what no longer matters.
func (t *settlements) retry(now time.Time) {
	kept := t.failed[:0]
	for _, s := range t.failed {
		switch {
		case now.Before(s.due):
			kept = append(kept, s)
		case now.Before(s.until):
			t.ready = append(t.ready, s)
		}
	}
	clear(t.failed[len(kept):])
	t.failed = kept
}
