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
				Place: fleet.Place{Region: fmt.Sprint("region-", r), Zone: fmt.Sprint("zone-", r)}, Share: 0.32,
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
		s := NewStanding(all, self)
		if len(s.Before) == 0 {
			if first != "" {
				t.Fatalf("%s and %s both have no peer to ask", first, self.Name)
			}
			first = self.Name
		}
		for _, before := range s.Before {
			if before.Name == self.Name {
				t.Fatalf("%s asks itself", self.Name)
			}
			if !s.YieldsTo(before.Name) {
				t.Fatalf("%s asks %s but does not stop reading when it reads", self.Name, before.Name)
			}
		}
	}
	for _, self := range all {
		s := NewStanding(all, self)
		if yields := s.YieldsTo(first); yields != (self.Name != first) {
			t.Fatalf("%s stops reading when the first instance reads: %t", self.Name, yields)
		}
	}
}

// Guards against news that is sent to a region more than once: only one instance of each region asks another region.
func TestOneInstancePerRegionAsksOtherRegions(t *testing.T) {
	all := newInstances(3, 10)
	askers := map[string]int{}
	for _, self := range all {
		for _, before := range NewStanding(all, self).Before {
			if before.Place.Region != self.Place.Region {
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
	all[7].Share = 0.8
	s := NewStanding(all, all[3])
	if len(s.Before) == 0 || s.Before[0].Name != all[7].Name {
		t.Errorf("%s asks %v first", all[3].Name, s.Before)
	}
}

// Guards against a limit that exceeds the drain time, for any rank and drain time, and against ranks that all read the
// store at the same age.
func TestLimitsStayBelowDrainTime(t *testing.T) {
	for _, drain := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		p := NewPace(drain)
		bound := drain
		if drain == 0 {
			bound = defaultDrain
		}
		for rank := range 50 {
			if limit := p.LimitOf(rank); limit >= bound || limit <= p.Period {
				t.Errorf("drain %s, rank %d: news may be %s old, the period is %s", drain, rank, limit, p.Period)
			}
		}
		if p.LimitOf(2) <= p.LimitOf(1) {
			t.Errorf("drain %s: ranks 1 and 2 read at the same age", drain)
		}
	}
}
