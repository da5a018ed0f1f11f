package balance_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

const zoneSeed = 61

var zoneStart = time.Unix(1000, 0)

// zones is the fleet of an instance in permian-a, with one server in each of four zones in two regions.
type zones struct {
	*balance.Fleet
	t      *testing.T
	rnd    *rand.Rand
	config balance.FleetConfig
}

func newZones(t *testing.T, out ...string) *zones {
	t.Helper()
	var ch balance.Charts
	var err error
	if ch.Backend, err = charts.Load("backend", nil); err != nil {
		t.Fatal(err)
	}
	if ch.Zone, err = charts.Load("zone", nil); err != nil {
		t.Fatal(err)
	}
	z := &zones{t: t, rnd: rand.New(rand.NewPCG(zoneSeed, 0)), config: balance.FleetConfig{
		Service: &document.Service{Name: "intake", Servers: document.Servers{Slots: 6, ColdAllowance: 6}},
		Servers: []document.Server{
			{Name: "a", Address: "10.0.0.1:80", Zone: "permian-a"}, {Name: "b", Address: "10.0.0.2:80", Zone: "permian-b"},
			{Name: "c", Address: "10.0.1.1:80", Zone: "gulf-a"}, {Name: "d", Address: "10.0.1.2:80", Zone: "gulf-b"},
		},
		Self: balance.Location{Region: "permian", Zone: "permian-a"}, NoKeepers: true,
	}}
	z.config.Zones = fleetDocument(out)
	if z.Fleet, err = balance.New(ch, zoneStart, z.config); err != nil {
		t.Fatal(err)
	}
	return z
}

func fleetDocument(out []string) *document.Fleet {
	return &document.Fleet{ZonesOut: out, Regions: []document.Region{
		{Name: "permian", Zones: []string{"permian-a", "permian-b"}}, {Name: "gulf", Zones: []string{"gulf-a", "gulf-b"}},
	}}
}

// setOut applies a fleet document in which the given zones are out and all others are in service.
func (z *zones) setOut(now time.Time, zones ...string) {
	z.config.Zones = fleetDocument(zones)
	z.Update(now, z.config)
}

// served picks servers for 200 requests that are answered immediately and returns how many each server got.
func (z *zones) served(now time.Time, requirements balance.Requirements) map[string]int {
	counts := map[string]int{}
	for range 200 {
		if g, ok := z.Pick(now, z.rnd, requirements); ok {
			counts[g.Server]++
			z.Done(now, g, balance.Result{Fate: call.Answered, Latency: 5 * time.Millisecond})
		}
	}
	return counts
}

func after(d time.Duration) time.Time { return zoneStart.Add(d) }

// Guards against a zone that gets new requests 3 s after it was taken out, also when the timeout of its chart fires late,
// when every other zone of the region is out, or when the instance starts after the zone was taken out.
func TestZoneThatIsOutGetsNoRequests(t *testing.T) {
	z := newZones(t)
	if n := z.served(after(0), balance.Requirements{})["a"]; n == 0 {
		t.Fatal("the own zone gets no requests before it is taken out")
	}
	z.setOut(after(time.Second), "permian-a")
	for _, d := range []time.Duration{4 * time.Second, time.Minute} {
		if got := z.served(after(d), balance.Requirements{}); got["a"] != 0 || got["b"] == 0 {
			t.Errorf("%v after the start: %v", d, got)
		}
		z.Tick(after(d))
	}
	z.setOut(after(time.Minute), "permian-a", "permian-b")
	if got := z.served(after(time.Minute+3*time.Second), balance.Requirements{}); len(got) != 0 {
		t.Errorf("both zones are out: %v", got)
	}
	if got := newZones(t, "permian-a").served(zoneStart, balance.Requirements{}); got["a"] != 0 || got["b"] == 0 {
		t.Errorf("out at the start of the instance: %v", got)
	}
}

// Guards against a zone that returns with its full share immediately, or never.
func TestZoneReturnsByRamp(t *testing.T) {
	z := newZones(t, "permian-a")
	z.setOut(after(time.Second), "permian-a", "permian-b")
	z.setOut(after(time.Minute), "permian-b")
	early := z.served(after(time.Minute), balance.Requirements{})["a"]
	late := z.served(after(time.Minute+10*time.Second), balance.Requirements{})["a"]
	if early == 0 || early > 30 || late != 200 {
		t.Errorf("%d of 200 requests immediately and %d after 10 s; want about 10 and 200", early, late)
	}
}

// Guards against a request that is sent to a server outside its home regions, although that server has free capacity and
// the request may leave the instance's region.
func TestServersOutsideHomeRegionsAreNotUsed(t *testing.T) {
	z := newZones(t, "permian-a", "permian-b")
	requirements := balance.Requirements{CrossRegion: true, ExpectedWait: time.Second}
	if got := z.served(after(0), requirements); got["c"]+got["d"] == 0 {
		t.Fatalf("no server of another region is used without home regions: %v", got)
	}
	requirements.Regions = []string{"permian"}
	if got := z.served(after(0), requirements); len(got) != 0 || z.CanServe(after(0), requirements) {
		t.Errorf("all zones of home region permian are out, but servers got requests: %v", got)
	}
}

// Guards against new requests to a server that reported that it is draining, at the instance that received the report and
// at others, and against a drain that is not sent to peers.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	z := newZones(t, "permian-b")
	g, _ := z.Pick(zoneStart, z.rnd, balance.Requirements{})
	z.Done(zoneStart, g, balance.Result{Fate: call.Answered, Draining: true, Incarnation: "i1", Latency: time.Millisecond})
	if got := z.served(after(0), balance.Requirements{}); len(got) != 0 {
		t.Errorf("requests to the draining server at the instance that received its report: %v", got)
	}
	notices := z.TakeNotices()
	if !slices.Equal(notices, []balance.Notice{{Server: "a", Incarnation: "i1", State: balance.Draining}}) {
		t.Fatalf("notices %+v", notices)
	}
	other := newZones(t, "permian-b")
	other.ApplyNotice(zoneStart, balance.Notice{Server: "a", State: balance.Draining})
	if got := other.served(after(0), balance.Requirements{}); len(got) != 0 {
		t.Errorf("requests to the draining server at another instance: %v", got)
	}
}
