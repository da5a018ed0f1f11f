package member

import (
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
// One of the messages goes to a suspect, if there is one: its own answer settles whether it is alive. That keeps a
// fleet of hundreds, where the freshest entries of a message are a small part of all, from taking live members as
// dead.
func (t *Table) Round(now time.Time, rnd *rand.Rand) []string {
	t.Tick(now)
	t.heartbeat++
	t.round++
	near, far, suspect, lost := t.sortPeers()
	var targets []string
	targets = add(targets, pick(rnd, suspect, 1))
	targets = add(targets, pick(rnd, near, fanout-len(targets)))
	if len(near) == 0 {
		targets = add(targets, pick(rnd, lost, fanout))
	}
	if t.round%farRounds == 0 {
		targets = add(targets, pick(rnd, far, 1))
		targets = add(targets, pick(rnd, lost, 1))
	}
	return targets
}

// sortPeers returns the names of peers in the own region, in other regions, of suspects, and of those that do not
// take part in gossip now: listed, dead and seeds. Asking the lost ones ends a partition.
func (t *Table) sortPeers() (near, far, suspect, lost []string) {
	for _, p := range t.peers {
		switch {
		case p.machine.In("suspect"):
			suspect = append(suspect, p.Name)
		case p.present() && p.Region == t.self.Region:
			near = append(near, p.Name)
		case p.present():
			far = append(far, p.Name)
		case !p.machine.In("left"):
			lost = append(lost, p.Name)
		}
	}
	for _, list := range [][]string{near, far, suspect, lost} {
		slices.Sort(list) // the order of a map would make runs with one seed differ
	}
	return near, far, suspect, append(lost, t.unknownSeeds()...)
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
