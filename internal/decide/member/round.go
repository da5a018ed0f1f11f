package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// RoundTime is the time between two rounds of gossip.
	RoundTime = 500 * time.Millisecond
	// fanout is how many peers of the own region get a message each round.
	fanout = 3
	// farRounds is how many rounds pass between two messages to another region, which are billed by volume.
	farRounds = 4
)

// Round starts a round of gossip and returns the names of the peers that get a Request, or addresses of seeds.
//
// Two of the messages go to suspects, if there are any, one in the own region and one in another: their own answers
// settle whether they are alive. That keeps a fleet of hundreds, where the freshest entries of a message are a small
// part of all, from taking live members as dead.
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

// groups are the peers by what gossip does with them.
type groups struct {
	// near and far are alive, in the own region and in others.
	near, far                 []string
	nearSuspects, farSuspects suspects
	// lost are those that do not take part in gossip now: listed, dead and seeds. Asking them ends a partition.
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
		slices.Sort(list) // the order of a map would make runs with one seed differ
	}
	g.lost = append(g.lost, t.unknownSeeds()...)
	return g
}

type suspects []*peer

// next returns the suspect that was asked least and, of those, has been silent for longest. Others that really
// failed, which were asked before, do not hold it up.
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

// unknownSeeds returns the seeds that no known member has as its address.
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
