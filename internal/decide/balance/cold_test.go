package balance_test

import (
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// Guards against requests to a cold server beyond the keeper's grant: without a lease, after its expiry, from the fallback
// share, and from a warm lease that was in flight when the server restarted.
func TestColdServerGetsOnlyGrantedRequests(t *testing.T) {
	z := newZones(t, "permian-b")
	z.config.NoKeepers, z.config.Service.Servers.ColdAllowance = false, 1
	z.Update(zoneStart, z.config)
	lease := func(now time.Time, slots int, cold bool, incarnation string) {
		z.ApplyLease(now, balance.ShardLease{Zone: "permian-a", Epoch: 1, ExpiresAt: now.Add(2 * time.Second),
			Grants: []balance.SlotGrant{{Server: "a", Incarnation: incarnation, Slots: slots, Cold: cold}}})
	}
	checkAllowance := func(d time.Duration, want int, when string) {
		t.Helper()
		for _, r := range z.Allowances(after(d)) {
			if r.Server == "a" && r.Allowance != want {
				t.Errorf("%s: allowance %d, want %d", when, r.Allowance, want)
			}
		}
	}
	checkAllowance(0, 0, "no lease")
	lease(zoneStart, 1, true, "i1")
	checkAllowance(time.Second, 1, "one cold grant")
	checkAllowance(2*time.Second, 0, "expired cold lease")
	lease(after(3*time.Second), 2, false, "i1")
	checkAllowance(4*time.Second, 6, "warm server, one instance")
	checkAllowance(6*time.Second, 6, "fallback share after the lease of a warm server expired")
	g, ok := z.Pick(after(6*time.Second), z.rnd, balance.Requirements{})
	if !ok || g.Server != "a" {
		t.Fatalf("grant %+v", g)
	}
	z.Done(after(6*time.Second), g, balance.Result{Fate: call.Answered, Incarnation: "i2", Latency: time.Millisecond})
	checkAllowance(6*time.Second, 0, "the server restarted")
	lease(after(6*time.Second), 4, false, "i1")
	checkAllowance(6*time.Second, 0, "lease in flight during the restart")
}
