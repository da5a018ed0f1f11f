package task

import (
	"context"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Pause blocks for the duration and returns true. It returns false when the context ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// AskUntil is like Ask, for a task that may end before it replies. The channel ended is closed when the task ends;
// AskUntil then fails with fault.Stopping.
func AskUntil[M, R any](ctx context.Context, ended <-chan struct{}, b *Mailbox[M], build func(reply chan<- R) M) (R, error) {
	reply := make(chan R, 1)
	var zero R
	if !b.SendUntil(ended, build(reply)) {
		return zero, stoppedError(b)
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ended:
		return zero, stoppedError(b)
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func stoppedError[M any](b *Mailbox[M]) error {
	return fault.New(fault.Stopping, "ask another instance", "task %q has ended", b.name)
}
