package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// RoundInterval is the interval between gossip rounds.
	RoundInterval = 500 * time.Millisecond
	// fanout is the number of peers in this instance's region that get a message in each round.
	fanout = 3
	// crossRegionRounds is the interval, in rounds, at which another region gets a message. Traffic between regions is
	// billed by volume.
	crossRegionRounds = 4
)

// StartRound starts a round of gossip and returns the names of the peers, or the addresses of seeds, that get a Request.
//
// If there are suspects, one in this instance's region and one in another region get a message: their replies prove
// that they are alive. Without these messages, live members would be declared dead in a fleet of hundreds, where a message carries
// only a small part of all entries.
func (t *Table) StartRound(now time.Time, rnd *rand.Rand) []string {
	t.Tick(now)
	t.heartbeat++
	t.round++
	g := t.groups()
	var targets []string
	targets = appendUnique(targets, g.sameRegionSuspects.leastContacted())
	targets = appendUnique(targets, g.otherRegionSuspects.leastContacted())
	targets = appendUnique(targets, sample(rnd, g.sameRegion, fanout-len(targets)))
	if len(g.sameRegion) == 0 {
		targets = appendUnique(targets, sample(rnd, g.unreachable, fanout))
	}
	if t.round%crossRegionRounds == 0 {
		targets = appendUnique(targets, sample(rnd, g.otherRegions, 1))
		targets = appendUnique(targets, sample(rnd, g.unreachable, 1))
	}
	return targets
}

// groups classifies the peers for the choice of gossip targets.
type groups struct {
	// sameRegion and otherRegions are alive and not suspect, in this instance's region and in others.
	sameRegion, otherRegions                []string
	sameRegionSuspects, otherRegionSuspects suspects
	// unreachable are the peers that are only listed or are dead, and the unknown seeds. Messages to them heal a partition.
	unreachable []string
}

func (t *Table) groups() groups {
	var g groups
	for _, p := range t.peers {
		sameRegion := p.Region == t.self.Region
		switch {
		case p.machine.In("suspect") && sameRegion:
			g.sameRegionSuspects = append(g.sameRegionSuspects, p)
		case p.machine.In("suspect"):
			g.otherRegionSuspects = append(g.otherRegionSuspects, p)
		case p.countsAsAlive() && sameRegion:
			g.sameRegion = append(g.sameRegion, p.Name)
		case p.countsAsAlive():
			g.otherRegions = append(g.otherRegions, p.Name)
		case !p.machine.In("left"):
			g.unreachable = append(g.unreachable, p.Name)
		}
	}
	for _, list := range [][]string{g.sameRegion, g.otherRegions, g.unreachable} {
		slices.Sort(list) // map order would make runs with the same random seed differ
	}
	g.unreachable = append(g.unreachable, t.unknownSeeds()...)
	return g
}

type suspects []*peer

// leastContacted returns the suspect with the fewest direct messages and, among those, the oldest heartbeat. Suspects
// that really failed got messages before and so do not delay the others.
func (s suspects) leastContacted() []string {
	if len(s) == 0 {
		return nil
	}
	suspect := slices.MinFunc(s, func(x, y *peer) int {
		return cmp.Or(cmp.Compare(x.directMessages, y.directMessages),
			x.heartbeatAt.Compare(y.heartbeatAt), cmp.Compare(x.Name, y.Name))
	})
	suspect.directMessages++
	return []string{suspect.Name}
}

// unknownSeeds returns the seeds that are not the address of a known member.
func (t *Table) unknownSeeds() []string {
	var list []string
	for _, seed := range t.seeds {
		known := seed == t.self.PeerAddress
		for _, p := range t.peers {
			known = known || p.PeerAddress == seed
		}
		if !known {
			list = append(list, seed)
		}
	}
	return list
}

// sample returns up to n names in random order.
func sample(rnd *rand.Rand, names []string, n int) []string {
	order := rnd.Perm(len(names))
	var list []string
	for _, i := range order[:min(n, len(order))] {
		list = append(list, names[i])
	}
	return list
}

func appendUnique(targets, names []string) []string {
	for _, name := range names {
		if !slices.Contains(targets, name) {
			targets = append(targets, name)
		}
	}
	return targets
}

// View returns a snapshot of the table.
func (t *Table) View() *View {
	if t.view != nil {
		return t.view
	}
	v := &View{Self: t.self, Listed: t.listed}
	v.Members = append(v.Members, Status{Instance: t.self, State: t.state, Condition: "self", Config: t.config})
	for _, p := range t.peers {
		v.Members = append(v.Members, Status{
			Instance: p.Instance, State: p.state, Condition: p.machine.State(), Config: p.config, HeartbeatAt: p.heartbeatAt,
		})
	}
	slices.SortFunc(v.Members, func(a, b Status) int { return compareName(a, b.Name) })
	for _, m := range v.Members {
		if m.State == Serving && t.countsAsAlive(m.Name) {
			v.Live = append(v.Live, m.Instance)
		}
	}
	t.view = v
	return v
}

func (t *Table) countsAsAlive(name string) bool {
	p := t.peers[name]
	return name == t.self.Name || p != nil && p.countsAsAlive()
}
