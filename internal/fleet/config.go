package fleet

import (
	"slices"
	"time"
)

// Place is where something runs.
type Place struct{ Zone, Region string }

// Version orders configurations. Higher is newer.
type Version uint64

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name string
	// Host is the authority that callers name, without a port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time a caller is kept waiting; zero means no limit but the caller's deadline.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most; zero when the operator names none.
	Objective time.Duration
	// Priority ranks requests when room is short; 0 is the most urgent.
	Priority int
	// Parts are the services that share the requests. There is at least one.
	Parts []Part
	// Attempts is the number of backend servers that one request may be sent to, at least 1.
	Attempts int
	// Regions are the home regions; empty allows all.
	Regions []string
}

// Part is the share of a route that goes to one service.
type Part struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// AllowsRegion reports whether requests of the route may be served in the region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// AllowsService reports whether requests of the route may be sent to the service.
func (r *Route) AllowsService(service string) bool {
	return slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service == service })
}

// Service is what the operator says about a service.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConnections bounds the connections of all instances together to one backend server.
	MaxConnections int
	// ColdStart is how long a backend server stays cold after a start.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests a second that a cold backend server bears.
	ColdPerSecond float64
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one configuration of the operator.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}
