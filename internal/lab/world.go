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
	deployment Deployment
	policy     Policy
	scenario   Scenario
	seed       uint64
	load       float64
	charts     balance.Charts
	serviceDoc *document.Service
	fleetDoc   *document.Fleet
	servers    []*backendServer
	byName     map[string]*backendServer
	instances  []*instance
	keepers    map[string]*keeper
	// unreachable contains the instances that callers do not reach.
	unreachable map[int]bool
	counters    runCounters
}

const (
	// warmUp is the time at the start of a run that is not measured, because servers start in an unknown state and warm up.
	warmUp = 5 * time.Second
	// runLength is the duration of a run.
	runLength = 24 * time.Second
)

// Run executes one run and returns its measurements.
func Run(d Deployment, scenario Scenario, policy Policy, load float64, seed uint64) (Result, error) {
	w, err := newWorld(d, scenario, policy, load, seed)
	if err != nil {
		return Result{}, err
	}
	w.scheduleArrivals()
	if scenario.scheduleFaults != nil {
		scenario.scheduleFaults(w)
	}
	w.run(runLength)
	return w.counters.result(w), nil
}

func newWorld(d Deployment, scenario Scenario, policy Policy, load float64, seed uint64) (*world, error) {
	w := &world{
		clock: newClock(), deployment: d, policy: policy, scenario: scenario, seed: seed, load: load, serviceDoc: d.serviceDocument(),
		fleetDoc: d.fleetDocument(), byName: map[string]*backendServer{}, keepers: map[string]*keeper{}, unreachable: map[int]bool{},
		counters: newRunCounters(),
	}
	var err error
	if w.charts.Backend, err = charts.Load("backend", charts.Params{"warm_up_step": w.serviceDoc.Servers.WarmUpStep}); err != nil {
		return nil, err
	}
	if w.charts.Zone, err = charts.Load("zone", nil); err != nil {
		return nil, err
	}
	for _, s := range w.serviceDoc.Servers.List {
		b := &backendServer{w: w, name: s.Name, zone: s.Zone, slots: w.serviceDoc.SlotsOf(s), slowdown: 1, up: true, startCount: 1}
		w.servers = append(w.servers, b)
		w.byName[s.Name] = b
	}
	if policy.Keepers {
		for _, z := range d.zones() {
			w.keepers[z] = newKeeper(w, z)
		}
	}
	for i := range d.Instances {
		inst, err := newInstance(w, i)
		if err != nil {
			return nil, err
		}
		w.instances = append(w.instances, inst)
	}
	return w, nil
}

// instancesInRegion returns the number of instances in a region.
func (w *world) instancesInRegion(region string) int {
	n := 0
	zones := w.deployment.zones()
	for i := range w.deployment.Instances {
		if w.fleetDoc.RegionOf(zones[i%len(zones)]) == region {
			n++
		}
	}
	return n
}

func (w *world) networkDelay(a, b string) time.Duration { return w.deployment.networkDelay(a, b) }

// reply delivers the result of a copy to its instance after the network delay.
func (w *world) reply(s *backendServer, c *requestCopy, r balance.Result) {
	w.after(w.networkDelay(s.zone, c.request.instance.place.Zone), func() { c.request.instance.handleResult(c, r) })
}

// scheduleArrivals schedules the Poisson arrivals. They depend on the deployment, the load and the seed, not on the policy.
func (w *world) scheduleArrivals() {
	rnd := rand.New(rand.NewPCG(w.seed, 0))
	rate := w.load * w.deployment.capacity(w.deployment.Servers*w.deployment.Slots)
	var next func()
	next = func() {
		w.deliver(w.newRequest(rnd), rnd.IntN(w.deployment.Instances))
		w.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
}

// newRequest draws a request with a log-normal service time.
func (w *world) newRequest(rnd *rand.Rand) *request {
	median := float64(w.deployment.ServiceTime) * math.Exp(-serviceTimeSigma*serviceTimeSigma/2)
	r := &request{
		arrivedAt: w.now, deadline: w.now.Add(requestDeadline), tenant: string(rune('a' + max(0, rnd.IntN(tenantParts)-1))),
		serviceTime: time.Duration(median * math.Exp(serviceTimeSigma*rnd.NormFloat64())), idempotent: rnd.Float64() >= onceOnlyShare,
	}
	r.priority = document.Priority(rnd.IntN(2))
	r.want.CrossRegion = r.idempotent
	return r
}

// deliver delivers a request to an instance, or to the next one that callers reach. That one is in the same region, because
// only the first zone of a region becomes unreachable.
func (w *world) deliver(r *request, id int) {
	for w.unreachable[id] {
		id = (id + 1) % len(w.instances)
	}
	w.counters.countOffered(w)
	w.instances[id].receive(r)
}

// measureControl runs f and counts its time as control-plane work, which is work other than the handling of requests.
func (w *world) measureControl(f func()) {
	start := time.Now()
	f()
	w.counters.controlTime += time.Since(start)
}

// setZonesOut applies a fleet document with the given zones taken out at every instance.
func (w *world) setZonesOut(zones ...string) {
	w.fleetDoc = w.deployment.fleetDocument(zones...)
	for _, inst := range w.instances {
		if inst.fleet != nil {
			inst.fleet.Update(w.now, inst.view())
			inst.afterEvent()
		}
	}
}
