package lab

import (
	"math"
	"math/rand/v2"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// world is the state of one run, which has one deployment, scenario, load and policy.
type world struct {
	*clock
	d        Deployment
	policy   Policy
	scenario Scenario
	seed     uint64
	load     float64
	charts   balance.Charts
	doc      *document.Service
	fleetDoc *document.Fleet
	servers  []*backendServer
	byName   map[string]*backendServer
	entries  []*entry
	keepers  map[string]*keeper
	// away contains the instances that callers do not reach.
	away    map[int]bool
	counted counts
}

const (
	// warmUp is the time at the start of a run that is not measured, because the state of the servers is not yet known.
	warmUp = 5 * time.Second
	// length is the duration of a run.
	length = 24 * time.Second
)

// Run executes one run and returns its measurements.
func Run(d Deployment, scenario Scenario, policy Policy, load float64, seed uint64) (Result, error) {
	w, err := newWorld(d, scenario, policy, load, seed)
	if err != nil {
		return Result{}, err
	}
	w.arrivals()
	if scenario.faults != nil {
		scenario.faults(w)
	}
	w.run(length)
	return w.counted.result(w), nil
}

func newWorld(d Deployment, scenario Scenario, policy Policy, load float64, seed uint64) (*world, error) {
	w := &world{
		clock: newClock(), d: d, policy: policy, scenario: scenario, seed: seed, load: load, doc: d.service(),
		fleetDoc: d.fleet(), byName: map[string]*backendServer{}, keepers: map[string]*keeper{}, away: map[int]bool{},
		counted: newCounts(),
	}
	var err error
	if w.charts.Backend, err = charts.Load("backend", charts.Params{"warm_up_step": w.doc.Servers.WarmUpStep}); err != nil {
		return nil, err
	}
	if w.charts.Zone, err = charts.Load("zone", nil); err != nil {
		return nil, err
	}
	for _, s := range w.doc.Servers.List {
		b := &backendServer{w: w, name: s.Name, zone: s.Zone, slots: w.doc.SlotsOf(s), factor: 1, up: true, starts: 1}
		w.servers = append(w.servers, b)
		w.byName[s.Name] = b
	}
	if policy.Keepers {
		for _, z := range d.zones() {
			w.keepers[z] = newKeeper(w, z)
		}
	}
	for i := range d.Instances {
		e, err := newEntry(w, i)
		if err != nil {
			return nil, err
		}
		w.entries = append(w.entries, e)
	}
	return w, nil
}

// neighbours returns the number of instances in a region.
func (w *world) neighbours(region string) int {
	n := 0
	zones := w.d.zones()
	for i := range w.d.Instances {
		if w.fleetDoc.RegionOf(zones[i%len(zones)]) == region {
			n++
		}
	}
	return n
}

func (w *world) hop(a, b string) time.Duration { return w.d.hop(a, b) }

// reply delivers the result of a copy to its instance after the network delay.
func (w *world) reply(s *backendServer, c *copied, r balance.Result) {
	w.after(w.hop(s.zone, c.r.entry.place.Zone), func() { c.r.entry.answer(c, r) })
}

// arrivals schedules the Poisson arrivals. They depend on the deployment, the load and the seed, not on the policy.
func (w *world) arrivals() {
	rnd := rand.New(rand.NewPCG(w.seed, 0))
	rate := w.load * w.d.capacity(w.d.Servers*w.d.Slots)
	var next func()
	next = func() {
		w.arrive(w.newRequest(rnd), rnd.IntN(w.d.Instances))
		w.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
}

// newRequest draws a request with a log-normal service time.
func (w *world) newRequest(rnd *rand.Rand) *request {
	median := float64(w.d.Service) * math.Exp(-spread*spread/2)
	r := &request{
		at: w.now, deadline: w.now.Add(requestDeadline), tenant: string(rune('a' + max(0, rnd.IntN(tenants)-1))),
		service: time.Duration(median * math.Exp(spread*rnd.NormFloat64())), idempotent: rnd.Float64() >= onceShare,
	}
	r.priority = document.Priority(rnd.IntN(2))
	r.want.CrossRegion = r.idempotent
	return r
}

// arrive delivers a request to an instance, or to the next one that callers reach.
func (w *world) arrive(r *request, id int) {
	for w.away[id] {
		id = (id + 1) % len(w.entries)
	}
	w.counted.offer(w)
	w.entries[id].arrive(r)
}

// control runs f and counts its time as control-plane work, which is work other than the handling of requests.
func (w *world) control(f func()) {
	start := time.Now()
	f()
	w.counted.cpu += time.Since(start)
}

// setOut applies a fleet document with the given zones taken out at every instance.
func (w *world) setOut(zones ...string) {
	w.fleetDoc = w.d.fleet(zones...)
	for _, e := range w.entries {
		if e.fleet != nil {
			e.fleet.Update(w.now, e.view())
			e.settle()
		}
	}
}
