package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/backend"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/admit"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/retry"
	"fuchsiahub.example/fuchsiahub/internal/decide/route"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// serviceCapacity bounds the messages that wait at a service task. A full mailbox refuses requests.
	serviceCapacity = 1024
	// retryAfter is what a refused caller is advised to wait when no estimate exists.
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
	extra extras
	pools map[string]*pool
	// short has a signal when a request waits or when notices are to be sent, for the task that talks to the keepers.
	short chan struct{}
	// open counts the pools whose task has not ended.
	open int
}

type pool struct {
	*backend.Pool
	address string
	size    backend.Resize
	stop    context.CancelFunc
}

// extras are the budgets for copies of requests beyond the first.
type extras struct {
	// lost pays for resends of requests that may have run, unsent for those that surely did not.
	lost, unsent, hedges *retry.Budget
	waits                retry.Waits
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

// acquired is the answer to acquire: a grant with the pool of its server, or a refusal.
type acquired struct {
	grant balance.Grant
	pool  *backend.Pool
	// hedgeAfter is the wait before a second copy may be sent; zero means that none may.
	hedgeAfter time.Duration
	err        error
}

// copyKind says which copy of a request asks for a server.
type copyKind int

const (
	firstCopy copyKind = iota
	// resendUnsent follows a copy that surely did not run.
	resendUnsent
	// resendLost follows a copy that may have run.
	resendLost
	// hedgeCopy is a second copy of a request that still runs.
	hedgeCopy
)

// ServiceStatus is what operators see of a service at one instance.
type ServiceStatus struct {
	Service string                 `json:"service"`
	Waiting int                    `json:"waiting"`
	Servers []balance.ServerStatus `json:"servers"`
}

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

func newExtras(doc *document.Service) extras {
	e := extras{lost: retry.NewBudget(0), unsent: retry.NewBudget(0), hedges: retry.NewBudget(0)}
	e.update(doc)
	return e
}

// update sets the shares. Resends of requests that did not run are possible even when the document forbids others,
// but they stay within a share, so that they cannot multiply an overload.
func (e *extras) update(doc *document.Service) {
	e.lost.SetShare(doc.Retry.Budget)
	e.unsent.SetShare(max(doc.Retry.Budget, document.DefaultRetryBudget))
	e.hedges.SetShare(doc.Hedge.Budget)
}

// tell sends a message and blocks while the mailbox is full, unless the task has ended.
func (s *Service) tell(m any) error {
	if !s.inbox.SendUntil(s.ended, m) {
		return stopped(s.name)
	}
	return nil
}

// Update brings new documents into force.
func (s *Service) Update(_ context.Context, view balance.View) error {
	return s.tell(update{view: view})
}

// Status returns what operators see of the service.
func (s *Service) Status(ctx context.Context) (ServiceStatus, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- ServiceStatus) any { return inspect{reply: reply} })
}

// Lease brings a keeper's grant into force.
func (s *Service) Lease(_ context.Context, l balance.Leased) error {
	return s.tell(lease{leased: l})
}

// Notice passes on what another instance saw of a server.
func (s *Service) Notice(_ context.Context, n balance.Notice) error {
	return s.tell(notice{notice: n})
}

// SetInstances tells how many instances are live, in all and in the own region.
func (s *Service) SetInstances(_ context.Context, live, neighbours int) error {
	return s.tell(instances{live: live, neighbours: neighbours})
}

// Demand returns what the service needs of the keeper of a zone. Idle slots above the reserve are given up by it, so
// the answer must reach the keeper or the lease run out.
func (s *Service) Demand(ctx context.Context, zone string) (balance.Demand, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- balance.Demand) any { return demand{zone: zone, reply: reply} })
}

// DueZones returns the zones whose keepers are to be asked now.
func (s *Service) DueZones(ctx context.Context) ([]string, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- []string) any { return dueZones{reply: reply} })
}

// changes are what the service's servers and zones went through, and how many more were lost.
type changes struct {
	list []balance.Change
	lost int
}

// Changes returns the changes of state of servers and zones since the last call, and how many more were lost.
func (s *Service) Changes(ctx context.Context) ([]balance.Change, int, error) {
	c, err := askUntil(ctx, s.ended, s.inbox, func(reply chan<- changes) any { return takeChanges{reply: reply} })
	return c.list, c.lost, err
}

// Notices returns what this instance saw of servers since the last call.
func (s *Service) Notices(ctx context.Context) ([]balance.Notice, error) {
	return askUntil(ctx, s.ended, s.inbox, func(reply chan<- []balance.Notice) any { return takeNotices{reply: reply} })
}

// Short has a signal when the keepers are to be asked now rather than at the next interval.
func (s *Service) Short() <-chan struct{} { return s.short }

// Run is the body of the service's task. It ends after the context has ended and all pools have.
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

// arm sets the timer to the next timeout of a server or of a request that waits.
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

// update keeps the number of live instances, which does not come with documents.
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

func (s *Service) pace(now time.Time) admit.Pace {
	return admit.Pace{Slot: s.fleet.Pace(now), Service: s.fleet.Typical()}
}

// acquire answers with a grant, queues the request or refuses it. A copy beyond the first needs a token of its
// budget. A hedge never waits: it is of use only at once.
func (s *Service) acquire(now time.Time, m acquire) {
	s.ticket++
	m.ticket <- s.ticket
	budget := s.extra.budget(m.copy)
	if budget != nil && !budget.Spend() {
		m.reply <- acquired{err: fault.New(fault.Overloaded, "send the request again later",
			"service %q has used up its budget of resends", s.name).Refused(retryAfter)}
		return
	}
	if m.copy == firstCopy {
		s.extra.earn()
	}
	if s.queue.Len() > 0 {
		m.want.Wait = s.queue.Wait(s.waiter(now, m), s.pace(now))
	}
	if s.grant(now, m) {
		return
	}
	if m.copy == hedgeCopy {
		budget.Refund()
		m.reply <- acquired{err: fault.New(fault.Overloaded, "wait for the first copy", "no other backend server has room").Refused(0)}
		return
	}
	s.wait(now, m)
}

// wait queues a request or refuses it.
func (s *Service) wait(now time.Time, m acquire) {
	if !s.fleet.Possible(now, m.want) {
		m.want.Avoid = nil // a server that failed this request before is better than none
	}
	if !s.fleet.Possible(now, m.want) {
		m.reply <- acquired{err: fault.New(fault.NoServer, "check the backend servers with: fuchsiahub status",
			"no backend server of service %q may take the request now", s.name).Refused(retryAfter)}
		return
	}
	evicted, err := s.queue.Add(now, s.waiter(now, m), s.pace(now))
	for _, w := range evicted {
		w.Payload.reply <- acquired{err: fault.New(fault.Overloaded, "send the request again later",
			"requests of higher priority or of other tenants took the place").Refused(s.queue.Wait(w, s.pace(now)))}
	}
	if err != nil {
		m.reply <- acquired{err: err}
	}
}

func (s *Service) waiter(now time.Time, m acquire) admit.Waiter[acquire] {
	w := admit.Waiter[acquire]{Ticket: s.ticket, Tenant: m.tenant, Deadline: m.deadline, Since: now, Payload: m}
	w.Priority = m.policy.Route.Priority
	if len(m.want.Avoid) == 0 {
		w.Class = m.policy.Route.Name + "\x00" + strings.Join(m.want.Regions, " ")
	}
	return w
}

// budget returns what pays for a copy, and nil for the first.
func (e *extras) budget(kind copyKind) *retry.Budget {
	return [...]*retry.Budget{firstCopy: nil, resendUnsent: e.unsent, resendLost: e.lost, hedgeCopy: e.hedges}[kind]
}

func (e *extras) earn() {
	e.lost.Earn()
	e.unsent.Earn()
	e.hedges.Earn()
}

// grant answers an acquire when a server has room.
func (s *Service) grant(now time.Time, m acquire) bool {
	g, ok := s.fleet.Pick(now, s.rnd, m.want)
	if !ok {
		return false
	}
	m.reply <- acquired{grant: g, pool: s.pools[g.Server].Pool, hedgeAfter: s.hedgeAfter(m)}
	return true
}

// hedgeAfter returns the wait before a second copy of the request may be sent, or zero.
func (s *Service) hedgeAfter(m acquire) time.Duration {
	doc := s.view.Service.Hedge
	if m.copy != firstCopy || !m.policy.Route.Hedge || doc.Budget == 0 {
		return 0
	}
	wait, _ := s.extra.waits.Percentile(doc.Percentile)
	return wait
}

// withdraw refuses a request whose caller has gone or whose time is over, if it still waits. Otherwise its answer is
// on the way already.
func (s *Service) withdraw(m withdraw) {
	if w, ok := s.queue.Remove(m.ticket); ok {
		s.refuseLate(w)
	}
}

func (s *Service) refuseLate(w admit.Waiter[acquire]) {
	w.Payload.reply <- acquired{err: fault.New(fault.DeadlineExceeded, "allow more time or send the request again later",
		"no backend server had room before the deadline").Refused(s.queue.Wait(w, s.pace(time.Now())))}
}

// serveWaiting grants waiting requests in order while servers have room, and refuses those that are too late.
func (s *Service) serveWaiting() {
	if s.queue.Len() == 0 {
		return
	}
	now := time.Now()
	for _, w := range s.queue.Expire(now, s.pace(now)) {
		s.refuseLate(w)
	}
	for {
		if _, ok := s.queue.Next(func(w admit.Waiter[acquire]) bool { return s.grantWaiting(now, w) }); !ok {
			return
		}
	}
}

// grantWaiting counts the time that the request has waited as what a better server may cost.
func (s *Service) grantWaiting(now time.Time, w admit.Waiter[acquire]) bool {
	m := w.Payload
	m.want.Wait = now.Sub(w.Since) + s.fleet.Pace(now)
	return s.grant(now, m)
}

// signalShort wakes the task that talks to the keepers. A signal that waits already covers this one.
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
	size := s.poolSize(balance.Room{Server: name})
	p, err := backend.NewPool(address, s.dial, size)
	if err != nil {
		s.log.Error("backend server has no pool", "service", s.name, "server", name, "error", err)
		return
	}
	poolCtx, stop := context.WithCancel(ctx)
	s.pools[name] = &pool{Pool: p, address: address, size: size, stop: stop}
	s.open++
	go func() {
		_ = p.Run(poolCtx) // Run has no error to report
		_ = s.inbox.Send(context.Background(), poolEnded{})
	}()
}

// poolSize returns this instance's share of the connections that a server bears from all instances, and how many are
// opened ahead of need: one for each request that may be sent at once. A server that may get no work keeps what is
// open and opens nothing.
func (s *Service) poolSize(room balance.Room) backend.Resize {
	share := max(1, s.view.Service.Servers.Connections/max(1, s.view.Instances))
	return backend.Resize{Limit: share, Spare: min(share, room.Allowance)}
}

// resizePools follows changes of leases, states and live instances.
func (s *Service) resizePools(ctx context.Context) {
	for _, room := range s.fleet.Rooms(time.Now()) {
		p, ok := s.pools[room.Server]
		if !ok {
			continue
		}
		if size := s.poolSize(room); size != p.size {
			p.size = size
			_ = p.Resize(ctx, size) // fails only when the service stops, and its pools with it
		}
	}
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
