package document

import "time"

// Service is the document of one service. Its owning team writes it.
type Service struct {
	// Name of the service, as callers name it. Required.
	Name string
	// Owner is the team that owns the document. Required.
	Owner string
	// Servers says which backend servers run the service and what each can bear.
	Servers Servers
	// Queue bounds the requests that wait at one instance. Default and zero: see its fields.
	Queue Queue
	// Retry bounds resends of requests.
	Retry Retry
	// Hedge bounds second copies of slow idempotent requests.
	Hedge Hedge
	// Routes are tried in order; the first match applies. At least one is required.
	Routes []Route
	// Tenants lists the customers with rules of their own; others are served without. Default none.
	Tenants []Tenant
	// MaxBody is the largest request body in bytes, up to 64 MiB. Default 1 MiB; zero means the default.
	MaxBody int64
}

// Servers describes the backend servers of a service.
type Servers struct {
	// FoundIn is "document" (the default: the list below) or "platform" (an object of kind backends). Empty means the
	// default.
	FoundIn string
	// Slots is how many requests one server runs at a time. Required, at least 1.
	Slots int
	// Connections is the most connections that one server bears from all instances together. Default 220; zero means
	// the default.
	Connections int
	// ColdAllowance is how many requests a server in a cold start bears at a time, over all instances.
	// Default 1; zero means the default.
	ColdAllowance int
	// WarmUpStep is how long a warming server must answer well before its allowance doubles. Default 1s; zero means the
	// default.
	WarmUpStep time.Duration
	// ProbePath is the path that the keeper probes. Default "/health"; empty means the default.
	ProbePath string
	// List names the servers when FoundIn is "document"; it must then not be empty.
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
	// Slots replaces Servers.Slots for this server; zero means no replacement.
	Slots int
}

// Queue bounds the requests that wait at one instance for a server.
type Queue struct {
	// Length is the most requests that wait. Default 64; zero means the default.
	Length int
	// PerTenant is the most requests of one tenant that wait. Default half of Length; zero means the default.
	PerTenant int
}

// Retry bounds resends.
type Retry struct {
	// Attempts is the most resends of one request, from 0 to 5. Default 2; zero forbids resends. A resend happens only
	// when nothing ran, or when the route is idempotent.
	Attempts int
	// Budget is the share of requests that may be resent, from 0 to 1. Default 0.1; zero forbids resends of
	// requests that may have run.
	Budget float64
}

// Hedge bounds second copies of slow requests. Only idempotent routes that ask for it are hedged.
type Hedge struct {
	// Percentile is the share of answers, from 0 to 1, that are faster than the wait before a second copy is sent.
	// Default 0.95; zero sends a second copy at once, within the budget.
	Percentile float64
	// Budget is the share of requests that may be hedged, from 0 to 1. Default 0.05; zero forbids hedges.
	Budget float64
}

// Priority orders waiting requests.
type Priority int

// Priorities. A higher value is served first.
const (
	Low Priority = iota - 1
	Normal
	High
)

// Route is a class of requests with one policy.
type Route struct {
	// Name of the route in logs and explanations. Required, unique in the document.
	Name string
	// Methods that match. Empty matches every method.
	Methods []string
	// Path pattern: literal segments, "{name}" for one segment, a last "*" for the rest. Required.
	Path string
	// Idempotent says that running the request twice does no harm. Default false.
	Idempotent bool
	// OnceOnly says that the request must run at most once over callers' resends. Default false. Excludes
	// Idempotent.
	OnceOnly bool
	// OnceWindow is how long a once-only key is remembered, up to 24h. Default 1h; zero means the default.
	OnceWindow time.Duration
	// KeyHeader is the header that carries the idempotency key. Default "Idempotency-Key"; empty means the default.
	KeyHeader string
	// OnMissingKey is "refuse" (the default) or "run": what a once-only request without a key gets. Empty means the
	// default.
	OnMissingKey string
	// Priority orders waiting requests. Default Normal.
	Priority Priority
	// HomeRegions are the only regions where the request may be served, sent and kept. Empty means all.
	HomeRegions []string
	// Deadline is the most time for a request when the caller names none or a longer one, up to 1h. Default 30s; zero
	// means the default.
	Deadline time.Duration
	// Hedge asks for second copies of slow requests. Default false; needs Idempotent.
	Hedge bool
	// CrossRegion allows servers of other regions when the own region has no room. Default false.
	CrossRegion bool
}

// Tenant is a customer with rules of its own.
type Tenant struct {
	// Name as it stands in the Fuchsiahub-Tenant header. Required.
	Name string
	// HomeRegions are the only regions where the tenant's requests may be served, sent and kept. Empty means all.
	HomeRegions []string
}

// Defaults of a service document.
const (
	DefaultMaxBody       = 1 << 20
	DefaultConnections   = 220
	DefaultColdAllowance = 1
	DefaultWarmUpStep    = time.Second
	DefaultProbePath     = "/health"
	DefaultQueueLength   = 64
	DefaultAttempts      = 2
	DefaultRetryBudget   = 0.1
	DefaultHedgeShare    = 0.95
	DefaultHedgeBudget   = 0.05
	DefaultOnceWindow    = time.Hour
	DefaultKeyHeader     = "Idempotency-Key"
	DefaultDeadline      = 30 * time.Second

	FoundInDocument = "document"
	FoundInPlatform = "platform"
	MissingRefuse   = "refuse"
	MissingRun      = "run"
)

// SlotsOf returns the slots of one server.
func (s *Service) SlotsOf(server Server) int {
	if server.Slots > 0 {
		return server.Slots
	}
	return s.Servers.Slots
}

// Tenant returns the rules of a tenant, and false when it has none.
func (s *Service) Tenant(name string) (Tenant, bool) {
	for _, t := range s.Tenants {
		if t.Name == name {
			return t, true
		}
	}
	return Tenant{}, false
}
