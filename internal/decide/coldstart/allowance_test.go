package coldstart

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against shares that add up to more than a cold server can handle, also when there are more instances than
// requests, and against a server that no instance may send to.
func TestSharesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound(rapid.Float64Range(1, 20).Draw(t, "per second"), 1.5, rapid.Float64Range(1, 10).Draw(t, "slack"))
		var names []string
		for i := range rapid.IntRange(1, 150).Draw(t, "instances") {
			names = append(names, fmt.Sprint("edge-", i))
		}
		sum := 0
		for _, name := range names {
			sum += Share(bound, "i-1", name, names)
		}
		if float64(sum) > bound || sum < 1 {
			t.Fatalf("shares of %d instances add up to %d, the bound is %.1f", len(names), sum, bound)
		}
		if Share(bound, "i-1", "elsewhere", names) != 0 {
			t.Fatal("an instance of another region has a share")
		}
	})
}

// Guards against more requests in any second than the share, and against a meter that never allows requests again.
func TestMeterBoundsAnySecond(t *testing.T) {
	var m Meter
	now := time.Unix(1000, 0)
	var sent []time.Time
	for range 500 {
		now = now.Add(17 * time.Millisecond)
		if m.Take(now, 2) {
			sent = append(sent, now)
		}
	}
	for i := 2; i < len(sent); i++ {
		if sent[i].Sub(sent[i-2]) < time.Second {
			t.Fatalf("three requests within %s", sent[i].Sub(sent[i-2]))
		}
	}
	if len(sent) < 12 {
		t.Errorf("only %d requests in 8.5 s", len(sent))
	}
}

// Guards against instances that start together, have not discovered each other yet and each use the full allowance.
func TestStartupSharesStayWithinBound(t *testing.T) {
	bound := Bound(6.3, 1.5, 5)
	sum := 0
	for i := range assumedInstances {
		name := fmt.Sprint("edge-", i)
		sum += StartupShare(bound, Share(bound, "i-1", name, []string{name}))
	}
	if float64(sum) > bound || sum < assumedInstances {
		t.Errorf("%d instances that know no others may send %d requests, the bound is %.1f", assumedInstances, sum, bound)
	}
}
