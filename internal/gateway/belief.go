package gateway

import (
	"sync/atomic"

	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Belief is an immutable snapshot of the store as known to the instance, with the routing table made from it.
type Belief struct {
	*fleet.View
	// Routes is nil until a configuration is known.
	Routes *dispatch.Table
}

// Beliefs publishes the newest snapshot. One task stores it; any task may read it.
type Beliefs struct{ newest atomic.Pointer[Belief] }

// Newest returns the newest snapshot, which is empty before the first update.
func (b *Beliefs) Newest() *Belief {
	if belief := b.newest.Load(); belief != nil {
		return belief
	}
	return &Belief{View: &fleet.View{}}
}
