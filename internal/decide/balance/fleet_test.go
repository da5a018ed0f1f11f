package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiahub.example/fuchsiahub/charts"
	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

var start = time.Unix(1000, 0)

const (
	servers = 6
	slots   = 6
)

func newConfig(out ...string) balance.FleetConfig {
	doc := &document.Service{Name: "atlas", Owner: "dispatch", Servers: document.Servers{Slots: slots}}
	for i := range servers {
		doc.Servers.List = append(doc.Servers.List, document.Server{
			Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: []string{"a", "b"}[i%2],
		})
	}
	doc.ApplyDefaults()
	fleet := &document.Fleet{Regions: []document.Region{{Name: "r", Zones: []string{"a", "b"}}}, ZonesOut: out}
	return balance.FleetConfig{
		Service: doc, Servers: doc.Servers.List, Zones: fleet, Self: balance.Location{Region: "r", Zone: "a"}, Instances: 3, RegionInstances: 3,
	}
}

func newFleet(t interface{ Fatal(...any) }, config balance.FleetConfig) *balance.Fleet {
	backendChart, err := charts.Load("backend", nil)
	if err != nil {
		t.Fatal(err)
	}
	zoneChart, err := charts.Load("zone", nil)
	if err != nil {
		t.Fatal(err)
	}
	f, err := balance.New(balance.Charts{Backend: backendChart, Zone: zoneChart}, start, config)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// lease grants n slots of every server in both zones.
func lease(f *balance.Fleet, now time.Time, cold bool, n int) {
	for z, zone := range []string{"a", "b"} {
		l := balance.ShardLease{Zone: zone, Epoch: 1, ExpiresAt: now.Add(2 * time.Second)}
		for i := z; i < servers; i += 2 {
			l.Grants = append(l.Grants, balance.SlotGrant{Server: fmt.Sprintf("s%d", i), Incarnation: "1", Slots: n, Cold: cold})
		}
		f.ApplyLease(now, l)
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// pickAll calls Pick until it returns no grant and returns the grants by server.
func pickAll(f *balance.Fleet, now time.Time) map[string][]balance.Grant {
	grants := map[string][]balance.Grant{}
	for range 100 {
		g, ok := f.Pick(now, newRand(), balance.Requirements{ExpectedWait: time.Hour})
		if !ok {
			break
		}
		grants[g.Server] = append(grants[g.Server], g)
	}
	return grants
}

var goodResult = balance.Result{Fate: call.Answered, Latency: 10 * time.Millisecond, Incarnation: "1"}

// Guards against requests to a possibly cold server without a keeper's grant (P2): unknown servers and servers whose cold
// grant has expired.
func TestColdServerGetsRequestsOnlyUnderColdGrant(t *testing.T) {
	f := newFleet(t, newConfig())
	if got := pickAll(f, start); len(got) != 0 {
		t.Fatalf("unknown servers got requests: %v", got)
	}
	lease(f, start, true, 1)
	grants := pickAll(f, start)
	for name, list := range grants {
		if len(list) != 1 {
			t.Errorf("cold server %s got %d requests under a grant of 1", name, len(list))
		}
		f.Done(start, list[0], goodResult)
	}
	if got := pickAll(f, start.Add(3*time.Second)); len(got) != 0 {
		t.Errorf("cold servers got requests after their grant expired: %v", got)
	}
}

// Guards against use of a grant that the keeper issued before the instance observed a restart of the server.
func TestGrantInFlightDuringRestartIsVoid(t *testing.T) {
	f := newFleet(t, newConfig())
	lease(f, start, false, 2)
	g, _ := f.Pick(start, newRand(), balance.Requirements{})
	f.Done(start.Add(time.Millisecond), g, balance.Result{Fate: call.MaybeRun, Failed: true})
	lease(f, start.Add(2*time.Millisecond), false, 2)
	if got := pickAll(f, start.Add(2*time.Millisecond)); len(got[g.Server]) != 0 {
		t.Error("the server got requests under a grant from before its restart")
	}
	f.Demand(start.Add(3*time.Millisecond), g.Zone)
	if got := pickAll(f, start.Add(3*time.Millisecond)); len(got[g.Server]) != 0 {
		t.Error("the server got requests before the keeper answered the demand that reports its restart")
	}
	lease(f, start.Add(4*time.Millisecond), false, 2)
	if got := pickAll(f, start.Add(4*time.Millisecond)); len(got[g.Server]) == 0 {
		t.Error("the server gets no requests although the keeper knows of the restart")
	}
}

// Guards against instances that stop sending requests, or send more than their share, while a keeper is unreachable.
func TestFallbackShareWithoutKeeper(t *testing.T) {
	f := newFleet(t, newConfig())
	lease(f, start, false, 4)
	grants := pickAll(f, start.Add(3*time.Second))
	for i := range servers {
		if n := len(grants[fmt.Sprintf("s%d", i)]); n != slots/3 {
			t.Errorf("s%d got %d requests, the share is %d", i, n, slots/3)
		}
	}
}

// Guards against new requests to a zone 3 s after it was taken out (P3), and against a return without a ramp.
func TestZoneLeavesWithinThreeSecondsAndReturnsByRamp(t *testing.T) {
	f := newFleet(t, newConfig())
	servedInB := func(now time.Time) int {
		f.Tick(now)
		lease(f, now, false, slots)
		n, rnd := 0, rand.New(rand.NewPCG(3, 4))
		for range 400 {
			if g, ok := f.Pick(now, rnd, balance.Requirements{Avoid: []string{"s0", "s2", "s4"}, ExpectedWait: time.Hour}); ok {
				n++
				f.Done(now, g, goodResult)
			}
		}
		return n
	}
	if n := servedInB(start); n != 400 {
		t.Fatalf("%d of 400 requests before the zone is taken out", n)
	}
	f.Update(start, newConfig("b"))
	if n := servedInB(start.Add(time.Second)); n == 0 || n == 400 {
		t.Errorf("%d of 400 requests after 1 s: the shift is not gradual", n)
	}
	for _, after := range []time.Duration{2999 * time.Millisecond, 3 * time.Second, time.Minute} {
		if n := servedInB(start.Add(after)); n != 0 {
			t.Errorf("%d requests %v after the zone was taken out", n, after)
		}
	}
	returnedAt := start.Add(2 * time.Minute)
	f.Update(returnedAt, newConfig())
	early, late := servedInB(returnedAt.Add(time.Second)), servedInB(returnedAt.Add(6*time.Second))
	if early == 0 || early > 100 || late <= early || servedInB(returnedAt.Add(11*time.Second)) != 400 {
		t.Errorf("return: %d after 1 s, %d after 6 s", early, late)
	}
}

// Guards against an outage caused by ejection: at most a third of the servers is ejected, whatever fails.
func TestAtMostAThirdIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newConfig()
		v.NoKeepers = true
		f := newFleet(t, v)
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			f.Tick(now)
			g, ok := f.Pick(now, newRand(), balance.Requirements{ExpectedWait: time.Hour})
			if !ok {
				continue
			}
			r := goodResult
			r.Failed = rapid.IntRange(0, 9).Draw(t, "failed") > 0
			f.Done(now, g, r)
			ejected := 0
			for _, s := range f.Status(now) {
				if s.State == "ejected" {
					ejected++
				}
			}
			if ejected > servers/3 {
				t.Fatalf("%d of %d servers are ejected", ejected, servers)
			}
		}
	})
}

// Guards against slots that two instances use at once: Demand releases idle slots above the reserve and reports the slots
// that are still held.
func TestDemandReleasesIdleSlotsAboveReserve(t *testing.T) {
	f := newFleet(t, newConfig())
	lease(f, start, false, 4)
	g, _ := f.Pick(start, newRand(), balance.Requirements{Avoid: []string{"s1", "s3", "s5"}})
	d := f.Demand(start, "a")
	held, busy := 0, 0
	for _, h := range d.Held {
		held += h.Slots
		busy += h.Busy
	}
	if reserve := balance.DefaultTuning().Reserve; busy != 1 || held != 1+reserve {
		t.Errorf("held %d, busy %d of 12 slots with one busy slot at %s and a reserve of %d", held, busy, g.Server, reserve)
	}
}
