package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// RoundTime is the interval between gossip rounds.
	RoundTime = 500 * time.Millisecond
	// fanout is the number of peers in this instance's region that get a message in each round.
	fanout = 3
	// farRounds is the number of rounds from one message to another region to the next: this traffic is billed by volume.
	farRounds = 4
)

// Round starts a round of gossip and returns the names of the peers, or the addresses of seeds, that get a Request.
//
// If there are suspects, one in this instance's region and one in another region get a message: their replies prove
// that they are alive. Without it, live members would be declared dead in a fleet of hundreds, where a message carries
// only a small part of all entries.
func (t *Table) Round(now time.Time, rnd *rand.Rand) []string {
	t.Tick(now)
	t.heartbeat++
	t.round++
	g := t.groups()
	var targets []string
	targets = add(targets, g.nearSuspects.next())
	targets = add(targets, g.farSuspects.next())
	targets = add(targets, pick(rnd, g.near, fanout-len(targets)))
	if len(g.near) == 0 {
		targets = add(targets, pick(rnd, g.lost, fanout))
	}
	if t.round%farRounds == 0 {
		targets = add(targets, pick(rnd, g.far, 1))
		targets = add(targets, pick(rnd, g.lost, 1))
	}
	return targets
}

// groups classifies the peers for the choice of gossip targets.
type groups struct {
	// near and far are alive and not suspect, in this instance's region and in others.
	near, far                 []string
	nearSuspects, farSuspects suspects
	// lost are the peers that are only listed or are dead, and the unknown seeds. Messages to them heal a partition.
	lost []string
}

func (t *Table) groups() groups {
	var g groups
	for _, p := range t.peers {
		near := p.Region == t.self.Region
		switch {
		case p.machine.In("suspect") && near:
			g.nearSuspects = append(g.nearSuspects, p)
		case p.machine.In("suspect"):
			g.farSuspects = append(g.farSuspects, p)
		case p.present() && near:
			g.near = append(g.near, p.Name)
		case p.present():
			g.far = append(g.far, p.Name)
		case !p.machine.In("left"):
			g.lost = append(g.lost, p.Name)
		}
	}
	for _, list := range [][]string{g.near, g.far, g.lost} {
		slices.Sort(list) // map order would make runs with the same random seed differ
	}
	g.lost = append(g.lost, t.unknownSeeds()...)
	return g
}

type suspects []*peer

// next returns the suspect with the fewest direct messages and, among those, the oldest heartbeat. Suspects that really
// failed got messages before and so do not delay the others.
func (s suspects) next() []string {
	if len(s) == 0 {
		return nil
	}
	first := slices.MinFunc(s, func(x, y *peer) int {
		return cmp.Or(cmp.Compare(x.asked, y.asked), x.heard.Compare(y.heard), cmp.Compare(x.Name, y.Name))
	})
	first.asked++
	return []string{first.Name}
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

// pick returns up to n names at random.
func pick(rnd *rand.Rand, names []string, n int) []string {
	order := rnd.Perm(len(names))
	var list []string
	for _, i := range order[:min(n, len(order))] {
		list = append(list, names[i])
	}
	return list
}

func add(targets, names []string) []string {
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
			Instance: p.Instance, State: p.state, Condition: p.machine.State(), Config: p.config, Heard: p.heard,
		})
	}
	slices.SortFunc(v.Members, func(a, b Status) int { return compareName(a, b.Name) })
	for _, m := range v.Members {
		if m.State == Serving && t.takesPart(m.Name) {
			v.Live = append(v.Live, m.Instance)
		}
	}
	t.view = v
	return v
}

func (t *Table) takesPart(name string) bool {
	p := t.peers[name]
	return name == t.self.Name || p != nil && p.present()
}
