package task

import (
	"context"
	"fmt"
)

// Group runs tasks under one context and waits for all of them. It is owned by one goroutine, which alone may call Go and
// Wait.
type Group struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	results chan taskResult
	running int
}

type taskResult struct {
	name string
	err  error
}

// resultCapacity is the number of task results that are buffered. Further tasks block at their end until Wait reads one.
const resultCapacity = 64

// NewGroup returns a group whose context is canceled when ctx is.
func NewGroup(ctx context.Context) *Group {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{ctx: ctx, cancel: cancel, results: make(chan taskResult, resultCapacity)}
}

// Context returns the context of the group's tasks. It is canceled when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a task. The first task that returns an error stops the group.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.running++
	go func() {
		err := run(g.ctx)
		if err != nil {
			g.cancel(fmt.Errorf("task %s: %w", name, err))
		}
		g.results <- taskResult{name: name, err: err}
	}()
}

// Stop cancels the context of all tasks.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// Wait blocks until all tasks have returned. It returns the first error that is not a cancellation.
func (g *Group) Wait() error {
	var first error
	for ; g.running > 0; g.running-- {
		e := <-g.results
		if e.err != nil && first == nil && e.err != context.Canceled {
			first = fmt.Errorf("task %s: %w", e.name, e.err)
		}
	}
	return first
}
