package task

import (
	"context"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Mailbox is a bounded queue of messages to one task.
type Mailbox[M any] struct {
	name     string
	messages chan M
}

// NewMailbox returns a mailbox that holds at most capacity messages. The name appears in errors.
func NewMailbox[M any](name string, capacity int) *Mailbox[M] {
	return &Mailbox[M]{name: name, messages: make(chan M, capacity)}
}

// Offer adds a message without blocking. It fails with fault.Overloaded when the mailbox is full.
func (b *Mailbox[M]) Offer(m M) error {
	select {
	case b.messages <- m:
		return nil
	default:
		return fault.New(fault.Overloaded, "retry later or add instances", "mailbox %q is full", b.name)
	}
}

// Send adds a message and blocks while the mailbox is full. It returns the context's error when the context
// ends first.
func (b *Mailbox[M]) Send(ctx context.Context, m M) error {
	select {
	case b.messages <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel that the owning task receives from.
func (b *Mailbox[M]) C() <-chan M { return b.messages }

// Len returns the number of queued messages.
func (b *Mailbox[M]) Len() int { return len(b.messages) }

// Ask sends a message that carries a reply channel and waits for the reply. The reply channel buffers one message, so
// the receiving task does not block when the caller has stopped waiting.
func Ask[M, R any](ctx context.Context, b *Mailbox[M], build func(reply chan<- R) M) (R, error) {
	reply := make(chan R, 1)
	var zero R
	if err := b.Send(ctx, build(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// SendUntil adds a message and blocks while the mailbox is full. It returns false when the receiving task ends
// first. The channel ended is closed when that task ends.
func (b *Mailbox[M]) SendUntil(ended <-chan struct{}, m M) bool {
	select {
	case <-ended:
		return false
	default:
	}
	select {
	case b.messages <- m:
		return true
	case <-ended:
		return false
	}
}
