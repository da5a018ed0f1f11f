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
	// Term is how long a grant holds, on the holder's clock from before it asked.
	Term = 2 * time.Second
	// GracePeriod is how long a keeper counts a grant: the term and a margin for clocks that run apart by a fifth. A new
	// keeper grants nothing for this time.
	GracePeriod = Term + 400*time.Millisecond
	// Batch is by how many slots one reply raises what an instance holds. Small batches leave slots to others.
	Batch = 4
)

// Held is what an instance keeps of one server.
type Held struct {
	Server string
	Slots  int
	// Busy is how many of the slots carry a request.
	Busy int
}

// Request is one exchange of an instance with the keeper. It says everything that the instance holds.
type Request struct {
	Holder session.Identity
	// Sequence grows with each request of the holder to this shard; a lower one arrived late and is refused.
	Sequence uint64
	// Want is how many more slots the instance could use now.
	Want    int
	Held    []Held
	Reports []balance.Report
	// Leaving is true when the instance stops and gives everything back that is not busy.
	Leaving bool
}

// Reply is the keeper's answer. Its grants replace all earlier ones.
type Reply struct {
	Epoch  uint64
	Term   time.Duration
	Grants []balance.SlotGrant
	// Servers says what the keeper knows about each server. A server with a grant that is not cold is left out: it is
	// ready and of the incarnation of the grant.
	Servers []balance.Report
}

// Shard is the keeper's side of one shard. It is owned by one task.
type Shard struct {
	key     Key
	entry   Entry
	bound   *Chart
	servers []*server
	holders map[session.Identity]*holder
	// closed is true after the shard was handed over.
	closed bool
}

// NewShard returns a shard that was just taken. Warm lists servers that the previous keeper handed over; all others
// are presumed cold.
func NewShard(bound *Chart, now time.Time, key Key, entry Entry, servers []Server, warm []Warm) *Shard {
	s := &Shard{key: key, entry: entry, bound: bound, holders: map[session.Identity]*holder{}}
	s.Update(now, servers)
	for _, known := range s.servers {
		for _, w := range warm {
			if w.Server == known.spec.Name {
				known.trusted, known.incarnation = true, w.Incarnation
			}
		}
	}
	return s
}

// Entry returns what the table says about the shard.
func (s *Shard) Entry() Entry { return s.entry }

// Update brings a list of servers into force. A server that moves to another address is a new one that starts cold.
func (s *Shard) Update(now time.Time, servers []Server) {
	next := make([]*server, 0, len(servers))
	for _, spec := range servers {
		known, ok := s.find(spec.Name)
		if !ok {
			known = newServer(s.bound, now, spec)
		}
		if known.spec.Address != spec.Address {
			known.restarted(now)
		}
		known.spec = spec
		next = append(next, known)
	}
	slices.SortFunc(next, func(a, b *server) int { return strings.Compare(a.spec.Name, b.spec.Name) })
	for _, known := range s.servers {
		if !slices.Contains(next, known) {
			known.fire(now, "removed")
		}
	}
	s.servers = next
}

func (s *Shard) find(name string) (*server, bool) {
	for _, known := range s.servers {
		if known.spec.Name == name {
			return known, true
		}
	}
	return nil, false
}

// Tick raises the timeouts that are due.
func (s *Shard) Tick(now time.Time) {
	for _, known := range s.servers {
		known.machine.Tick(now)
		known.expire(now)
	}
}

// Probed takes the result of a probe.
func (s *Shard) Probed(now time.Time, p Probe) {
	if known, ok := s.find(p.Server); ok {
		known.probed(now, p)
	}
}

// Close ends all granting and returns the servers that are warm, for the next keeper.
func (s *Shard) Close(now time.Time) []Warm {
	s.Tick(now)
	s.closed = true
	warm := []Warm{}
	for _, known := range s.servers {
		if known.machine.In("open") && !known.down {
			warm = append(warm, Warm{Server: known.spec.Name, Incarnation: known.incarnation})
		}
	}
	return warm
}

// Lease answers a request. It refuses without valid authority and grants nothing then.
func (s *Shard) Lease(now time.Time, authority session.Authority, req Request) (Reply, error) {
	if s.closed || authority.Generation != s.entry.Generation || !authority.Valid(now) {
		return Reply{}, fault.New(fault.Stopping, "ask the instance that the object keepers/"+s.key.Zone+" names", "shard %s is not kept here", s.key)
	}
	h := s.holder(now, req.Holder)
	if req.Sequence <= h.sequence {
		return Reply{}, fault.New(fault.BadPeer, "send each request with a higher sequence", "lease request %d of %s arrived after %d",
			req.Sequence, req.Holder.Instance, h.sequence)
	}
	h.sequence, h.seen = req.Sequence, now
	s.Tick(now)
	for _, r := range req.Reports {
		if known, ok := s.find(r.Server); ok {
			known.report(now, r)
		}
	}
	h.demand = s.confirm(now, req)
	grants := s.grant(now, h, req)
	return Reply{Epoch: s.entry.Epoch, Term: Term, Grants: grants, Servers: s.status(grants)}, nil
}

func (s *Shard) holder(now time.Time, id session.Identity) *holder {
	h, ok := s.holders[id]
	if !ok {
		h = &holder{id: id, seen: now}
		s.holders[id] = h
	}
	return h
}

// confirm takes what the instance holds and returns how many slots it could use.
func (s *Shard) confirm(now time.Time, req Request) int {
	demand := req.Want
	for _, known := range s.servers {
		h := heldOf(req, known.spec.Name)
		if h.Slots == 0 {
			delete(known.accounts, req.Holder)
			continue
		}
		known.accounts[req.Holder] = known.accounts[req.Holder].confirm(now, h)
		demand += h.Slots
	}
	if req.Leaving {
		return 0
	}
	return demand
}

// heldOf returns what the instance holds of a server. Requests that it sent beyond its lease, because no keeper
// answered, count as held.
func heldOf(req Request, server string) Held {
	for _, h := range req.Held {
		if h.Server == server {
			h.Slots = max(h.Slots, h.Busy)
			return h
		}
	}
	return Held{}
}

// grant decides what the instance may use from now on: first what it holds, then up to a batch more, always from the
// servers with the most room.
func (s *Shard) grant(now time.Time, h *holder, req Request) []balance.SlotGrant {
	target := s.share(now, s.capacity(), h)
	offers := s.offers(now, h, req)
	total := keep(offers, target)
	target = min(target, total+Batch)
	for total < target && extend(offers) {
		total++
	}
	return record(now, h.id, offers)
}

func (s *Shard) capacity() int {
	sum := 0
	for _, known := range s.servers {
		sum += known.allowance()
	}
	return sum
}

// offer is what one instance is about to get of one server.
type offer struct {
	server *server
	held   Held
	// free is how many slots no other instance can be using.
	free  int
	slots int
}

// room is how much more the instance could get, as a share of the server.
func (o *offer) room() float64 { return float64(o.free-o.slots) / float64(max(1, o.server.spec.Slots)) }

// extend adds one slot of the server with the most room and reports false when none has any.
func extend(offers []*offer) bool {
	if len(offers) == 0 {
		return false
	}
	best := slices.MaxFunc(offers, func(a, b *offer) int { return cmp.Compare(a.room(), b.room()) })
	if best.slots >= best.free {
		return false
	}
	best.slots++
	return true
}

func (s *Shard) offers(now time.Time, h *holder, req Request) []*offer {
	var list []*offer
	for _, known := range s.servers {
		free := known.allowance() - known.inForce(now, h.id)
		if free > 0 {
			list = append(list, &offer{server: known, held: heldOf(req, known.spec.Name), free: free})
		}
	}
	slices.SortStableFunc(list, func(a, b *offer) int { return cmp.Compare(b.held.Busy, a.held.Busy) })
	return list
}

// keep leaves the instance what it holds, up to its target, and returns how much that is.
func keep(offers []*offer, target int) int {
	total := 0
	for _, o := range offers {
		o.slots = min(o.held.Slots, o.free, target-total)
		total += o.slots
	}
	return total
}

// record enters the grants into the accounts and returns them.
func record(now time.Time, id session.Identity, offers []*offer) []balance.SlotGrant {
	var grants []balance.SlotGrant
	for _, o := range offers {
		if o.slots == 0 {
			continue
		}
		a := o.server.accounts[id]
		a.granted = claim{slots: o.slots, until: now.Add(GracePeriod)}
		o.server.accounts[id] = a
		grants = append(grants, balance.SlotGrant{
			Server: o.server.spec.Name, Incarnation: o.server.incarnation, Slots: o.slots, Cold: !o.server.machine.In("open"),
		})
	}
	return grants
}

func (s *Shard) status(grants []balance.SlotGrant) []balance.Report {
	ready := map[string]bool{}
	for _, g := range grants {
		ready[g.Server] = !g.Cold
	}
	var list []balance.Report
	for _, known := range s.servers {
		if ready[known.spec.Name] {
			continue
		}
		list = append(list, balance.Report{
			Server: known.spec.Name, Incarnation: known.incarnation, State: known.state(), Running: known.running, Slots: known.slots,
		})
	}
	return list
}
