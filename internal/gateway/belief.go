package gateway

import (
	"sync/atomic"

	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Belief is what the instance believes at one moment. It is never modified after it was published.
type Belief struct {
	*fleet.View
	// Routes is nil until a configuration is known.
	Routes *dispatch.Table
}

// Beliefs publishes the newest belief. One task stores it; any task may read it.
type Beliefs struct{ newest atomic.Pointer[Belief] }

// Newest returns the newest belief; before the first one, an empty belief.
func (b *Beliefs) Newest() *Belief {
	if belief := b.newest.Load(); belief != nil {
		return belief
	}
	return &Belief{View: &fleet.View{}}
}
