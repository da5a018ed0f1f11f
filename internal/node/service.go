package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// serviceCapacity bounds the messages that wait at a service task. A full mailbox refuses requests.
	serviceCapacity = 1024
	// spareConnections are kept open ahead of need at each server.
	spareConnections = 1
	// retryAfter is what a refused caller is advised to wait.
	retryAfter = time.Second
)

// Service is the task of one service at one instance. It owns the state of its backend servers and the queue of
// waiting requests.
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
	pools map[string]*pool
	// open counts the pools whose task has not ended.
	open int
}

type pool struct {
	*backend.Pool
	address string
	stop    context.CancelFunc
}

// Messages to a service task.
type (
	acquire struct {
		ticket   chan<- admit.Ticket
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
	inspect   struct{ reply chan<- ServiceStatus }
	poolEnded struct{}
)

// acquired is the answer to acquire: a grant with the pool of its server, or a refusal.
type acquired struct {
	grant balance.Grant
	pool  *backend.Pool
	err   error
}

// ServiceStatus is what operators see of a service at one instance.
type ServiceStatus struct {
	Service string                 `json:"service"`
	Waiting int                    `json:"waiting"`
	Servers []balance.ServerStatus `json:"servers"`
}

// NewService returns the task of one service. Run starts it.
func NewService(view balance.View, dial backend.Dialer, log *slog.Logger, rnd *rand.Rand) (*Service, error) {
	ch, err := charts.Load("backend", charts.Params{"warm_up_step": view.Service.Servers.WarmUpStep})
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
		queue: admit.NewQueue[acquire](view.Service.Queue), pools: map[string]*pool{},
	}, nil
}

// Update brings new documents into force.
func (s *Service) Update(ctx context.Context, view balance.View) error {
	return s.inbox.Send(ctx, update{view: view})
}

// Status returns what operators see of the service.
func (s *Service) Status(ctx context.Context) (ServiceStatus, error) {
	return task.Ask(ctx, s.inbox, func(reply chan<- ServiceStatus) any { return inspect{reply: reply} })
}

// Run is the body of the service's task. It ends after the context has ended and all pools have.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.ended)
	s.syncPools(ctx)
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
		case <-done:
			done, stopping = nil, true
			s.stopPools()
		}
		s.serveWaiting()
	}
	return nil
}

// arm sets the timer to the next timeout of a server.
func (s *Service) arm(timer *time.Timer) {
	if due, ok := s.fleet.Deadline(); ok {
		timer.Reset(time.Until(due))
		return
	}
	timer.Reset(time.Hour)
}

func (s *Service) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case acquire:
		s.acquire(m)
	case withdraw:
		s.withdraw(m)
	case release:
		s.fleet.Done(time.Now(), m.grant, m.result)
	case update:
		s.view = m.view
		s.fleet.Update(time.Now(), m.view)
		s.queue.SetLimits(m.view.Service.Queue)
		s.syncPools(ctx)
	case inspect:
		m.reply <- ServiceStatus{Service: s.name, Waiting: s.queue.Len(), Servers: s.fleet.Status()}
	case poolEnded:
		s.open--
	}
}

func (s *Service) acquire(m acquire) {
	s.ticket++
	m.ticket <- s.ticket
	if s.grant(m) {
		return
	}
	if !s.fleet.Possible(m.want) {
		m.reply <- acquired{err: fault.New(fault.NoServer, "check the backend servers with: fuchsiahub status",
			"no backend server of service %q may take the request now", s.name).Refused(retryAfter)}
		return
	}
	err := s.queue.Add(admit.Waiter[acquire]{
		Ticket: s.ticket, Tenant: m.tenant, Priority: m.policy.Route.Priority, Deadline: m.deadline, Since: time.Now(), Payload: m,
	})
	if err != nil {
		m.reply <- acquired{err: fault.As(err).Refused(retryAfter)}
	}
}

// grant answers an acquire when a server has room.
func (s *Service) grant(m acquire) bool {
	g, ok := s.fleet.Pick(time.Now(), s.rnd, m.want)
	if !ok {
		return false
	}
	m.reply <- acquired{grant: g, pool: s.pools[g.Server].Pool}
	return true
}

// withdraw refuses a request whose caller has gone or whose time is over, if it still waits. Otherwise its answer is
// on the way already.
func (s *Service) withdraw(m withdraw) {
	if w, ok := s.queue.Remove(m.ticket); ok {
		w.Payload.reply <- acquired{err: fault.New(fault.DeadlineExceeded, "allow more time or send the request again later",
			"no backend server had room before the deadline").Refused(retryAfter)}
	}
}

// serveWaiting grants waiting requests in order while servers have room.
func (s *Service) serveWaiting() {
	for {
		if _, ok := s.queue.Next(func(w admit.Waiter[acquire]) bool { return s.grant(w.Payload) }); !ok {
			return
		}
	}
}

// syncPools starts a pool for each server and stops the pools of servers that are gone.
func (s *Service) syncPools(ctx context.Context) {
	named := map[string]bool{}
	for _, server := range s.view.Servers {
		named[server.Name] = true
		if known, ok := s.pools[server.Name]; ok && known.address == server.Address {
			continue
		} else if ok {
			known.stop()
		}
		s.startPool(ctx, server.Name, server.Address)
	}
	for name, p := range s.pools {
		if !named[name] {
			p.stop()
			delete(s.pools, name)
		}
	}
}

func (s *Service) startPool(ctx context.Context, name, address string) {
	p, err := backend.NewPool(address, s.dial, backend.Resize{Limit: s.view.Service.Servers.Connections, Spare: spareConnections})
	if err != nil {
		s.log.Error("backend server has no pool", "service", s.name, "server", name, "error", err)
		return
	}
	poolCtx, stop := context.WithCancel(ctx)
	s.pools[name] = &pool{Pool: p, address: address, stop: stop}
	s.open++
	go func() {
		_ = p.Run(poolCtx) // Run has no error to report
		_ = s.inbox.Send(context.Background(), poolEnded{})
	}()
}

func (s *Service) stopPools() {
	for _, p := range s.pools {
		p.stop()
	}
}

// take asks for a server and waits until there is one, the request is refused or its time is over.
func (s *Service) take(ctx context.Context, m acquire) acquired {
	reply := make(chan acquired, 1)
	ticket := make(chan admit.Ticket, 1)
	m.reply, m.ticket = reply, ticket
	if err := s.inbox.Offer(m); err != nil {
		return acquired{err: fault.As(err).Refused(retryAfter)}
	}
	select {
	case a := <-reply:
		return a
	case <-s.ended:
		return acquired{err: stopped(s.name)}
	case <-ctx.Done():
	}
	return s.giveUp(reply, ticket)
}

// giveUp withdraws a request that waits. The task answers every acquire, so the reply always comes.
func (s *Service) giveUp(reply <-chan acquired, ticket <-chan admit.Ticket) acquired {
	select {
	case t := <-ticket:
		s.inbox.SendUntil(s.ended, withdraw{ticket: t})
	case <-s.ended:
		return acquired{err: stopped(s.name)}
	}
	select {
	case a := <-reply:
		return a
	case <-s.ended:
		return acquired{err: stopped(s.name)}
	}
}

func stopped(service string) error {
	return fault.New(fault.Stopping, "send the request to another instance", "service %q is no longer served here", service).Refused(0)
}

// giveBack returns a grant. It blocks while the mailbox is full: losing the message would leak a slot.
func (s *Service) giveBack(g balance.Grant, r balance.Result) {
	s.inbox.SendUntil(s.ended, release{grant: g, result: r})
}
