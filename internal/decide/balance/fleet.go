package balance

import (
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Location is the region and availability zone of an instance.
type Location struct{ Region, Zone string }

// FleetConfig is the configuration of a fleet: the documents in force and the location and number of the instances.
type FleetConfig struct {
	Service *document.Service
	// Servers lists the backend servers from the service document or from the platform.
	Servers []document.Server
	// Zones is the fleet document, which lists regions and zones and the zones that are out.
	Zones *document.Fleet
	Self  Location
	// NoKeepers is true when no keeper grants slots; the cold allowance then applies per instance. It is meant for a
	// single instance and for experiments.
	NoKeepers bool
	// Instances is the number of live instances, and RegionInstances the number of live instances in the own region. Both
	// include this instance; zero means one.
	Instances, RegionInstances int
}

// Requirements are what a request requires of its server.
type Requirements struct {
	// Regions lists the regions that may serve the request; nil means all.
	Regions []string
	// CrossRegion allows servers outside the own region.
	CrossRegion bool
	// Avoid lists servers that already failed this request.
	Avoid []string
	// ExpectedWait is how long the request is expected to wait for a better server.
	ExpectedWait time.Duration
}

// Grant is the permission to send one request to one server. Every grant must be returned with Done.
type Grant struct {
	Server  string
	Address string
	Zone    string
	At      time.Time
}

// Result is the outcome of a request that was sent under a Grant.
type Result struct {
	Fate    call.Fate
	Latency time.Duration
	// Failed is true for a connection error and for an answer that reports a server error.
	Failed bool
	// Shed is true when the server refused the request because it was overloaded.
	Shed bool
	// Draining is true when the server reported that it is draining.
	Draining bool
	// ConnectionRefused is true when the server refused the connection.
	ConnectionRefused bool
	// Incarnation identifies the start of the server process; empty when the server did not report one.
	Incarnation string
	// Running and Slots are the load that the server reported; Slots is zero when it reported none.
	Running, Slots int
	// Cancelled is true when the instance cancelled the request; it is no evidence about the server's health.
	Cancelled bool
}

// Fleet holds the load-balancing state of one service at one instance.
type Fleet struct {
	config        FleetConfig
	tuning        Tuning
	backendChart  *chart.Bound[*server]
	zoneChart     *chart.Bound[*zone]
	servers       map[string]*server
	sortedServers []*server
	zones         map[string]*zone
	shards        map[string]*shard
	// backlog is the number of requests that are queued at this instance.
	backlog int
	// notices are observations that have not been sent to other instances yet.
	notices []Notice
	// changes buffers state transitions for TakeChanges, and droppedChanges counts those beyond maxChanges.
	changes        []Change
	droppedChanges int
	// typicalLatency is the moving average of the latency over all servers.
	typicalLatency time.Duration
}

// Charts holds the state charts that a fleet runs.
type Charts struct{ Backend, Zone *chart.Chart }

// New returns a fleet with the default tuning.
func New(ch Charts, now time.Time, config FleetConfig) (*Fleet, error) {
	return NewTuned(ch, now, config, DefaultTuning())
}

// NewTuned returns a fleet with the given tuning, for experiments.
func NewTuned(ch Charts, now time.Time, config FleetConfig, tuning Tuning) (*Fleet, error) {
	backendChart, err := bindBackend(ch.Backend)
	if err != nil {
		return nil, err
	}
	zoneChart, err := bindZone(ch.Zone)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		tuning: tuning, backendChart: backendChart, zoneChart: zoneChart, servers: map[string]*server{}, zones: map[string]*zone{},
		shards: map[string]*shard{}, typicalLatency: initialLatency,
	}
	f.Update(now, config)
	return f, nil
}

// Update applies new documents. Servers that remain listed at the same address keep their state.
func (f *Fleet) Update(now time.Time, config FleetConfig) {
	f.config = config
	f.SetInstances(config.Instances, config.RegionInstances)
	f.updateZones(now)
	listed := map[string]bool{}
	for _, s := range config.Servers {
		listed[s.Name] = true
		current, ok := f.servers[s.Name]
		if !ok || current.spec.Address != s.Address {
			current = newServer(f, now)
			f.servers[s.Name] = current
		}
		current.update(s)
	}
	for name, s := range f.servers {
		if !listed[name] {
			s.fire(now, "removed")
			delete(f.servers, name)
		}
	}
	f.sortedServers = f.sortedServers[:0]
	for _, s := range f.servers {
		f.sortedServers = append(f.sortedServers, s)
	}
	slices.SortFunc(f.sortedServers, func(a, b *server) int { return strings.Compare(a.spec.Name, b.spec.Name) })
}

func (f *Fleet) updateZones(now time.Time) {
	for _, s := range f.config.Servers {
		z, ok := f.zones[s.Zone]
		if !ok {
			z = newZone(f, now, s.Zone, f.config.Zones.IsZoneOut(s.Zone))
			f.zones[s.Zone] = z
		}
		z.setOut(now, f.config.Zones.IsZoneOut(s.Zone))
	}
}

// mayEject reports whether one more server may be ejected without exceeding maxEjectedShare.
func (f *Fleet) mayEject() bool {
	ejected := 1
	for _, s := range f.sortedServers {
		if s.machine.In("ejected") {
			ejected++
		}
	}
	return ejected*maxEjectedShare <= len(f.sortedServers)
}

// fallbackShare returns this instance's share of the slots of a warm server, which applies while the keeper is unreachable.
func (f *Fleet) fallbackShare(s *server) int {
	instances := f.config.Instances
	if f.tuning.RegionShare && f.distance(s) != otherRegion {
		instances = f.config.RegionInstances
	}
	return (s.slots + instances - 1) / instances
}

func (f *Fleet) observeLatency(latency time.Duration) {
	f.typicalLatency += (latency - f.typicalLatency) / typicalWeight
}

// Capacity returns how many requests this instance may have in flight inside its region now.
func (f *Fleet) Capacity(now time.Time) int {
	total := 0
	for _, s := range f.sortedServers {
		if f.distance(s) != otherRegion {
			total += s.allowance(now)
		}
	}
	return total
}

// SlotInterval returns the expected interval between two slots becoming free inside the region.
func (f *Fleet) SlotInterval(now time.Time) time.Duration {
	return f.typicalLatency / time.Duration(max(1, f.Capacity(now)))
}

// TypicalLatency returns the moving average of the latency over all servers.
func (f *Fleet) TypicalLatency() time.Duration { return f.typicalLatency }

// ServerAllowance is the number of requests that one server may run for this instance, and the number in flight.
type ServerAllowance struct {
	Server    string
	Allowance int
	InFlight  int
}

// Allowances returns the allowance and the requests in flight of each server, ordered by name.
func (f *Fleet) Allowances(now time.Time) []ServerAllowance {
	allowances := make([]ServerAllowance, 0, len(f.sortedServers))
	for _, s := range f.sortedServers {
		allowances = append(allowances, ServerAllowance{Server: s.spec.Name, Allowance: s.allowance(now), InFlight: s.inFlight})
	}
	return allowances
}

// Done returns a grant and records the result of its request.
func (f *Fleet) Done(now time.Time, g Grant, r Result) {
	s, ok := f.servers[g.Server]
	if !ok {
		return
	}
	s.done(now, g, r)
}

// Tick fires the state-chart timeouts that are due.
func (f *Fleet) Tick(now time.Time) {
	for _, z := range f.zones {
		z.machine.Tick(now)
	}
	for _, s := range f.sortedServers {
		s.machine.Tick(now)
	}
}

// Deadline returns when Tick is next needed, and false when no timeout is pending. It includes the expiry of leases,
// because the fallback share applies from then on and may allow more requests.
func (f *Fleet) Deadline(now time.Time) (time.Time, bool) {
	var earliest time.Time
	consider := func(due time.Time) {
		if earliest.IsZero() || due.Before(earliest) {
			earliest = due
		}
	}
	for _, z := range f.zones {
		if due, ok := z.machine.Deadline(); ok {
			consider(due)
		}
	}
	for _, s := range f.sortedServers {
		if due, ok := s.machine.Deadline(); ok {
			consider(due)
		}
	}
	for _, sh := range f.shards {
		if sh.leaseValid(now) {
			consider(sh.expiresAt)
		}
	}
	return earliest, !earliest.IsZero()
}
