package lab

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// Policy is a load balancing policy.
type Policy struct {
	Name string
	// newChooser creates the chooser of a baseline policy; nil for policies of package balance.
	newChooser func(inst *instance) chooser
	Tuning     balance.Tuning
	// Keepers lets instances lease slots from keepers.
	Keepers bool
	// Hedge enables hedging of idempotent requests.
	Hedge bool
	// TrustHistory lets a new keeper assume that a server is warm when its latency is known from before the takeover.
	TrustHistory bool
	// LooseRamp raises the latency limit of a warm-up step from 1.5 to 2 times the typical latency.
	LooseRamp bool
	// StaleReports lets a keeper count reports about the previous incarnation of a server.
	StaleReports bool
	// RegionNotices limits notices to the instances of the region and the holders of the server's slots.
	RegionNotices bool
}

// chooser selects a server for each request at one instance.
type chooser interface {
	pick(want balance.Requirements) (balance.Grant, bool)
	done(g balance.Grant, r balance.Result)
}

// Baselines returns the baseline policies. Each instance considers only its own requests, never queues, and chooses among
// the servers of its region whose zone is not taken out.
func Baselines() []Policy {
	return []Policy{
		{Name: "round-robin", newChooser: func(inst *instance) chooser { return &roundRobin{baseline: baseline{inst: inst}} }},
		{Name: "least-in-flight", newChooser: func(inst *instance) chooser { return &leastInFlight{baseline: newBaseline(inst)} }},
		{Name: "power-of-two", newChooser: func(inst *instance) chooser { return &powerOfTwo{baseline: newBaseline(inst)} }},
	}
}

// Candidates returns the policies of package balance that are compared with the baselines.
func Candidates() []Policy {
	byDelay := balance.Tuning{Order: balance.ByDelay}
	return []Policy{
		{Name: "latency-weighted", Tuning: byDelay},
		{Name: "two-reported", Tuning: balance.Tuning{Order: balance.ByReport}},
		{Name: "weighted-reported", Tuning: balance.Tuning{Order: balance.ByReportedDelay}},
		{Name: "leases", Tuning: balance.Tuning{Order: balance.ByDelay, Reserve: 1, ReturnInterval: 10 * time.Millisecond}, Keepers: true},
		{Name: "default", Tuning: balance.DefaultTuning(), Keepers: true, TrustHistory: true},
		{Name: "leases-strict", Tuning: tunedWith(func(t *balance.Tuning) { t.Overflow = 0 }), Keepers: true, TrustHistory: true},
		{Name: "share-of-all", Tuning: tunedWith(func(t *balance.Tuning) { t.RegionShare = false }), Keepers: true, TrustHistory: true},
		{Name: "late-is-cold", Tuning: tunedWith(func(t *balance.Tuning) { t.DetectLatencyJump = true }), Keepers: true, TrustHistory: true},
		{Name: "loose-ramp", Tuning: balance.DefaultTuning(), Keepers: true, TrustHistory: true, LooseRamp: true},
		{Name: "stale-reports", Tuning: balance.DefaultTuning(), Keepers: true, TrustHistory: true, StaleReports: true},
		{Name: "region-notices", Tuning: balance.DefaultTuning(), Keepers: true, TrustHistory: true, RegionNotices: true},
		{Name: "ask-at-once", Tuning: tunedWith(func(t *balance.Tuning) { t.LeaseRequestInterval, t.ReturnInterval = 0, 10*time.Millisecond }), Keepers: true, TrustHistory: true},
		{Name: "far-100", Tuning: tunedWith(func(t *balance.Tuning) { t.OtherRegionInterval = 100 * time.Millisecond }), Keepers: true, TrustHistory: true},
		{Name: "default+hedge", Tuning: balance.DefaultTuning(), Keepers: true, TrustHistory: true, Hedge: true},
	}
}

// baseline is the common part of the baseline policies: it counts this instance's requests in flight at each server.
type baseline struct {
	inst     *instance
	inFlight map[string]int // nil for round-robin, which does not need it
}

func newBaseline(inst *instance) baseline { return baseline{inst: inst, inFlight: map[string]int{}} }

// servers returns the candidates of a baseline: the servers of the region, without those to avoid unless none is left.
func (s *baseline) servers(want balance.Requirements) []*backendServer {
	var list, all []*backendServer
	for _, b := range s.inst.w.servers {
		if s.inst.w.fleetDoc.IsZoneOut(b.zone) || s.inst.w.fleetDoc.RegionOf(b.zone) != s.inst.place.Region {
			continue
		}
		all = append(all, b)
		if !contains(want.Avoid, b.name) {
			list = append(list, b)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (s *baseline) grant(b *backendServer) (balance.Grant, bool) {
	if s.inFlight != nil {
		s.inFlight[b.name]++
	}
	return balance.Grant{Server: b.name, Zone: b.zone, At: s.inst.w.now}, true
}

func (s *baseline) done(g balance.Grant, _ balance.Result) {
	if s.inFlight != nil {
		s.inFlight[g.Server]--
	}
}

type roundRobin struct {
	baseline
	next int
}

func (p *roundRobin) pick(want balance.Requirements) (balance.Grant, bool) {
	list := p.servers(want)
	if len(list) == 0 {
		return balance.Grant{}, false
	}
	p.next++
	return p.grant(list[p.next%len(list)])
}

type leastInFlight struct{ baseline }

func (p *leastInFlight) pick(want balance.Requirements) (balance.Grant, bool) {
	list := p.servers(want)
	if len(list) == 0 {
		return balance.Grant{}, false
	}
	start := p.inst.random.IntN(len(list))
	best := list[start]
	for i := range list {
		if b := list[(start+i)%len(list)]; p.inFlight[b.name] < p.inFlight[best.name] {
			best = b
		}
	}
	return p.grant(best)
}

type powerOfTwo struct{ baseline }

func (p *powerOfTwo) pick(want balance.Requirements) (balance.Grant, bool) {
	list := p.servers(want)
	if len(list) == 0 {
		return balance.Grant{}, false
	}
	a, b := list[p.inst.random.IntN(len(list))], list[p.inst.random.IntN(len(list))]
	if p.inFlight[b.name] < p.inFlight[a.name] {
		a = b
	}
	return p.grant(a)
}

// fleetChooser selects servers with the balance.Fleet of the instance.
type fleetChooser struct{ inst *instance }

func (c fleetChooser) pick(want balance.Requirements) (balance.Grant, bool) {
	return c.inst.fleet.Pick(c.inst.w.now, c.inst.random, want)
}

func (c fleetChooser) done(g balance.Grant, r balance.Result) { c.inst.fleet.Done(c.inst.w.now, g, r) }

// tunedWith returns the default tuning with one change applied.
func tunedWith(change func(*balance.Tuning)) balance.Tuning {
	t := balance.DefaultTuning()
	change(&t)
	return t
}
