// Package news decides which instances read the platform's store and which get its updates (news) from a peer.
//
// Every call of the store is billed, so few instances should read it; but no instance may depend on a reader that has
// failed, is partitioned or has stopped. There is no election. Each instance computes the same order of the instances of a
// region. The first one reads the store. Each other one asks its predecessors, and reads the store itself only if its news
// is too old. The age of news is measured from the call of the store and is sent with the news, so news that is passed on in
// a cycle still gets older.
package news

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// AgeLimits holds the limits for the age of news. Those for backend servers are derived from the drain time: the time after
// which a draining backend server must not get new requests. Those for kinds that change rarely, the configuration and the
// evacuations, are derived from the time within which a confirmed configuration has to be in force.
type AgeLimits struct {
	// Period is the maximum time between two reads of the store by a reader.
	Period time.Duration
	// AskNext is the age of news above which a second peer is asked.
	AskNext time.Duration
	// BaseLimit is the age of news above which the first instance after the reader reads the store.
	BaseLimit time.Duration
	// RankStep is added to BaseLimit for each further rank, so that one instance reads before the others have to.
	RankStep time.Duration
	// MaxLimit is the maximum limit of any rank.
	MaxLimit time.Duration
	// RareAskNext is AskNext for rare kinds.
	RareAskNext time.Duration
	// RareBaseLimit and RareMaxLimit are BaseLimit and MaxLimit for rare kinds. Above them, news of a peer is not enough although
	// its news of servers is recent.
	RareBaseLimit, RareMaxLimit time.Duration
}

const (
	// periodFraction is the period between two reads as a fraction of the drain time.
	periodFraction = 0.4
	// askNextSlack allows for two round trips between regions and one read of the store. limitSlack also allows for the
	// answer of the second peer.
	askNextSlack = 150 * time.Millisecond
	limitSlack   = 250 * time.Millisecond
	rankStep     = 60 * time.Millisecond
	// readReserve is the part of the drain time that is left for one read after the maximum limit.
	readReserve = 300 * time.Millisecond
	// rareSlack is how much older than servers rare kinds may be: a reader lists them in this time when their changes may have
	// been missed.
	rareSlack = 300 * time.Millisecond
	// defaultDrain is the default drain time, defaultApply the default time for a configuration.
	defaultDrain = 2 * time.Second
	defaultApply = 2 * time.Second
)

// NewAgeLimits derives the limits from the drain time and the time within which a confirmed configuration has to be in force.
// A time of zero or less means the default.
func NewAgeLimits(drain, apply time.Duration) AgeLimits {
	if drain <= 0 {
		drain = defaultDrain
	}
	if apply <= 0 {
		apply = defaultApply
	}
	period := time.Duration(periodFraction * float64(min(drain, apply)))
	base := period + limitSlack
	rareBase := max(min(base+rareSlack, apply-readReserve-2*rankStep), base)
	return AgeLimits{
		Period: period, AskNext: period + askNextSlack, BaseLimit: base, RankStep: rankStep,
		MaxLimit:    max(drain-readReserve, base),
		RareAskNext: rareBase - limitSlack + askNextSlack, RareBaseLimit: rareBase,
		RareMaxLimit: max(apply-readReserve, rareBase),
	}
}

// LimitOf returns the age of news above which an instance of the rank reads the store itself.
func (l AgeLimits) LimitOf(rank int) time.Duration { return l.limitOf(rank, l.BaseLimit, l.MaxLimit) }

// RareLimitOf returns the same for rare kinds.
func (l AgeLimits) RareLimitOf(rank int) time.Duration {
	return l.limitOf(rank, l.RareBaseLimit, l.RareMaxLimit)
}

func (l AgeLimits) limitOf(rank int, base, most time.Duration) time.Duration {
	return min(base+time.Duration(max(rank-1, 0))*l.RankStep, most)
}

// Position is the position of an instance in the order of its peers. It is immutable.
type Position struct {
	// Predecessors lists the peers to ask, in this order. It is empty for exactly one instance, which reads the store as
	// long as it can.
	Predecessors []fleet.Instance
	// Rank determines the age of news above which the instance reads the store; see AgeLimits.LimitOf.
	Rank int
	self string
	// index is the index of each instance in the order. A reader stops in favor of one with a lower index.
	index map[string]int
}

// NewPosition returns the position of an instance. The first instance of a region asks the first instances of the
// preceding regions and then the second ones; the others ask their predecessors in the region. So one instance reads the
// store, news is sent to each other region once, and a region that is partitioned from the others reads the store itself.
func NewPosition(instances []fleet.Instance, self fleet.Instance) Position {
	regions := map[string][]fleet.Instance{}
	for _, i := range instances {
		if i.Name != self.Name {
			regions[i.Place.Region] = append(regions[i.Place.Region], i)
		}
	}
	regions[self.Place.Region] = append(regions[self.Place.Region], self)
	names := slices.Sorted(maps.Keys(regions))
	p := Position{self: self.Name, index: map[string]int{}}
	var firsts, seconds []fleet.Instance
	for index, name := range names {
		order := regions[name]
		slices.SortFunc(order, compareInstances)
		for _, i := range order {
			p.index[i.Name] = len(p.index)
		}
		if name == self.Place.Region {
			ownIndex := slices.IndexFunc(order, func(i fleet.Instance) bool { return i.Name == self.Name })
			p.Predecessors, p.Rank = order[:ownIndex], ownIndex+index
			if ownIndex == 0 {
				p.Predecessors = append(firsts, seconds...)
			}
		}
		firsts = append(firsts, order[0])
		seconds = append(seconds, order[1:min(len(order), 2)]...)
	}
	return p
}

// compareInstances orders the instances of a region. Those with a larger CPU share come first, because passing on news
// takes CPU time; equal ones are ordered by a hash of their names.
func compareInstances(a, b fleet.Instance) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

// StopsReadingFor reports whether this instance must stop reading the store because the given instance reads it. It is
// false for an unknown instance.
func (p *Position) StopsReadingFor(reader string) bool {
	index, known := p.index[reader]
	return known && index < p.index[p.self]
}
