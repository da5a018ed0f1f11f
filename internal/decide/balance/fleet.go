package balance

import (
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Place is where an instance runs.
type Place struct{ Region, Zone string }

// View is what a fleet is built from: documents in force and the place of the instance.
type View struct {
	Service *document.Service
	// Servers lists the backend servers, from the document or from the platform.
	Servers []document.Server
	// Zones is the fleet document.
	Zones *document.Fleet
	Self  Place
	// NoKeepers says that no keeper grants slots: the cold allowance then applies per instance. It is for a fleet of
	// one instance and for experiments.
	NoKeepers bool
	// Instances is the number of live instances and Neighbours the number of those in the own region, this one
	// included. Zero means one.
	Instances, Neighbours int
}

// Want describes the request that needs a server.
type Want struct {
	// Regions are the only regions that may serve the request; nil means all.
	Regions []string
	// CrossRegion allows servers outside the own region.
	CrossRegion bool
	// Avoid lists servers that already failed this request.
	Avoid []string
	// Wait is how long the request is expected to wait for a better server.
	Wait time.Duration
}

// Grant is the right to send one request to one server. Every grant is returned with Done.
type Grant struct {
	Server  string
	Address string
	Zone    string
	At      time.Time
}

// Result is how a granted request ended.
type Result struct {
	Fate    call.Fate
	Latency time.Duration
	// Failed is true for a connection error and for an answer that reports a fault of the server.
	Failed bool
	// Shed is true when the server refused the request for overload.
	Shed bool
	// Draining is true when the server said that it is leaving.
	Draining bool
	// Refused is true when the server did not accept a connection.
	Refused bool
	// Incarnation is what the server said about its start; empty when it said nothing.
	Incarnation string
	// Running and Slots are the load that the server reported; Slots is zero when it reported none.
	Running, Slots int
	// Cancelled is true when the instance gave the request up; it says nothing about the server's health.
	Cancelled bool
}

// Fleet is the state of one service at one instance.
type Fleet struct {
	view    View
	tuning  Tuning
	bound   *chart.Bound[*server]
	inZone  *chart.Bound[*zone]
	servers map[string]*server
	order   []*server
	zones   map[string]*zone
	shards  map[string]*shard
	// backlog is the number of requests that wait at this instance.
	backlog int
	// notices are signs that other instances have not heard of.
	notices []Notice
	// changes are changes of state that were not taken yet, and changesLost counts those beyond maxChanges.
	changes     []Change
	changesLost int
	// typical is the moving average of the latency of all servers.
	typical time.Duration
}

// Charts are the lifecycles that a fleet runs.
type Charts struct{ Backend, Zone *chart.Chart }

// New returns a fleet with the default tuning.
func New(ch Charts, now time.Time, view View) (*Fleet, error) {
	return NewTuned(ch, now, view, DefaultTuning())
}

// NewTuned returns a fleet with a tuning of its own, for experiments.
func NewTuned(ch Charts, now time.Time, view View, tuning Tuning) (*Fleet, error) {
	bound, err := bind(ch.Backend)
	if err != nil {
		return nil, err
	}
	inZone, err := bindZone(ch.Zone)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		tuning: tuning, bound: bound, inZone: inZone, servers: map[string]*server{}, zones: map[string]*zone{},
		shards: map[string]*shard{}, typical: unknownLatency,
	}
	f.Update(now, view)
	return f, nil
}

// Update brings new documents into force. Servers that stay keep their state.
func (f *Fleet) Update(now time.Time, view View) {
	f.view = view
	f.SetInstances(view.Instances, view.Neighbours)
	f.updateZones(now)
	named := map[string]bool{}
	for _, s := range view.Servers {
		named[s.Name] = true
		known, ok := f.servers[s.Name]
		if !ok || known.spec.Address != s.Address {
			known = newServer(f, now)
			f.servers[s.Name] = known
		}
		known.update(s)
	}
	for name, s := range f.servers {
		if !named[name] {
			s.fire(now, "removed")
			delete(f.servers, name)
		}
	}
	f.order = f.order[:0]
	for _, s := range f.servers {
		f.order = append(f.order, s)
	}
	slices.SortFunc(f.order, func(a, b *server) int { return strings.Compare(a.spec.Name, b.spec.Name) })
}

func (f *Fleet) updateZones(now time.Time) {
	for _, s := range f.view.Servers {
		z, ok := f.zones[s.Zone]
		if !ok {
			z = newZone(f, now, s.Zone, f.view.Zones.IsOut(s.Zone))
			f.zones[s.Zone] = z
		}
		z.set(now, f.view.Zones.IsOut(s.Zone))
	}
}

// mayEject reports whether one more server may be ejected.
func (f *Fleet) mayEject() bool {
	ejected := 1
	for _, s := range f.order {
		if s.machine.In("ejected") {
			ejected++
		}
	}
	return ejected*ejectedShare <= len(f.order)
}

// fallback is this instance's share of the slots of a warm server when its keeper does not respond.
func (f *Fleet) fallback(s *server) int {
	sharers := f.view.Instances
	if f.tuning.RegionShare && f.distance(s) != farRegion {
		sharers = f.view.Neighbours
	}
	return (s.slots + sharers - 1) / sharers
}

func (f *Fleet) sample(latency time.Duration) {
	f.typical += (latency - f.typical) / usualWeight
}

// Capacity is how many requests this instance may have in flight now inside its region.
func (f *Fleet) Capacity(now time.Time) int {
	total := 0
	for _, s := range f.order {
		if f.distance(s) != farRegion {
			total += s.allowance(now)
		}
	}
	return total
}

// Pace is the expected time between two slots that become free inside the region.
func (f *Fleet) Pace(now time.Time) time.Duration {
	return f.typical / time.Duration(max(1, f.Capacity(now)))
}

// Typical is the moving average of the time that a server takes for a request.
func (f *Fleet) Typical() time.Duration { return f.typical }

// Room is what one server may get of this instance now.
type Room struct {
	Server    string
	Allowance int
	InFlight  int
}

// Rooms returns the room at each server, in the order of their names.
func (f *Fleet) Rooms(now time.Time) []Room {
	rooms := make([]Room, 0, len(f.order))
	for _, s := range f.order {
		rooms = append(rooms, Room{Server: s.spec.Name, Allowance: s.allowance(now), InFlight: s.inFlight})
	}
	return rooms
}

// Done returns a grant with the result of its request.
func (f *Fleet) Done(now time.Time, g Grant, r Result) {
	s, ok := f.servers[g.Server]
	if !ok {
		return
	}
	s.done(now, g, r)
}

// Tick raises the timeouts that are due.
func (f *Fleet) Tick(now time.Time) {
	for _, z := range f.zones {
		z.machine.Tick(now)
	}
	for _, s := range f.order {
		s.machine.Tick(now)
	}
}

// Deadline returns when Tick is needed next, and false when it is not. The end of a lease is included, because the
// fallback share opens room then.
func (f *Fleet) Deadline(now time.Time) (time.Time, bool) {
	var first time.Time
	consider := func(due time.Time) {
		if first.IsZero() || due.Before(first) {
			first = due
		}
	}
	for _, z := range f.zones {
		if due, ok := z.machine.Deadline(); ok {
			consider(due)
		}
	}
	for _, s := range f.order {
		if due, ok := s.machine.Deadline(); ok {
			consider(due)
		}
	}
	for _, sh := range f.shards {
		if sh.live(now) {
			consider(sh.until)
		}
	}
	return first, !first.IsZero()
}
