package node

import (
	"context"
	"log/slog"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/keeper"
	"fuchsiahub.example/fuchsiahub/internal/decide/member"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/peer"
	"fuchsiahub.example/fuchsiahub/internal/peerpb"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

const (
	// holderCapacity is the mailbox size of the holder task.
	holderCapacity = 1024
	// serviceCallTimeout bounds one call to a service task of this instance: for its demand or to deliver a lease.
	serviceCallTimeout = 250 * time.Millisecond
	// leaseTimeout bounds one lease request to a keeper. Two fit into a lease term.
	leaseTimeout = 500 * time.Millisecond
	// holderSyncInterval is how often the list of shards is compared with the documents.
	holderSyncInterval = time.Second
	// minScanInterval is the minimum interval between two scans of all shards. A scan after each message would make
	// the cost quadratic in the number of shards.
	minScanInterval = 10 * time.Millisecond
)

// LeasedService is the part of a service task that the holder task calls. Service implements it.
type LeasedService interface {
	// Demand returns what the service needs from the shard in a zone. The service stops using the slots that the
	// demand does not list as held, whether or not the keeper receives the demand.
	Demand(ctx context.Context, zone string) (balance.Demand, error)
	// Lease applies the keeper's grants. They replace all earlier grants of the zone.
	Lease(ctx context.Context, lease balance.ShardLease) error
	// Notice delivers a change that the keeper observed on a server.
	Notice(ctx context.Context, notice balance.Notice) error
	// Shortage is signalled when a lease request is due before the next interval.
	Shortage() <-chan struct{}
}

// HolderConfig holds the settings and dependencies of a holder task.
type HolderConfig struct {
	Self  member.Instance
	Peers peer.Caller
	// LocalKeeper answers the lease requests for shards that this instance keeps.
	LocalKeeper func(ctx context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error)
	// Owners returns the keeper of each shard, as far as it is known.
	Owners func() map[keeper.Key]string
	View   func() *member.View
	// Docs returns the documents in force, or nil if there are none yet.
	Docs func() *Documents
	// Service returns the task of a service, and false if the service does not run here.
	Service func(name string) (LeasedService, bool)
	Log     *slog.Logger
}

// Holder is the task that leases slots from the keepers for the service tasks of this instance.
type Holder struct {
	HolderConfig
	id    session.Identity
	inbox *task.Mailbox[any]
	ended chan struct{}
	pendingCalls

	docs      *Documents
	clients   map[keeper.Key]*shardClient
	listeners map[string]*shortageListener
	// hints are the keepers that other instances named, for shards whose keeper is not known here.
	hints map[keeper.Key]string
	// nextScan is the earliest time at which a shard is known to be due.
	nextScan time.Time
	// lastScan is the time of the last scan of all shards.
	lastScan time.Time
	leaving  bool
}

// shardClient is the client of one shard, with the notices that the service task already has.
type shardClient struct {
	*keeper.Client
	deliveredNotices map[string]balance.Notice
	// calling is true during a call to the service task. A demand that overtakes the delivery of a lease would report
	// to the keeper that the lease is not held.
	calling bool
}

// shortageListener is the goroutine that forwards the Shortage signals of a service.
type shortageListener struct {
	leasedService LeasedService
	stop          context.CancelFunc
}

// Messages to a holder task.
type (
	shortageUpdate struct {
		service       string
		leasedService LeasedService
	}
	demandResult struct {
		key    keeper.Key
		demand balance.Demand
		err    error
	}
	leaseResult struct {
		key  keeper.Key
		sent time.Time
		// to is the instance that the request was sent to.
		to       string
		sequence uint64
		out      *peerpb.LeaseReply
		err      error
	}
	deliveryResult struct {
		key keeper.Key
		err error
	}
	leaveLeasesRequest struct{}
)

// NewHolder returns the task. Run starts it.
func NewHolder(config HolderConfig) *Holder {
	h := &Holder{
		HolderConfig: config, id: session.Identity{Instance: config.Self.Name, Incarnation: config.Self.Incarnation},
		inbox: task.NewMailbox[any]("holder", holderCapacity), ended: make(chan struct{}),
		clients: map[keeper.Key]*shardClient{}, listeners: map[string]*shortageListener{}, hints: map[keeper.Key]string{},
	}
	h.pendingCalls.inbox = h.inbox
	return h
}

// Leave releases every idle slot. The task continues to renew the busy ones until its context ends.
func (h *Holder) Leave(ctx context.Context) error { return h.inbox.Send(ctx, leaveLeasesRequest{}) }

// Run is the task's main loop. It returns after the context and all calls have ended.
func (h *Holder) Run(ctx context.Context) error {
	defer close(h.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	sync := time.NewTicker(holderSyncInterval)
	defer sync.Stop()
	h.sync(ctx)
	done, running := ctx.Done(), true
	for running || h.inFlight > 0 {
		select {
		case m := <-h.inbox.C():
			h.handle(ctx, time.Now(), m)
		case <-sync.C:
			h.sync(ctx)
		case <-timer.C:
			h.scan(ctx, time.Now(), running)
		case <-done:
			done, running = nil, false
		}
		timer.Reset(time.Until(laterOf(h.nextScan, h.lastScan.Add(minScanInterval))))
	}
	return nil
}

// sync updates the shards and the services to the documents in force.
func (h *Holder) sync(ctx context.Context) {
	docs := h.Docs()
	if docs == nil || ctx.Err() != nil {
		return
	}
	for name := range docs.Services {
		h.listen(ctx, name)
	}
	if docs == h.docs {
		return
	}
	h.docs = docs
	wanted := map[keeper.Key]bool{}
	for name, doc := range docs.Services {
		for _, server := range docs.servers(doc) {
			key := keeper.Key{Service: name, Zone: server.Zone}
			wanted[key] = true
			if h.clients[key] == nil {
				h.clients[key] = &shardClient{Client: keeper.NewClient(key, h.id), deliveredNotices: map[string]balance.Notice{}}
			}
		}
	}
	for key := range h.clients {
		if !wanted[key] {
			delete(h.clients, key)
		}
	}
	for name, s := range h.listeners {
		if docs.Services[name] == nil {
			s.stop()
			delete(h.listeners, name)
		}
	}
}

// listen forwards the signals of a service that is short of slots. It replaces the listener if the task of the
// service was replaced.
func (h *Holder) listen(ctx context.Context, name string) {
	leasedService, ok := h.Service(name)
	known := h.listeners[name]
	if !ok || known != nil && known.leasedService == leasedService {
		return
	}
	if known != nil {
		known.stop()
	}
	signalCtx, stop := context.WithCancel(ctx)
	h.listeners[name] = &shortageListener{leasedService: leasedService, stop: stop}
	h.inFlight++
	go func() {
		defer stop()
		for {
			select {
			case <-leasedService.Shortage():
				_ = h.inbox.Send(signalCtx, shortageUpdate{service: name, leasedService: leasedService}) // fails only after the context has ended
			case <-signalCtx.Done():
				_ = h.inbox.Send(context.Background(), callResult{}) // never fails: the context does not end
				return
			}
		}
	}()
}

func (h *Holder) handle(ctx context.Context, now time.Time, m any) {
	switch m := m.(type) {
	case callResult:
		h.handle(ctx, now, h.done(m))
	case shortageUpdate:
		h.expedite(now, func(key keeper.Key) bool { return key.Service == m.service })
	case demandResult:
		h.withClient(m.key, func(c *shardClient) { h.sendLeaseRequest(ctx, now, c, m) })
	case leaseResult:
		h.withClient(m.key, func(c *shardClient) { h.handleLeaseResult(ctx, now, c, m) })
	case deliveryResult:
		h.withClient(m.key, func(c *shardClient) { h.handleDelivery(c, m) })
	case leaveLeasesRequest:
		h.leaving = true
		h.expedite(now, func(keeper.Key) bool { return true })
	}
}

func (h *Holder) expedite(now time.Time, matches func(keeper.Key) bool) {
	for key, c := range h.clients {
		if matches(key) {
			c.Expedite(now)
			h.schedule(c)
		}
	}
}

// withClient handles a message about a shard, unless the documents no longer list the shard.
func (h *Holder) withClient(key keeper.Key, handle func(*shardClient)) {
	if c := h.clients[key]; c != nil {
		handle(c)
		h.schedule(c)
	}
}

// schedule brings the next scan forward if the shard is due before it.
func (h *Holder) schedule(c *shardClient) {
	if due, idle := c.NextExchange(); idle && !c.calling && due.Before(h.nextScan) {
		h.nextScan = due
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// scan starts a lease request for each shard that is due. After the context has ended it starts none.
func (h *Holder) scan(ctx context.Context, now time.Time, running bool) {
	h.nextScan, h.lastScan = now.Add(holderSyncInterval), now
	for key, c := range h.clients {
		if due, idle := c.NextExchange(); running && idle && !c.calling && !due.After(now) {
			h.requestDemand(ctx, now, key, c)
		}
		h.schedule(c)
	}
}

// requestDemand requests the demand of a service for a shard.
func (h *Holder) requestDemand(ctx context.Context, now time.Time, key keeper.Key, c *shardClient) {
	leasedService, ok := h.Service(key.Service)
	if !ok {
		c.Postpone(now)
		return
	}
	c.calling = true
	h.start(ctx, serviceCallTimeout, func(ctx context.Context) any {
		d, err := leasedService.Demand(ctx, key.Zone)
		return demandResult{key: key, demand: d, err: err}
	})
}

// sendLeaseRequest sends the demand of a service to the keeper of the shard.
func (h *Holder) sendLeaseRequest(ctx context.Context, now time.Time, c *shardClient, m demandResult) {
	c.calling = false
	to, known := h.keeperOf(m.key)
	if m.err != nil || !known {
		c.Postpone(now)
		return
	}
	req, ok := c.NextRequest(now, m.demand, h.leaving)
	if !ok {
		return
	}
	in := encodeLeaseRequest(h.Self, m.key, req)
	h.start(ctx, leaseTimeout, func(ctx context.Context) any {
		reply := leaseResult{key: m.key, sent: now, to: to, sequence: req.Sequence}
		if to == h.id.Instance {
			reply.out, reply.err = h.LocalKeeper(ctx, in)
		} else {
			reply.out, reply.err = h.Peers.Lease(ctx, to, in)
		}
		return reply
	})
}

// keeperOf returns the instance to which the lease requests of a shard are sent: the keeper or, while that is unknown,
// the instance that another one named as keeper, or else the instance that would claim the shard, which may know the
// keeper.
func (h *Holder) keeperOf(key keeper.Key) (string, bool) {
	if name, ok := h.Owners()[key]; ok {
		return name, true
	}
	if name, ok := h.hints[key]; ok {
		return name, true
	}
	region := h.docs.Fleet.RegionOf(key.Zone)
	candidate, ok := member.Rendezvous(key.String(), h.View().In(region))
	return candidate.Name, ok
}

// handleLeaseResult handles the keeper's reply. Without a valid reply the lease expires and the service falls back to
// operating without a lease.
func (h *Holder) handleLeaseResult(ctx context.Context, now time.Time, c *shardClient, m leaseResult) {
	delete(h.hints, m.key)
	if m.err == nil && m.out.GetNotKeeper() && m.out.GetKeeper() != "" && m.out.GetKeeper() != m.to {
		h.hints[m.key] = m.out.GetKeeper()
	}
	if m.err != nil || m.out.GetNotKeeper() {
		c.HandleFailure(m.sequence)
		return
	}
	reply, err := decodeLeaseReply(m.key, m.out)
	if err != nil {
		h.Log.Warn("malformed lease reply", "keeper", m.to, "error", err)
		c.HandleFailure(m.sequence)
		return
	}
	lease, ok := c.HandleReply(now, m.sent, m.sequence, reply)
	if leasedService, served := h.Service(m.key.Service); served && ok {
		c.calling = true
		h.deliver(ctx, leasedService, m.key, lease, c.newNotices(reply))
	}
}

// deliver sends a lease and the notices of changed servers to the service task.
func (h *Holder) deliver(ctx context.Context, leasedService LeasedService, key keeper.Key, lease balance.ShardLease, notices []balance.Notice) {
	h.start(ctx, serviceCallTimeout, func(ctx context.Context) any {
		for _, n := range notices {
			if err := leasedService.Notice(ctx, n); err != nil {
				return deliveryResult{key: key, err: err}
			}
		}
		return deliveryResult{key: key, err: leasedService.Lease(ctx, lease)}
	})
}

func (h *Holder) handleDelivery(c *shardClient, m deliveryResult) {
	c.calling = false
	if m.err != nil {
		h.Log.Warn("lease not delivered to service", "shard", m.key.String(), "error", m.err)
		clear(c.deliveredNotices) // the next reply is delivered with the states of all servers
	}
}

// newNotices returns the server states that the service task does not have yet. A grant that is not cold already
// implies that its server is ready.
func (c *shardClient) newNotices(reply keeper.Reply) []balance.Notice {
	for _, g := range reply.Grants {
		if !g.Cold {
			c.deliveredNotices[g.Server] = balance.Notice{Server: g.Server, Incarnation: g.Incarnation, State: balance.Ready}
		}
	}
	var list []balance.Notice
	for _, s := range reply.Servers {
		n := balance.Notice{Server: s.Server, Incarnation: s.Incarnation, State: s.State}
		if c.deliveredNotices[s.Server] != n {
			c.deliveredNotices[s.Server] = n
			list = append(list, n)
		}
	}
	return list
}

var _ LeasedService = (*Service)(nil)
