package document

import "time"

// Service is the document of one service. The team that owns the service writes it.
type Service struct {
	// Name of the service, as callers use it. Required.
	Name string
	// Owner is the team that owns the document. Required.
	Owner string
	// Servers describes the backend servers of the service and their capacity.
	Servers Servers
	// Queue limits the requests that wait at one instance. Its fields have their own defaults.
	Queue Queue
	// Retry limits resends of requests.
	Retry Retry
	// Hedge limits second copies of slow idempotent requests.
	Hedge Hedge
	// Routes are tried in order; the first match applies. At least one is required.
	Routes []Route
	// Tenants lists the customers that have specific rules. Other customers have no such rules. Default none.
	Tenants []Tenant
	// MaxBody is the maximum size of a request body in bytes, up to 64 MiB. Default 1 MiB; zero means the default.
	MaxBody int64
}

// Servers describes the backend servers of a service.
type Servers struct {
	// FoundIn is the source of the list of servers: "document" for List or "platform" for an object of kind backends.
	// Default "document"; empty means the default.
	FoundIn string
	// Slots is the number of requests that one server runs concurrently. Required, at least 1.
	Slots int
	// Connections is the maximum number of connections to one server, over all instances. Default 220; zero means the
	// default.
	Connections int
	// ColdAllowance is the maximum number of concurrent requests at a server in a cold start, over all instances.
	// Default 1; zero means the default.
	ColdAllowance int
	// WarmUpStep is how long a warming server must give good answers before its allowance doubles. Default 1s; zero means
	// the default.
	WarmUpStep time.Duration
	// ProbePath is the path of the keeper's health checks. Default "/health"; empty means the default.
	ProbePath string
	// List holds the servers when FoundIn is "document". It must then not be empty.
	List []Server
}

// Server is one backend server.
type Server struct {
	// Name is unique in the service. Required.
	Name string
	// Address is an IP address and a port. Required.
	Address string
	// Zone is the availability zone of the server. Required.
	Zone string
	// Slots overrides Servers.Slots for this server. Zero means no override.
	Slots int
}

// Queue limits the requests that wait at one instance for a server.
type Queue struct {
	// Length is the maximum number of waiting requests. Default 64; zero means the default.
	Length int
	// PerTenant is the maximum number of waiting requests of one tenant. Default half of Length; zero means the default.
	PerTenant int
}

// Retry limits resends of requests.
type Retry struct {
	// Attempts is the maximum number of resends of one request, from 0 to 5. Default 2; zero forbids resends. A request is
	// sent again only when it has certainly not run or its route is idempotent.
	Attempts int
	// Budget is the share of requests that may be resent, from 0 to 1. Default 0.1; zero forbids resends of
	// requests that may have run.
	Budget float64
}

// Hedge limits second copies of slow requests. Only requests of idempotent routes that set Route.Hedge are hedged.
type Hedge struct {
	// Percentile determines how long to wait before a second copy is sent: it is the share of answers, from 0 to 1, that
	// arrive within that time. Default 0.95; zero sends a second copy at once, within the budget.
	Percentile float64
	// Budget is the share of requests that may be hedged, from 0 to 1. Default 0.05; zero forbids hedging.
	Budget float64
}

// Priority determines the order in which waiting requests are sent.
type Priority int

// Priorities of routes. Requests with a higher value are sent first.
const (
	Low Priority = iota - 1
	Normal
	High
)

// Route is a class of requests that share one policy.
type Route struct {
	// Name of the route in logs and in the output of the explain command. Required, unique in the document.
	Name string
	// Methods lists the HTTP methods that match. Empty matches every method.
	Methods []string
	// Path is a pattern of literal segments, "{name}" for any one segment, and a final "*" for the rest of the path.
	// Required.
	Path string
	// Idempotent declares that running a request twice has the same effect as running it once. Default false.
	Idempotent bool
	// OnceOnly declares that a request must run at most once, also when the caller retries it. Default false. Excludes
	// Idempotent.
	OnceOnly bool
	// OnceWindow is how long the idempotency key of a once-only request is kept, up to 24h. Default 1h; zero means the default.
	OnceWindow time.Duration
	// KeyHeader is the header that carries the idempotency key. Default "Idempotency-Key"; empty means the default.
	KeyHeader string
	// OnMissingKey determines what happens to a once-only request without a key: "refuse" or "run". Default "refuse"; empty
	// means the default.
	OnMissingKey string
	// Priority of the requests while they wait. Default Normal.
	Priority Priority
	// HomeRegions lists the only regions where a request may be served, sent and stored. Empty means all regions.
	HomeRegions []string
	// Deadline is the maximum time for a request, up to 1h. It applies when the caller gives no deadline or a longer one.
	// Default 30s; zero means the default.
	Deadline time.Duration
	// Hedge enables second copies of slow requests. Default false. Requires Idempotent.
	Hedge bool
	// CrossRegion allows servers of other regions when the region of the instance has no free capacity. Default false.
	CrossRegion bool
}

// Tenant is a customer with specific rules.
type Tenant struct {
	// Name of the tenant in the Fuchsiahub-Tenant header. Required.
	Name string
	// HomeRegions lists the only regions where requests of the tenant may be served, sent and stored. Empty means all
	// regions.
	HomeRegions []string
}

// Default values of a service document, and the values that FoundIn and OnMissingKey allow.
const (
	DefaultMaxBody         = 1 << 20
	DefaultConnections     = 220
	DefaultColdAllowance   = 1
	DefaultWarmUpStep      = time.Second
	DefaultProbePath       = "/health"
	DefaultQueueLength     = 64
	DefaultAttempts        = 2
	DefaultRetryBudget     = 0.1
	DefaultHedgePercentile = 0.95
	DefaultHedgeBudget     = 0.05
	DefaultOnceWindow      = time.Hour
	DefaultKeyHeader       = "Idempotency-Key"
	DefaultDeadline        = 30 * time.Second

	FoundInDocument  = "document"
	FoundInPlatform  = "platform"
	MissingKeyRefuse = "refuse"
	MissingKeyRun    = "run"
)

// SlotsOf returns the number of slots of a server.
func (s *Service) SlotsOf(server Server) int {
	if server.Slots > 0 {
		return server.Slots
	}
	return s.Servers.Slots
}

// Tenant returns the rules of a tenant, or false when the tenant has none.
func (s *Service) Tenant(name string) (Tenant, bool) {
	for _, t := range s.Tenants {
		if t.Name == name {
			return t, true
		}
	}
	return Tenant{}, false
}
