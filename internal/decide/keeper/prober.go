package keeper

import (
	"cmp"
	"slices"
	"time"
)

// ProbeEvery is the lower bound on the time between two probes of one server, whatever the settings.
const ProbeEvery = time.Second

// Prober decides which servers are probed now. It is owned by one task.
type Prober struct {
	perSecond int
	// interval is the least time between two probes of one server.
	interval time.Duration
	// tokens is the number of probes that may be sent now, at most the budget of one second.
	tokens     float64
	refilledAt time.Time
	lastProbes map[Target]time.Time
}

// Target identifies one server of one shard.
type Target struct {
	Key    Key
	Server string
}

// NewProber returns a prober with a budget of probes per second for the whole instance and the least time between two
// probes of one server, which is raised to ProbeEvery if it is shorter.
func NewProber(now time.Time, perSecond int, interval time.Duration) *Prober {
	return &Prober{
		perSecond: perSecond, interval: max(interval, ProbeEvery), refilledAt: now, lastProbes: map[Target]time.Time{},
	}
}

// Due returns the targets to probe now, the least recently probed first. Servers that are no longer targets are
// forgotten.
func (p *Prober) Due(now time.Time, targets []Target) []Target {
	p.refill(now)
	last := make(map[Target]time.Time, len(targets))
	var due []Target
	for _, t := range targets {
		last[t] = p.lastProbes[t]
		if now.Sub(last[t]) >= p.interval {
			due = append(due, t)
		}
	}
	p.lastProbes = last
	slices.SortStableFunc(due, func(a, b Target) int {
		return cmp.Or(last[a].Compare(last[b]), cmp.Compare(a.Key.String(), b.Key.String()), cmp.Compare(a.Server, b.Server))
	})
	due = due[:min(len(due), int(p.tokens))]
	for _, t := range due {
		last[t] = now
	}
	p.tokens -= float64(len(due))
	return due
}

func (p *Prober) refill(now time.Time) {
	budget := float64(p.perSecond)
	p.tokens = min(budget, p.tokens+budget*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
}
