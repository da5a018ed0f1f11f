package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// serviceCapacity is the mailbox size of a service task. Requests are refused while the mailbox is full.
	serviceCapacity = 1024
	// retryAfter is the Retry-After of a refusal for which no estimate exists.
	retryAfter = time.Second
)

// Service is the task of one service at one instance. It owns the state of the service's backend servers and the
// queue of waiting requests.
type Service struct {
	name   string
	inbox  *task.Mailbox[any]
	dial   backend.Dialer
	log    *slog.Logger
	rnd    *rand.Rand
	ended  chan struct{}
	ticket admit.Ticket

	view  balance.View
	fleet *balance.Fleet
	queue *admit.Queue[acquire]
	extra extras
	pools map[string]*pool
	// short is signalled when a lease request is due before the next interval: requests are waiting or notices are to
	// be sent.
	short chan struct{}
	// open is the number of pools whose task has not ended.
	open int
}

// Messages to a service task.
type (
	acquire struct {
		ticket   chan<- admit.Ticket
		copy     copyKind
		policy   route.Policy
		tenant   string
		want     balance.Want
		reply    chan<- acquired
		deadline time.Time
	}
	withdraw struct{ ticket admit.Ticket }
	release  struct {
		grant  balance.Grant
		result balance.Result
	}
	update    struct{ view balance.View }
	lease     struct{ leased balance.Leased }
	notice    struct{ notice balance.Notice }
	instances struct{ live, neighbours int }
	demand    struct {
		zone  string
		reply chan<- balance.Demand
	}
	dueZones    struct{ reply chan<- []string }
	takeNotices struct{ reply chan<- []balance.Notice }
	takeChanges struct{ reply chan<- changes }
	inspect     struct{ reply chan<- ServiceStatus }
	poolEnded   struct{}
)

// NewService returns the task of one service. Run starts it.
func NewService(view balance.View, dial backend.Dialer, log *slog.Logger, rnd *rand.Rand) (*Service, error) {
	ch, err := loadFleetCharts(view.Service)
	if err != nil {
		return nil, err
	}
	fleet, err := balance.New(ch, time.Now(), view)
	if err != nil {
		return nil, err
	}
	name := view.Service.Name
	return &Service{
		name: name, inbox: task.NewMailbox[any]("service "+name, serviceCapacity), dial: dial, log: log, rnd: rnd,
		ended: make(chan struct{}), view: view, fleet: fleet,
		queue: admit.NewQueue[acquire](view.Service.Queue), extra: newExtras(view.Service), pools: map[string]*pool{},
		short: make(chan struct{}, 1),
	}, nil
}

func loadFleetCharts(doc *document.Service) (balance.Charts, error) {
	backendChart, err := charts.Load("backend", charts.Params{"warm_up_step": doc.Servers.WarmUpStep})
	if err != nil {
		return balance.Charts{}, err
	}
	zoneChart, err := charts.Load("zone", nil)
	return balance.Charts{Backend: backendChart, Zone: zoneChart}, err
}

// Run is the task's main loop. It returns after the context and the tasks of all pools have ended.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.ended)
	s.syncPools(ctx)
	s.resizePools(ctx)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	done, stopping := ctx.Done(), false
	for !stopping || s.open > 0 {
		s.arm(timer)
		select {
		case m := <-s.inbox.C():
			s.handle(ctx, m)
		case <-timer.C:
			s.fleet.Tick(time.Now())
			s.resizePools(ctx)
		case <-done:
			done, stopping = nil, true
			s.stopPools()
		}
		s.serveWaiting()
		s.signalShort()
	}
	return nil
}

// arm sets the timer to the next timeout of a server or of a waiting request.
func (s *Service) arm(timer *time.Timer) {
	now := time.Now()
	due := now.Add(time.Hour)
	if at, ok := s.fleet.Deadline(now); ok && at.Before(due) {
		due = at
	}
	if at, ok := s.queue.Deadline(s.pace(now)); ok && at.Before(due) {
		due = at
	}
	timer.Reset(time.Until(due))
}

func (s *Service) handle(ctx context.Context, m any) {
	now := time.Now()
	switch m := m.(type) {
	case acquire:
		s.acquire(now, m)
	case withdraw:
		s.withdraw(m)
	case release:
		s.release(now, m)
	case lease:
		s.fleet.Lease(now, m.leased)
		s.resizePools(ctx)
	case notice:
		s.fleet.Notice(now, m.notice)
	case instances:
		s.fleet.SetInstances(m.live, m.neighbours)
		s.view.Instances, s.view.Neighbours = m.live, m.neighbours
		s.resizePools(ctx)
	case demand:
		s.fleet.Backlog(s.queue.Len())
		m.reply <- s.fleet.Demand(now, m.zone)
	case dueZones:
		m.reply <- s.fleet.DueZones(now)
	case takeChanges:
		var c changes
		c.list, c.lost = s.fleet.Changes()
		m.reply <- c
	case takeNotices:
		m.reply <- s.fleet.Notices()
	case update:
		s.update(ctx, now, m.view)
	case inspect:
		m.reply <- ServiceStatus{Service: s.name, Waiting: s.queue.Len(), Servers: s.fleet.Status(now)}
	case poolEnded:
		s.open--
	}
}

// update replaces the documents. The numbers of live instances don't come with them and are kept.
func (s *Service) update(ctx context.Context, now time.Time, view balance.View) {
	view.Instances, view.Neighbours = s.view.Instances, s.view.Neighbours
	s.view = view
	s.fleet.Update(now, view)
	s.queue.SetLimits(view.Service.Queue)
	s.extra.update(view.Service)
	s.syncPools(ctx)
	s.resizePools(ctx)
}

func (s *Service) release(now time.Time, m release) {
	s.fleet.Done(now, m.grant, m.result)
	if m.result.Fate == call.Answered && !m.result.Failed && !m.result.Cancelled {
		s.extra.waits.Add(m.result.Latency)
	}
}

// signalShort wakes the task that sends lease requests. A pending signal covers this one.
func (s *Service) signalShort() {
	s.fleet.Backlog(s.queue.Len())
	if !s.fleet.Asks(time.Now()) {
		return
	}
	select {
	case s.short <- struct{}{}:
	default:
	}
}
