// Package news decides which instances read the platform's store and which ask a peer.
//
// Every call of the store is billed, so that few instances should read; but an instance must not depend on one that
// has died, is cut off or has stopped. There is no election. The instances of a region have an order that each computes
// by itself. The first one reads; another one asks those before it and reads only once its news have grown old. The
// age of news is counted from when the store was asked and is passed on with them, so that news that travel in a circle
// grow old.
package news

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Pace says how old news may grow. All times come from the time in which a leaving backend server must get no new
// requests.
type Pace struct {
	// Period is the longest time between two reads of a reader.
	Period time.Duration
	// AskNext is the age from which a second peer is asked.
	AskNext time.Duration
	// Limit is the age from which the first instance after the reader reads.
	Limit time.Duration
	// Step is added to the limit for each further rank, so that one reads before the others need to.
	Step time.Duration
	// Most bounds the limit of all ranks.
	Most time.Duration
}

const (
	// periodPart is the part of the time to drain between two reads.
	periodPart = 0.4
	// askNextSlack is two round trips between regions and the time of a read; limitSlack gives the next rank time to
	// answer.
	askNextSlack = 150 * time.Millisecond
	limitSlack   = 250 * time.Millisecond
	rankStep     = 60 * time.Millisecond
	// reserve is what remains of the time to drain after the limit, for one read.
	reserve = 300 * time.Millisecond
	// assumedDrain stands in for a time to drain that is not set.
	assumedDrain = 2 * time.Second
)

// NewPace returns the pace for a time to drain.
func NewPace(drain time.Duration) Pace {
	if drain <= 0 {
		drain = assumedDrain
	}
	period := time.Duration(periodPart * float64(drain))
	return Pace{
		Period: period, AskNext: period + askNextSlack, Limit: period + limitSlack, Step: rankStep,
		Most: max(drain-reserve, period+limitSlack),
	}
}

// LimitOf returns the age of news at which the instance of a rank reads by itself.
func (p Pace) LimitOf(rank int) time.Duration {
	return min(p.Limit+time.Duration(max(rank-1, 0))*p.Step, p.Most)
}

// Standing is the place of an instance among its peers. It is immutable.
type Standing struct {
	// Before are the peers to ask, in this order. It is empty for the one instance that reads as long as it can.
	Before []fleet.Instance
	// Rank delays reading; see Pace.LimitOf.
	Rank int
	self string
	// position orders all instances. A reader yields to one with a lower position.
	position map[string]int
}

// NewStanding returns the place of an instance. The first instance of a region asks the first ones of the regions before
// its own; the others ask those before them in their region. So the store is read once, news cross to a region once,
// and a region that is cut off reads for itself.
func NewStanding(instances []fleet.Instance, self fleet.Instance) Standing {
	regions := map[string][]fleet.Instance{}
	for _, i := range instances {
		if i.Name != self.Name {
			regions[i.Place.Region] = append(regions[i.Place.Region], i)
		}
	}
	regions[self.Place.Region] = append(regions[self.Place.Region], self)
	names := slices.Sorted(maps.Keys(regions))
	s := Standing{self: self.Name, position: map[string]int{}}
	var heads, seconds []fleet.Instance
	for index, name := range names {
		order := regions[name]
		slices.SortFunc(order, compare)
		for _, i := range order {
			s.position[i.Name] = len(s.position)
		}
		if name == self.Place.Region {
			own := slices.IndexFunc(order, func(i fleet.Instance) bool { return i.Name == self.Name })
			s.Before, s.Rank = order[:own], own+index
			if own == 0 {
				s.Before = append(heads, seconds...)
			}
		}
		heads = append(heads, order[0])
		seconds = append(seconds, order[1:min(len(order), 2)]...)
	}
	return s
}

// compare orders the instances of a region: those with a larger share of a processor first, since passing on news takes
// time, and others by a hash of their names.
func compare(a, b fleet.Instance) int {
	return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// YieldsTo reports whether this instance stops reading because another one reads. It yields to nobody that it does not
// know.
func (s *Standing) YieldsTo(reader string) bool {
	position, known := s.position[reader]
	return known && position < s.position[s.self]
}
