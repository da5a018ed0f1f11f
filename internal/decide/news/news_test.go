package news

import (
	"fmt"
	"testing"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

func newInstances(regions, each int) []fleet.Instance {
	var all []fleet.Instance
	for r := range regions {
		for i := range each {
			all = append(all, fleet.Instance{
				Name: fmt.Sprintf("edge-%d-%d", r, i), Address: fmt.Sprintf("10.0.%d.%d:1", r, i),
				Place: fleet.Place{Region: fmt.Sprint("region-", r), Zone: fmt.Sprint("zone-", r)}, CPUShare: 0.32,
			})
		}
	}
	return all
}

// Guards against a fleet with no reader or with several, an instance that asks itself, and instances that ask each other in a cycle.
func TestOneInstanceHasNoPeerToAsk(t *testing.T) {
	all := newInstances(3, 40)
	var first string
	for _, self := range all {
		position := NewPosition(all, self)
		if len(position.Predecessors) == 0 {
			if first != "" {
				t.Fatalf("%s and %s both have no peer to ask", first, self.Name)
			}
			first = self.Name
		}
		for _, predecessor := range position.Predecessors {
			if predecessor.Name == self.Name {
				t.Fatalf("%s asks itself", self.Name)
			}
			if !position.StopsReadingFor(predecessor.Name) {
				t.Fatalf("%s asks %s but does not stop reading when it reads", self.Name, predecessor.Name)
			}
		}
	}
	for _, self := range all {
		position := NewPosition(all, self)
		if stops := position.StopsReadingFor(first); stops != (self.Name != first) {
			t.Fatalf("%s stops reading when the first instance reads: %t", self.Name, stops)
		}
	}
}

// Guards against news that is sent to a region more than once: only one instance of each region asks another region.
func TestOneInstancePerRegionAsksOtherRegions(t *testing.T) {
	all := newInstances(3, 10)
	askers := map[string]int{}
	for _, self := range all {
		for _, predecessor := range NewPosition(all, self).Predecessors {
			if predecessor.Place.Region != self.Place.Region {
				askers[self.Place.Region]++
				break
			}
		}
	}
	if len(askers) != 2 || askers["region-1"] != 1 || askers["region-2"] != 1 {
		t.Errorf("instances that ask another region: %v", askers)
	}
}

// Guards against an instance with a small CPU share that comes before one with a larger share.
func TestLargerShareComesFirst(t *testing.T) {
	all := newInstances(1, 10)
	all[7].CPUShare = 0.8
	position := NewPosition(all, all[3])
	if len(position.Predecessors) == 0 || position.Predecessors[0].Name != all[7].Name {
		t.Errorf("%s asks %v first", all[3].Name, position.Predecessors)
	}
}

// Guards against a limit that exceeds the drain time, for any rank and drain time, and against ranks that all read the
// store at the same age.
func TestLimitsStayBelowDrainTime(t *testing.T) {
	for _, drain := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		limits := NewAgeLimits(drain, drain)
		bound := drain
		if drain == 0 {
			bound = defaultDrain
		}
		for rank := range 50 {
			if limit := limits.LimitOf(rank); limit >= bound || limit <= limits.Period {
				t.Errorf("drain %s, rank %d: news may be %s old, the period is %s", drain, rank, limit, limits.Period)
			}
			if limit := limits.RareLimitOf(rank); limit >= bound || limit <= limits.Period {
				t.Errorf("bound %s, rank %d: the configuration may be %s old, the period is %s", bound, rank, limit, limits.Period)
			}
		}
		if limits.LimitOf(2) <= limits.LimitOf(1) || limits.RareLimitOf(2) <= limits.RareLimitOf(1) {
			t.Errorf("drain %s: ranks 1 and 2 read at the same age", drain)
		}
	}
}
