package node

import (
	"context"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// relayCapacity bounds the queued notices of other instances. More are dropped; gossip repeats them.
	relayCapacity = 256
	// relayInterval is how often notices are collected from the services. A drain must be known everywhere within a
	// few seconds, of which gossip takes up to about two.
	relayInterval = 200 * time.Millisecond
)

// RelayOptions are the dependencies of the relay task.
type RelayOptions struct {
	View    func() *member.View
	Entries func() map[string]Entry
	// SendNotice sends a change that this instance observed to the other instances, as ReportNotice of Gossip does.
	SendNotice func(service string, n balance.Notice)
	// OnChange receives each state change of a server or zone at this instance.
	OnChange func(service string, c balance.Change)
	Log      *slog.Logger
}

// Relay is the task between membership and services. It sends the numbers of live instances and the notices of other
// instances to the services, and the notices and state changes of this instance's services to SendNotice and OnChange.
type Relay struct {
	o     RelayOptions
	inbox *task.Mailbox[member.Notice]
	// sent holds the counts that each service task was sent last.
	sent map[*Service]fleetSize
}

type fleetSize struct{ live, inRegion int }

// NewRelay returns the task. Run starts it.
func NewRelay(o RelayOptions) *Relay {
	return &Relay{o: o, inbox: task.NewMailbox[member.Notice]("relay", relayCapacity), sent: map[*Service]fleetSize{}}
}

// Notice queues a change that another instance observed. It does not block; a notice that finds the mailbox full is
// dropped.
func (r *Relay) Notice(n member.Notice) {
	if err := r.inbox.Offer(n); err != nil {
		r.o.Log.Warn("notice from a peer dropped", "service", n.Service, "server", n.Server, "error", err)
	}
}

// Run is the task's main loop.
func (r *Relay) Run(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case n := <-r.inbox.C():
			r.deliver(ctx, n)
		case <-ticker.C:
			r.runDue(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Relay) deliver(ctx context.Context, n member.Notice) {
	entry, ok := r.o.Entries()[n.Service]
	if !ok {
		return
	}
	if err := entry.Task.Notice(ctx, n.Notice); err != nil {
		r.o.Log.Debug("notice not delivered to service", "service", n.Service, "error", err)
	}
}

func (r *Relay) runDue(ctx context.Context) {
	view := r.o.View()
	size := fleetSize{live: len(view.Live), inRegion: len(view.In(view.Self.Region))}
	entries := r.o.Entries()
	sent := make(map[*Service]fleetSize, len(entries))
	for name, entry := range entries {
		sent[entry.Task] = size
		if r.sent[entry.Task] != size {
			r.sendSize(ctx, name, entry.Task, size)
		}
		r.collect(ctx, name, entry.Task)
	}
	r.sent = sent
}

func (r *Relay) sendSize(ctx context.Context, name string, s *Service, size fleetSize) {
	if err := s.SetInstances(ctx, max(1, size.live), max(1, size.inRegion)); err != nil {
		r.o.Log.Debug("instance counts not delivered to service", "service", name, "error", err)
	}
}

func (r *Relay) collect(ctx context.Context, name string, s *Service) {
	notices, err := s.Notices(ctx)
	if err != nil {
		return
	}
	for _, n := range notices {
		r.o.SendNotice(name, n)
	}
	changes, lost, err := s.Changes(ctx)
	if err != nil {
		return
	}
	for _, c := range changes {
		r.o.OnChange(name, c)
	}
	if lost > 0 {
		r.o.Log.Warn("state changes were dropped before they were recorded", "service", name, "lost", lost)
	}
}
