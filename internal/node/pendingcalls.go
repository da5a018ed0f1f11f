package node

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// pendingCalls tracks the calls that a task makes without blocking. Each runs in its own goroutine and returns its
// result as a callResult in the task's mailbox. The task ends after all of them have returned.
type pendingCalls struct {
	inbox *task.Mailbox[any]
	// inFlight is the number of calls, and of other goroutines of the task, that have not sent their callResult yet.
	inFlight int
}

// callResult carries the result of a call. The task passes it to done and handles the message that done returns. The
// message is nil when another goroutine of the task ends.
type callResult struct{ message any }

// start runs a call with a timeout.
func (p *pendingCalls) start(ctx context.Context, limit time.Duration, call func(ctx context.Context) any) {
	p.inFlight++
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		_ = p.inbox.Send(context.Background(), callResult{message: call(callCtx)}) // never fails: the context does not end
	}()
}

func (p *pendingCalls) done(m callResult) any {
	p.inFlight--
	return m.message
}

// askUntil is task.Ask for a task that may end before it replies. It fails if the mailbox is full.
func askUntil[M, R any](ctx context.Context, ended <-chan struct{}, inbox *task.Mailbox[M], build func(reply chan<- R) M) (R, error) {
	reply := make(chan R, 1)
	var zero R
	if err := inbox.Offer(build(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-ended:
		return zero, fault.New(fault.Stopping, "ask another instance", "the task has ended")
	}
}
