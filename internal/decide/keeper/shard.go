package keeper

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/decide/session"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

const (
	// LeaseTerm is how long a grant is valid, on the holder's clock and from the time at which it sent the request.
	LeaseTerm = 2 * time.Second
	// GracePeriod is how long a keeper counts a grant: the term and a margin for clocks whose rates differ by up to a
	// fifth. A new keeper grants nothing for this time.
	GracePeriod = LeaseTerm + 400*time.Millisecond
	// GrantBatch is the largest number of slots that one reply adds to those that an instance holds. Small batches leave
	// slots to other instances.
	GrantBatch = 4
)

// HeldSlots is how many slots of one server an instance holds.
type HeldSlots struct {
	Server string
	Slots  int
	// Busy is how many requests of the instance are in flight at the server.
	Busy int
}

// Request is a lease request of an instance. It lists all slots that the instance holds.
type Request struct {
	Holder session.Identity
	// Sequence grows with each request of the holder to this shard. A request with a lower one arrived late and is refused.
	Sequence uint64
	// Want is how many additional slots the instance could use now.
	Want    int
	Held    []HeldSlots
	Reports []balance.Report
	// Leaving is true when the instance is stopping and returns all slots that are not busy.
	Leaving bool
}

// Reply is the keeper's reply. Its grants replace all earlier ones of the instance.
type Reply struct {
	Epoch  uint64
	Term   time.Duration
	Grants []balance.SlotGrant
	// Servers holds the state of each server. A server with a grant that is not cold is omitted, because the grant implies
	// that it is ready and names its incarnation.
	Servers []balance.Report
}

// Shard is the keeper's side of one shard. It is owned by one task.
type Shard struct {
	key        Key
	entry      Entry
	leaseChart *Chart
	servers    []*server
	holders    map[session.Identity]*holder
	// closed is true after the shard has been handed over.
	closed bool
}

// NewShard returns a shard that has just been taken. Warm lists the servers that the previous keeper handed over as
// warm; all others are presumed cold.
func NewShard(leaseChart *Chart, now time.Time, key Key, entry Entry, servers []Server, warm []WarmServer) *Shard {
	s := &Shard{key: key, entry: entry, leaseChart: leaseChart, holders: map[session.Identity]*holder{}}
	s.SetServers(now, servers)
	for _, srv := range s.servers {
		for _, w := range warm {
			if w.Server == srv.spec.Name {
				srv.handedOver, srv.incarnation = true, w.Incarnation
			}
		}
	}
	return s
}

// Entry returns the entry of the shard in the table of keepers.
func (s *Shard) Entry() Entry { return s.entry }

// SetServers replaces the list of servers. A server whose address changes counts as a new server that starts cold.
func (s *Shard) SetServers(now time.Time, servers []Server) {
	next := make([]*server, 0, len(servers))
	for _, spec := range servers {
		srv, ok := s.find(spec.Name)
		if !ok {
			srv = newServer(s.leaseChart, now, spec)
		}
		if srv.spec.Address != spec.Address {
			srv.presumeRestart(now)
		}
		srv.spec = spec
		next = append(next, srv)
	}
	slices.SortFunc(next, func(a, b *server) int { return strings.Compare(a.spec.Name, b.spec.Name) })
	for _, srv := range s.servers {
		if !slices.Contains(next, srv) {
			srv.fire(now, "removed")
		}
	}
	s.servers = next
}

func (s *Shard) find(name string) (*server, bool) {
	for _, srv := range s.servers {
		if srv.spec.Name == name {
			return srv, true
		}
	}
	return nil, false
}

// Tick fires the timeouts that are due and drops expired accounts.
func (s *Shard) Tick(now time.Time) {
	for _, srv := range s.servers {
		srv.machine.Tick(now)
		srv.dropExpired(now)
	}
}

// HandleProbe handles the result of a probe.
func (s *Shard) HandleProbe(now time.Time, p ProbeResult) {
	if srv, ok := s.find(p.Server); ok {
		srv.handleProbe(now, p)
	}
}

// Close stops granting and returns the warm servers, to be handed over to the next keeper.
func (s *Shard) Close(now time.Time) []WarmServer {
	s.Tick(now)
	s.closed = true
	warm := []WarmServer{}
	for _, srv := range s.servers {
		if srv.machine.In("warm") && !srv.unreachable {
			warm = append(warm, WarmServer{Server: srv.spec.Name, Incarnation: srv.incarnation})
		}
	}
	return warm
}

// HandleRequest answers a request. Without valid authority over the shard it returns an error and grants nothing.
func (s *Shard) HandleRequest(now time.Time, authority session.Authority, req Request) (Reply, error) {
	if s.closed || authority.Generation != s.entry.Generation || !authority.Valid(now) {
		return Reply{}, fault.New(fault.Stopping, "ask the instance that the object keepers/"+s.key.Zone+" names",
			"shard %s is not kept here", s.key)
	}
	h := s.holder(now, req.Holder)
	if req.Sequence <= h.sequence {
		return Reply{}, fault.New(fault.BadPeer, "send each request with a higher sequence",
			"lease request %d of %s arrived after %d",
			req.Sequence, req.Holder.Instance, h.sequence)
	}
	h.sequence, h.lastSeen = req.Sequence, now
	s.Tick(now)
	for _, r := range req.Reports {
		if srv, ok := s.find(r.Server); ok {
			srv.handleReport(now, r)
		}
	}
	h.demand = s.reconcile(now, req)
	grants := s.grant(now, h, req)
	return Reply{Epoch: s.entry.Epoch, Term: LeaseTerm, Grants: grants, Servers: s.serverReports(grants)}, nil
}

func (s *Shard) holder(now time.Time, id session.Identity) *holder {
	h, ok := s.holders[id]
	if !ok {
		h = &holder{id: id, lastSeen: now}
		s.holders[id] = h
	}
	return h
}

// reconcile updates the accounts by the slots that the instance reports as held and returns its demand: the slots that it
// holds and those that it wants.
func (s *Shard) reconcile(now time.Time, req Request) int {
	demand := req.Want
	for _, srv := range s.servers {
		h := heldSlotsOf(req, srv.spec.Name)
		if h.Slots == 0 {
			delete(srv.accounts, req.Holder)
			continue
		}
		srv.accounts[req.Holder] = srv.accounts[req.Holder].reconcile(now, h)
		demand += h.Slots
	}
	if req.Leaving {
		return 0
	}
	return demand
}

// heldSlotsOf returns the slots of a server that the instance holds. Requests that the instance sent beyond its lease,
// because no keeper answered, count as held slots.
func heldSlotsOf(req Request, server string) HeldSlots {
	for _, h := range req.Held {
		if h.Server == server {
			h.Slots = max(h.Slots, h.Busy)
			return h
		}
	}
	return HeldSlots{}
}

// grant decides which slots the instance may use from now on. It first renews the slots that the instance holds and then
// adds up to GrantBatch slots, each from the server with the largest share of free slots.
func (s *Shard) grant(now time.Time, h *holder, req Request) []balance.SlotGrant {
	target := s.fairShare(now, s.capacity(), h)
	offers := s.offers(now, h, req)
	total := renewHeld(offers, target)
	target = min(target, total+GrantBatch)
	for total < target && addSlot(offers) {
		total++
	}
	return recordGrants(now, h.id, offers)
}

// capacity returns how many slots of all servers of the shard may be granted.
func (s *Shard) capacity() int {
	sum := 0
	for _, srv := range s.servers {
		sum += srv.allowance()
	}
	return sum
}

// offer is the grant to one instance on one server while it is being computed.
type offer struct {
	server *server
	held   HeldSlots
	// free is how many slots are not in use by any other instance.
	free  int
	slots int
}

// idle returns the share of the server's slots that stays free after the offer.
func (o *offer) idle() float64 { return float64(o.free-o.slots) / float64(max(1, o.server.spec.Slots)) }

// addSlot adds one slot on the server with the largest share of free slots. It returns false when no slot is free.
func addSlot(offers []*offer) bool {
	if len(offers) == 0 {
		return false
	}
	best := slices.MaxFunc(offers, func(a, b *offer) int { return cmp.Compare(a.idle(), b.idle()) })
	if best.slots >= best.free {
		return false
	}
	best.slots++
	return true
}

// offers returns an empty offer for each server with free slots. The servers at which the instance has the most requests
// in flight come first.
func (s *Shard) offers(now time.Time, h *holder, req Request) []*offer {
	var list []*offer
	for _, srv := range s.servers {
		free := srv.allowance() - srv.inForceExcept(now, h.id)
		if free > 0 {
			list = append(list, &offer{server: srv, held: heldSlotsOf(req, srv.spec.Name), free: free})
		}
	}
	slices.SortStableFunc(list, func(a, b *offer) int { return cmp.Compare(b.held.Busy, a.held.Busy) })
	return list
}

// renewHeld offers the held slots again, up to the target, and returns their number.
func renewHeld(offers []*offer, target int) int {
	total := 0
	for _, o := range offers {
		o.slots = min(o.held.Slots, o.free, target-total)
		total += o.slots
	}
	return total
}

// recordGrants turns the offers into grants, enters them into the accounts and returns them.
func recordGrants(now time.Time, id session.Identity, offers []*offer) []balance.SlotGrant {
	var grants []balance.SlotGrant
	for _, o := range offers {
		if o.slots == 0 {
			continue
		}
		a := o.server.accounts[id]
		a.granted = expiringSlots{slots: o.slots, expires: now.Add(GracePeriod)}
		o.server.accounts[id] = a
		grants = append(grants, balance.SlotGrant{
			Server: o.server.spec.Name, Incarnation: o.server.incarnation, Slots: o.slots, Cold: !o.server.machine.In("warm"),
		})
	}
	return grants
}

// serverReports reports the state of each server that has no warm grant.
func (s *Shard) serverReports(grants []balance.SlotGrant) []balance.Report {
	ready := map[string]bool{}
	for _, g := range grants {
		ready[g.Server] = !g.Cold
	}
	var list []balance.Report
	for _, srv := range s.servers {
		if ready[srv.spec.Name] {
			continue
		}
		list = append(list, balance.Report{
			Server: srv.spec.Name, Incarnation: srv.incarnation, State: srv.reportedState(),
			Running: srv.reportedRunning, Slots: srv.reportedSlots,
		})
	}
	return list
}
