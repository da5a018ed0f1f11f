package keeper

import (
	"cmp"
	"slices"
	"time"
)

// MinProbeInterval is the lower bound on the time between two probes of one server, whatever the settings.
const MinProbeInterval = time.Second

// Prober decides which servers are probed now. It is owned by one task.
type Prober struct {
	perSecond int
	// interval is the least time between two probes of one server.
	interval time.Duration
	// tokens is the number of probes that may be sent now, at most the budget of one second.
	tokens     float64
	refilledAt time.Time
	lastProbes map[ProbeTarget]time.Time
}

// ProbeTarget identifies one server of one shard.
type ProbeTarget struct {
	Key    Key
	Server string
}

// NewProber returns a prober with a budget of probes per second for the whole instance and the least time between two
// probes of one server, which is raised to MinProbeInterval if it is shorter.
func NewProber(now time.Time, perSecond int, interval time.Duration) *Prober {
	return &Prober{
		perSecond: perSecond, interval: max(interval, MinProbeInterval), refilledAt: now, lastProbes: map[ProbeTarget]time.Time{},
	}
}

// Due returns the targets to probe now, the least recently probed first. Servers that are no longer targets are
// forgotten.
func (p *Prober) Due(now time.Time, targets []ProbeTarget) []ProbeTarget {
	p.refill(now)
	last := make(map[ProbeTarget]time.Time, len(targets))
	var due []ProbeTarget
	for _, t := range targets {
		last[t] = p.lastProbes[t]
		if now.Sub(last[t]) >= p.interval {
			due = append(due, t)
		}
	}
	p.lastProbes = last
	slices.SortStableFunc(due, func(a, b ProbeTarget) int {
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
