package balance_test

import (
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// Guards against work for a server in a cold start beyond a grant of its keeper: without a lease, after the end of one,
// from a lease for warm servers that was on its way when the server restarted, and from the fallback share.
func TestColdServerGetsOnlyGrantedWork(t *testing.T) {
	z := newZones(t, "permian-b")
	z.view.NoKeepers, z.view.Service.Servers.ColdAllowance = false, 1
	z.Update(zoneStart, z.view)
	lease := func(now time.Time, slots int, cold bool, incarnation string) {
		z.Lease(now, balance.Leased{Zone: "permian-a", Epoch: 1, Until: now.Add(2 * time.Second),
			Grants: []balance.SlotGrant{{Server: "a", Incarnation: incarnation, Slots: slots, Cold: cold}}})
	}
	room := func(d time.Duration, want int, when string) {
		t.Helper()
		for _, r := range z.Rooms(after(d)) {
			if r.Server == "a" && r.Allowance != want {
				t.Errorf("%s: room for %d, want %d", when, r.Allowance, want)
			}
		}
	}
	room(0, 0, "no lease")
	lease(zoneStart, 1, true, "i1")
	room(time.Second, 1, "one cold grant")
	room(2*time.Second, 0, "end of the cold lease")
	lease(after(3*time.Second), 2, false, "i1")
	room(4*time.Second, 6, "warm server of one instance")
	room(6*time.Second, 6, "end of the lease of a warm server: the fallback share")
	g, ok := z.Pick(after(6*time.Second), z.rnd, balance.Want{})
	if !ok || g.Server != "a" {
		t.Fatalf("grant %+v", g)
	}
	z.Done(after(6*time.Second), g, balance.Result{Fate: call.Answered, Incarnation: "i2", Latency: time.Millisecond})
	room(6*time.Second, 0, "the server started again")
	lease(after(6*time.Second), 4, false, "i1")
	room(6*time.Second, 0, "a lease that was on its way when the server restarted")
}
