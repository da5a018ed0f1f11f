package gateway

import (
	"sync/atomic"

	"fuchsiahub.example/fuchsiahub/internal/decide/dispatch"
	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Snapshot is an immutable snapshot of the store as known to the instance, with the routing table made from it.
type Snapshot struct {
	*fleet.View
	// Routes is nil until a configuration is known.
	Routes *dispatch.Table
}

// SnapshotPublisher publishes the newest snapshot. One task stores it; any task may read it.
type SnapshotPublisher struct{ newest atomic.Pointer[Snapshot] }

// Newest returns the newest snapshot, which is empty before the first update.
func (p *SnapshotPublisher) Newest() *Snapshot {
	if snapshot := p.newest.Load(); snapshot != nil {
		return snapshot
	}
	return &Snapshot{View: &fleet.View{}}
}
