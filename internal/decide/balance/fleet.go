package balance

import (
	"slices"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/document"
)

// Place is where an instance runs.
type Place struct{ Region, Zone string }

// View is what a fleet is built from: documents in force and the place of the instance.
type View struct {
	Service *document.Service
	// Servers lists the backend servers, from the document or from the platform.
	Servers []document.Server
	// Zones is the fleet document.
	Zones *document.Fleet
	Self  Place
}

// Want describes the request that needs a server.
type Want struct {
	// Regions are the only regions that may serve the request; nil means all.
	Regions []string
	// CrossRegion allows servers outside the own region.
	CrossRegion bool
	// Avoid lists servers that already failed this request.
	Avoid []string
}

// Grant is the right to send one request to one server. Every grant is returned with Done.
type Grant struct {
	Server  string
	Address string
	Zone    string
	At      time.Time
}

// Result is how a granted request ended.
type Result struct {
	Fate    call.Fate
	Latency time.Duration
	// Failed is true for a connection error and for an answer that reports a fault of the server.
	Failed bool
	// Shed is true when the server refused the request for overload.
	Shed bool
	// Draining is true when the server said that it is leaving.
	Draining bool
	// Refused is true when the server did not accept a connection.
	Refused bool
	// Incarnation is what the server said about its start; empty when it said nothing.
	Incarnation string
}

// Fleet is the state of one service at one instance.
type Fleet struct {
	view    View
	bound   *chart.Bound[*server]
	servers map[string]*server
	order   []*server
}

// New returns a fleet without any server; Update adds them.
func New(backendChart *chart.Chart, now time.Time, view View) (*Fleet, error) {
	bound, err := bind(backendChart)
	if err != nil {
		return nil, err
	}
	f := &Fleet{bound: bound, servers: map[string]*server{}}
	f.Update(now, view)
	return f, nil
}

// Update brings new documents into force. Servers that stay keep their state.
func (f *Fleet) Update(now time.Time, view View) {
	f.view = view
	named := map[string]bool{}
	for _, s := range view.Servers {
		named[s.Name] = true
		known, ok := f.servers[s.Name]
		if !ok || known.spec.Address != s.Address {
			known = newServer(f.bound, now, view.Service)
			f.servers[s.Name] = known
		}
		known.update(s, view)
	}
	for name, s := range f.servers {
		if !named[name] {
			s.fire(now, "removed")
			delete(f.servers, name)
		}
	}
	f.order = f.order[:0]
	for _, s := range f.servers {
		f.order = append(f.order, s)
	}
	slices.SortFunc(f.order, func(a, b *server) int { return strings.Compare(a.spec.Name, b.spec.Name) })
}

// Done returns a grant with the result of its request.
func (f *Fleet) Done(now time.Time, g Grant, r Result) {
	s, ok := f.servers[g.Server]
	if !ok {
		return
	}
	s.done(now, r)
}

// Tick raises the timeouts that are due.
func (f *Fleet) Tick(now time.Time) {
	for _, s := range f.order {
		s.machine.Tick(now)
	}
}

// Deadline returns when Tick is needed next, and false when it is not.
func (f *Fleet) Deadline() (time.Time, bool) {
	var first time.Time
	for _, s := range f.order {
		if due, ok := s.machine.Deadline(); ok && (first.IsZero() || due.Before(first)) {
			first = due
		}
	}
	return first, !first.IsZero()
}
