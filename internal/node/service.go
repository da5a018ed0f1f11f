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
	name  string
	inbox *task.Mailbox[any]
	dial  backend.Dialer
	log   *slog.Logger
	rnd   *rand.Rand
	ended chan struct{}
	// lastTicket is the ticket of the last acquireRequest.
	lastTicket admit.Ticket

	config  balance.FleetConfig
	fleet   *balance.Fleet
	queue   *admit.Queue[acquireRequest]
	budgets copyBudgets
	pools   map[string]*pool
	// shortage is signalled when a lease request is due before the next interval: requests are waiting or notices are
	// to be sent.
	shortage chan struct{}
	// runningPools is the number of pools whose task has not ended.
	runningPools int
}

// Messages to a service task.
type (
	acquireRequest struct {
		ticket       chan<- admit.Ticket
		copy         copyKind
		policy       route.Policy
		tenant       string
		requirements balance.Requirements
		reply        chan<- acquireResult
		deadline     time.Time
		// stopLimit is when the request is cut off by a planned stop; zero if none has begun.
		stopLimit time.Time
	}
	withdrawRequest struct{ ticket admit.Ticket }
	releaseRequest  struct {
		grant  balance.Grant
		result balance.Result
	}
	fleetConfigUpdate struct{ config balance.FleetConfig }
	leaseUpdate       struct{ lease balance.ShardLease }
	noticeUpdate      struct{ notice balance.Notice }
	instancesUpdate   struct{ live, inRegion int }
	demandRequest     struct {
		zone  string
		reply chan<- balance.Demand
	}
	dueZonesRequest      struct{ reply chan<- []string }
	noticesRequest       struct{ reply chan<- []balance.Notice }
	changesRequest       struct{ reply chan<- changes }
	serviceStatusRequest struct{ reply chan<- ServiceStatus }
	poolEndEvent         struct{}
)

// NewService returns the task of one service. Run starts it.
func NewService(config balance.FleetConfig, dial backend.Dialer, log *slog.Logger, rnd *rand.Rand) (*Service, error) {
	ch, err := loadFleetCharts(config.Service)
	if err != nil {
		return nil, err
	}
	fleet, err := balance.New(ch, time.Now(), config)
	if err != nil {
		return nil, err
	}
	name := config.Service.Name
	return &Service{
		name: name, inbox: task.NewMailbox[any]("service "+name, serviceCapacity), dial: dial, log: log, rnd: rnd,
		ended: make(chan struct{}), config: config, fleet: fleet,
		queue: admit.NewQueue[acquireRequest](config.Service.Queue), budgets: newCopyBudgets(config.Service), pools: map[string]*pool{},
		shortage: make(chan struct{}, 1),
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
	alarm := task.NewAlarm("service "+s.name, s.log)
	defer alarm.Stop()
	done, stopping := ctx.Done(), false
	for !stopping || s.runningPools > 0 {
		alarm.SetFirst(s.timeouts(time.Now()))
		select {
		case m := <-s.inbox.C():
			s.handle(ctx, m)
		case <-alarm.C():
			s.fleet.Tick(time.Now())
			s.resizePools(ctx)
		case <-done:
			done, stopping = nil, true
			s.stopPools()
		}
		s.serveWaiting()
		s.signalShortage()
	}
	return nil
}

// timeouts returns when the next timeout of a server and that of a waiting request are due; zero if there is none.
func (s *Service) timeouts(now time.Time) (server, request time.Time) {
	server, _ = s.fleet.Deadline(now)
	if at, waits := s.queue.NextExpiry(s.pace(now)); waits {
		request = at
	}
	return server, request
}

func (s *Service) handle(ctx context.Context, m any) {
	now := time.Now()
	switch m := m.(type) {
	case acquireRequest:
		s.acquire(now, m)
	case withdrawRequest:
		s.withdraw(m)
	case releaseRequest:
		s.release(now, m)
	case leaseUpdate:
		s.fleet.ApplyLease(now, m.lease)
		s.resizePools(ctx)
	case noticeUpdate:
		s.fleet.ApplyNotice(now, m.notice)
	case instancesUpdate:
		s.fleet.SetInstances(m.live, m.inRegion)
		s.config.Instances, s.config.RegionInstances = m.live, m.inRegion
		s.resizePools(ctx)
	case demandRequest:
		s.fleet.SetBacklog(s.queue.Len())
		m.reply <- s.fleet.Demand(now, m.zone)
	case dueZonesRequest:
		m.reply <- s.fleet.DueZones(now)
	case changesRequest:
		var c changes
		c.list, c.dropped = s.fleet.TakeChanges()
		m.reply <- c
	case noticesRequest:
		m.reply <- s.fleet.TakeNotices()
	case fleetConfigUpdate:
		s.update(ctx, now, m.config)
	case serviceStatusRequest:
		m.reply <- ServiceStatus{Service: s.name, Waiting: s.queue.Len(), Servers: s.fleet.Status(now)}
	case poolEndEvent:
		s.runningPools--
	}
}

// update replaces the documents. The numbers of live instances don't come with them and are kept.
func (s *Service) update(ctx context.Context, now time.Time, config balance.FleetConfig) {
	config.Instances, config.RegionInstances = s.config.Instances, s.config.RegionInstances
	s.config = config
	s.fleet.Update(now, config)
	s.queue.SetLimits(config.Service.Queue)
	s.budgets.update(config.Service)
	s.syncPools(ctx)
	s.resizePools(ctx)
}

func (s *Service) release(now time.Time, m releaseRequest) {
	s.fleet.Done(now, m.grant, m.result)
	if m.result.Fate == call.Answered && !m.result.Failed && !m.result.Cancelled {
		s.budgets.latencies.Add(m.result.Latency)
	}
}

// signalShortage wakes the task that sends lease requests. A pending signal covers this one.
func (s *Service) signalShortage() {
	s.fleet.SetBacklog(s.queue.Len())
	if !s.fleet.HasMessagesDue(time.Now()) {
		return
	}
	select {
	case s.shortage <- struct{}{}:
	default:
	}
}
