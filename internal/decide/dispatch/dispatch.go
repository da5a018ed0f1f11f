// Package dispatch selects the route and the service of a request.
package dispatch

import (
	"slices"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/fleet"
)

// Table is an immutable routing table.
type Table struct {
	// hosts holds the routes of each host, sorted by descending prefix length.
	hosts map[string][]*fleet.Route
	// topPriority holds the priority of the most urgent route of each service. Lower numbers are more urgent.
	topPriority map[string]int
}

// NewTable builds the routing table of a configuration.
func NewTable(config *fleet.Config) *Table {
	t := &Table{hosts: map[string][]*fleet.Route{}, topPriority: map[string]int{}}
	for i := range config.Routes {
		r := &config.Routes[i]
		for _, share := range r.Shares {
			if top, known := t.topPriority[share.Service]; !known || r.Priority < top {
				t.topPriority[share.Service] = r.Priority
			}
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *fleet.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of a host with the longest prefix that matches the path.
func (t *Table) Match(host, path string) (*fleet.Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasMoreUrgent reports whether another route to the service is more urgent than the given one.
func (t *Table) HasMoreUrgent(r *fleet.Route, service string) bool {
	top, known := t.topPriority[service]
	return known && top < r.Priority
}

// PickService selects a service of the route at random in proportion to the weights. Draw is uniform in [0, 1).
func PickService(r *fleet.Route, draw float64) string {
	sum := 0.0
	for _, share := range r.Shares {
		sum += max(share.Weight, 0)
	}
	remaining := draw * sum
	for _, share := range r.Shares {
		if remaining -= max(share.Weight, 0); remaining < 0 {
			return share.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
