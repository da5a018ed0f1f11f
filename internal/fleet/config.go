package fleet

import (
	"slices"
	"time"
)

// Place is the location of an instance or a backend server.
type Place struct{ Zone, Region string }

// Version is the version of a configuration. A higher version is newer.
type Version uint64

// Route determines how requests with a host and path prefix are handled.
type Route struct {
	Name string
	// Host is the authority in the request, without a port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time to the answer; zero sets no limit other than the caller's deadline.
	Timeout time.Duration
	// LatencyTarget is the latency target; zero if the operator sets none.
	LatencyTarget time.Duration
	// Priority ranks requests when capacity is short; 0 is the most urgent.
	Priority int
	// Shares are the services among which the requests are divided. There is at least one.
	Shares []ServiceShare
	// Attempts is the maximum number of backend servers that one request may be sent to, at least 1.
	Attempts int
	// HomeRegions are the home regions, the only ones where requests may be served; empty allows all regions.
	HomeRegions []string
}

// ServiceShare is a service of a route and its share of the requests.
type ServiceShare struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// AllowsRegion reports whether requests of the route may be served in the region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// AllowsService reports whether requests of the route may be sent to the service.
func (r *Route) AllowsService(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s ServiceShare) bool { return s.Service == service })
}

// Service is the operator's configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections is the maximum number of connections of all instances together to one backend server.
	MaxConnections int
	// ColdDuration is how long a backend server is cold after a start.
	ColdDuration time.Duration
	// ColdPerSecond is the number of requests per second that a cold backend server can handle.
	ColdPerSecond float64
}

// Limits restrict the requests of callers. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}
