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
	// relayCapacity bounds the notices of other instances that wait. More are dropped; gossip repeats them.
	relayCapacity = 256
	// relayInterval is how often the services are asked for what they saw. A drain must be known everywhere within a
	// few seconds, and gossip takes up to about two.
	relayInterval = 200 * time.Millisecond
)

// RelayOptions are what the relay task needs.
type RelayOptions struct {
	View    func() *member.View
	Entries func() map[string]Entry
	// Report passes a change that this instance saw on to the others: Report of Gossip.
	Report func(service string, n balance.Notice)
	// Changed gets each change of state of a server or zone that this instance went through.
	Changed func(service string, c balance.Change)
	Log     *slog.Logger
}

// Relay is the task between the membership and the services: it tells services how many instances are live, passes on
// what other instances saw of backend servers, and tells others what this instance saw.
type Relay struct {
	o     RelayOptions
	inbox *task.Mailbox[member.Notice]
	// told is what each service task was told last.
	told map[*Service]fleetSize
}

type fleetSize struct{ live, neighbours int }

// NewRelay returns the task. Run starts it.
func NewRelay(o RelayOptions) *Relay {
	return &Relay{o: o, inbox: task.NewMailbox[member.Notice]("relay", relayCapacity), told: map[*Service]fleetSize{}}
}

// Notice takes a change that another instance saw. It does not block.
func (r *Relay) Notice(n member.Notice) {
	if err := r.inbox.Offer(n); err != nil {
		r.o.Log.Warn("notice of a peer dropped", "service", n.Service, "server", n.Server, "error", err)
	}
}

// Run is the body of the task.
func (r *Relay) Run(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case n := <-r.inbox.C():
			r.deliver(ctx, n)
		case <-ticker.C:
			r.turn(ctx)
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
		r.o.Log.Debug("notice not delivered", "service", n.Service, "error", err)
	}
}

func (r *Relay) turn(ctx context.Context) {
	view := r.o.View()
	size := fleetSize{live: len(view.Live), neighbours: len(view.In(view.Self.Region))}
	entries := r.o.Entries()
	told := make(map[*Service]fleetSize, len(entries))
	for name, entry := range entries {
		told[entry.Task] = size
		if r.told[entry.Task] != size {
			r.tellSize(ctx, name, entry.Task, size)
		}
		r.collect(ctx, name, entry.Task)
	}
	r.told = told
}

func (r *Relay) tellSize(ctx context.Context, name string, s *Service, size fleetSize) {
	if err := s.SetInstances(ctx, max(1, size.live), max(1, size.neighbours)); err != nil {
		r.o.Log.Debug("service not told of the fleet", "service", name, "error", err)
	}
}

func (r *Relay) collect(ctx context.Context, name string, s *Service) {
	notices, err := s.Notices(ctx)
	if err != nil {
		return
	}
	for _, n := range notices {
		r.o.Report(name, n)
	}
	changes, lost, err := s.Changes(ctx)
	if err != nil {
		return
	}
	for _, c := range changes {
		r.o.Changed(name, c)
	}
	if lost > 0 {
		r.o.Log.Warn("changes of state were not recorded", "service", name, "lost", lost)
	}
}
