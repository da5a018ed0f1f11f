package lab

import (
	"time"

	"fuchsiahub.example/fuchsiahub/internal/decide/balance"
)

// Policy is one way to balance.
type Policy struct {
	Name string
	// simple builds a baseline; nil for policies of package balance.
	simple func(e *entry) chooser
	Tuning balance.Tuning
	// Keepers says that slots are leased by keepers.
	Keepers bool
	// Hedge sends second copies of idempotent requests.
	Hedge bool
	// Evidence lets a new keeper take servers for warm that answered well shortly before.
	Evidence bool
	// LooseRamp takes answers of up to twice the usual time, instead of one and a half times, for those of a warm
	// server.
	LooseRamp bool
	// StaleReports lets a keeper count answers of the start of a server that has ended.
	StaleReports bool
	// RegionNotices sends notices only to the instances of the region and to the holders.
	RegionNotices bool
}

// chooser picks servers at one instance.
type chooser interface {
	pick(want balance.Requirements) (balance.Grant, bool)
	done(g balance.Grant, r balance.Result)
}

// Baselines returns the simple policies. Each instance counts only its own requests, never queues, and chooses among
// the servers of its region that no operator has taken out.
func Baselines() []Policy {
	return []Policy{
		{Name: "round-robin", simple: func(e *entry) chooser { return &roundRobin{simple: simple{e: e}} }},
		{Name: "least-in-flight", simple: func(e *entry) chooser { return &leastInFlight{simple: newSimple(e)} }},
		{Name: "power-of-two", simple: func(e *entry) chooser { return &powerOfTwo{simple: newSimple(e)} }},
	}
}

// Candidates returns the policies of package balance that are compared with the baselines.
func Candidates() []Policy {
	plain := balance.Tuning{Order: balance.ByDelay}
	return []Policy{
		{Name: "latency-weighted", Tuning: plain},
		{Name: "two-reported", Tuning: balance.Tuning{Order: balance.ByReport}},
		{Name: "weighted-reported", Tuning: balance.Tuning{Order: balance.ByReportedDelay}},
		{Name: "leases", Tuning: balance.Tuning{Order: balance.ByDelay, Reserve: 1, ReturnInterval: 10 * time.Millisecond}, Keepers: true},
		{Name: "default", Tuning: balance.DefaultTuning(), Keepers: true, Evidence: true},
		{Name: "leases-strict", Tuning: with(func(t *balance.Tuning) { t.Overflow = 0 }), Keepers: true, Evidence: true},
		{Name: "share-of-all", Tuning: with(func(t *balance.Tuning) { t.RegionShare = false }), Keepers: true, Evidence: true},
		{Name: "late-is-cold", Tuning: with(func(t *balance.Tuning) { t.DetectLatencyJump = true }), Keepers: true, Evidence: true},
		{Name: "loose-ramp", Tuning: balance.DefaultTuning(), Keepers: true, Evidence: true, LooseRamp: true},
		{Name: "stale-reports", Tuning: balance.DefaultTuning(), Keepers: true, Evidence: true, StaleReports: true},
		{Name: "region-notices", Tuning: balance.DefaultTuning(), Keepers: true, Evidence: true, RegionNotices: true},
		{Name: "ask-at-once", Tuning: with(func(t *balance.Tuning) { t.LeaseRequestInterval, t.ReturnInterval = 0, 10*time.Millisecond }), Keepers: true, Evidence: true},
		{Name: "far-100", Tuning: with(func(t *balance.Tuning) { t.OtherRegionInterval = 100 * time.Millisecond }), Keepers: true, Evidence: true},
		{Name: "default+hedge", Tuning: balance.DefaultTuning(), Keepers: true, Evidence: true, Hedge: true},
	}
}

// simple counts the own requests in flight at each server.
type simple struct {
	e        *entry
	inFlight map[string]int
}

func newSimple(e *entry) simple { return simple{e: e, inFlight: map[string]int{}} }

// servers lists what a baseline chooses from: the servers of the region, without those that failed the request.
func (s *simple) servers(want balance.Requirements) []*backendServer {
	var list, all []*backendServer
	for _, b := range s.e.w.servers {
		if s.e.w.fleetDoc.IsOut(b.zone) || s.e.w.fleetDoc.RegionOf(b.zone) != s.e.place.Region {
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

func (s *simple) grant(b *backendServer) (balance.Grant, bool) {
	if s.inFlight != nil {
		s.inFlight[b.name]++
	}
	return balance.Grant{Server: b.name, Zone: b.zone, At: s.e.w.now}, true
}

func (s *simple) done(g balance.Grant, _ balance.Result) {
	if s.inFlight != nil {
		s.inFlight[g.Server]--
	}
}

type roundRobin struct {
	simple
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

type leastInFlight struct{ simple }

func (p *leastInFlight) pick(want balance.Requirements) (balance.Grant, bool) {
	list := p.servers(want)
	if len(list) == 0 {
		return balance.Grant{}, false
	}
	start := p.e.rnd.IntN(len(list))
	best := list[start]
	for i := range list {
		if b := list[(start+i)%len(list)]; p.inFlight[b.name] < p.inFlight[best.name] {
			best = b
		}
	}
	return p.grant(best)
}

type powerOfTwo struct{ simple }

func (p *powerOfTwo) pick(want balance.Requirements) (balance.Grant, bool) {
	list := p.servers(want)
	if len(list) == 0 {
		return balance.Grant{}, false
	}
	a, b := list[p.e.rnd.IntN(len(list))], list[p.e.rnd.IntN(len(list))]
	if p.inFlight[b.name] < p.inFlight[a.name] {
		a = b
	}
	return p.grant(a)
}

// fleetChooser is package balance at one instance.
type fleetChooser struct{ e *entry }

func (c fleetChooser) pick(want balance.Requirements) (balance.Grant, bool) {
	return c.e.fleet.Pick(c.e.w.now, c.e.rnd, want)
}

func (c fleetChooser) done(g balance.Grant, r balance.Result) { c.e.fleet.Done(c.e.w.now, g, r) }

// with returns the default tuning with a change.
func with(change func(*balance.Tuning)) balance.Tuning {
	t := balance.DefaultTuning()
	change(&t)
	return t
}
